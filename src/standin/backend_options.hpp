// The command line of standin_backend.
#ifndef BRIARBARROW_STANDIN_BACKEND_OPTIONS_HPP
#define BRIARBARROW_STANDIN_BACKEND_OPTIONS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "core/address.hpp"
#include "core/clock.hpp"

namespace briarbarrow
{

// The settings of one standin_backend process.
struct backend_options
{
    std::string name;
    std::string service;
    // Where encapsulated packets from hosts arrive.
    endpoint listen;
    // The fabric's endpoint, for packets to callers.
    endpoint callers;
    // The fabric's report port.
    endpoint reports;
    // The service's addresses, which the backend server holds itself.
    std::vector<ip_address> addresses;
    std::uint16_t port = 0;
    // Number of requests processed at the same time.
    std::size_t slots = 2;
    // Processing time of one request.
    millis service_time{20};
    // Send rate of an answer above 64 KiB.
    std::uint64_t long_bytes_per_second = 0;
};

// Returns the definition of the command line.
cxxopts::Options make_backend_options();

// Converts the parsed command line. Throws std::runtime_error that names the option with a
// malformed value and the expected form.
backend_options read_options(const cxxopts::ParseResult& parsed);

} // namespace briarbarrow

#endif

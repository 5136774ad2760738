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

// What a backend server stand-in is told.
struct backend_options
{
    std::string name;
    std::string service;
    endpoint listen;
    endpoint callers;
    endpoint reports;
    std::vector<ip_address> addresses;
    std::uint16_t port = 0;
    std::size_t slots = 2;
    millis service_time{20};
    std::uint64_t long_bytes_per_second = 0;
};

// The options that it knows.
cxxopts::Options make_backend_options();

// Reads them. Throws std::runtime_error with what would be right.
backend_options read_options(const cxxopts::ParseResult& parsed);

} // namespace briarbarrow

#endif

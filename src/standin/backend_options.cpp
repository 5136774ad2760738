#include "standin/backend_options.hpp"

#include <stdexcept>

namespace briarbarrow
{

namespace
{

endpoint endpoint_option(const cxxopts::ParseResult& parsed, const std::string& name)
{
    const auto value = parse_endpoint(parsed[name].as<std::string>());
    if (!value)
    {
        throw std::runtime_error("--" + name + " must be an IP address and a port");
    }
    return *value;
}

} // namespace

cxxopts::Options make_backend_options()
{
    cxxopts::Options options("standin_backend", "A stand-in for a backend server, for tests.");
    options.add_options()("name", "Name", cxxopts::value<std::string>())(
        "service", "Service that it belongs to", cxxopts::value<std::string>())(
        "listen", "Where encapsulated packets arrive", cxxopts::value<std::string>())(
        "callers", "Where packets to callers go", cxxopts::value<std::string>())(
        "reports", "Where receipts go", cxxopts::value<std::string>())(
        "address", "Address of the service", cxxopts::value<std::vector<std::string>>())(
        "port", "Port of the service", cxxopts::value<std::uint16_t>())(
        "slots", "Requests worked on at a time", cxxopts::value<std::size_t>()->default_value("2"))(
        "service-time-ms", "Time for one request",
        cxxopts::value<std::int64_t>()->default_value("20"))(
        "long-bytes-per-second", "Rate of a long answer",
        cxxopts::value<std::uint64_t>()->default_value("100000"))("help",
                                                                  "Print this text and end");
    return options;
}

backend_options read_options(const cxxopts::ParseResult& parsed)
{
    backend_options options;
    options.name = parsed["name"].as<std::string>();
    options.service = parsed["service"].as<std::string>();
    options.listen = endpoint_option(parsed, "listen");
    options.callers = endpoint_option(parsed, "callers");
    options.reports = endpoint_option(parsed, "reports");
    options.port = parsed["port"].as<std::uint16_t>();
    options.slots = parsed["slots"].as<std::size_t>();
    options.service_time = millis{parsed["service-time-ms"].as<std::int64_t>()};
    options.long_bytes_per_second = parsed["long-bytes-per-second"].as<std::uint64_t>();
    for (const std::string& text : parsed["address"].as<std::vector<std::string>>())
    {
        const auto address = parse_address(text);
        if (!address)
        {
            throw std::runtime_error("--address must be an IP address");
        }
        options.addresses.push_back(*address);
    }
    return options;
}

} // namespace briarbarrow

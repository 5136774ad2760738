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
    cxxopts::Options options("standin_backend", "A simulated backend server for tests.");
    options.add_options()("name", "Name of the backend server", cxxopts::value<std::string>())(
        "service", "Name of its service", cxxopts::value<std::string>())(
        "listen", "Address and port for encapsulated packets from hosts",
        cxxopts::value<std::string>())("callers",
                                       "Address and port of the fabric, for packets to callers",
                                       cxxopts::value<std::string>())(
        "reports", "Address and port of the fabric, for reports",
        cxxopts::value<std::string>())("address", "Address of the service; may be repeated",
                                       cxxopts::value<std::vector<std::string>>())(
        "port", "Port of the service",
        cxxopts::value<std::uint16_t>())("slots", "Number of requests processed at the same time",
                                         cxxopts::value<std::size_t>()->default_value("2"))(
        "service-time-ms", "Processing time of one request",
        cxxopts::value<std::int64_t>()->default_value("20"))(
        "long-bytes-per-second", "Send rate of an answer above 64 KiB",
        cxxopts::value<std::uint64_t>()->default_value("100000"))("help",
                                                                  "Print this help and exit");
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

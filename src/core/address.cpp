#include "core/address.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>

#include <arpa/inet.h>

namespace briarbarrow
{

namespace
{

constexpr std::array<std::uint8_t, 12> mapped_prefix{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, port);
    const bool whole = parsed.ec == std::errc{} && parsed.ptr == end;
    if (!whole || port == 0)
    {
        return std::nullopt;
    }
    return port;
}

} // namespace

ip_address make_v4(const std::uint8_t* four_bytes)
{
    ip_address address;
    std::copy(mapped_prefix.begin(), mapped_prefix.end(), address.bytes.begin());
    std::memcpy(address.bytes.data() + mapped_prefix.size(), four_bytes, 4);
    return address;
}

ip_address make_v6(const std::uint8_t* sixteen_bytes)
{
    ip_address address;
    std::memcpy(address.bytes.data(), sixteen_bytes, address.bytes.size());
    return address;
}

bool is_v4(const ip_address& address)
{
    return std::equal(mapped_prefix.begin(), mapped_prefix.end(), address.bytes.begin());
}

std::optional<ip_address> parse_address(std::string_view text)
{
    const std::string copy(text);
    std::array<std::uint8_t, 16> raw{};
    if (inet_pton(AF_INET, copy.c_str(), raw.data()) == 1)
    {
        return make_v4(raw.data());
    }
    if (inet_pton(AF_INET6, copy.c_str(), raw.data()) == 1)
    {
        return make_v6(raw.data());
    }
    return std::nullopt;
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
    {
        host = host.substr(1, host.size() - 2);
    }
    const auto address = parse_address(host);
    const auto port = parse_port(text.substr(colon + 1));
    if (!address || !port || is_v4(*address) == bracketed)
    {
        return std::nullopt;
    }
    return endpoint{*address, *port};
}

std::string to_string(const ip_address& address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (is_v4(address))
    {
        inet_ntop(AF_INET, address.bytes.data() + mapped_prefix.size(), text.data(), text.size());
    }
    else
    {
        inet_ntop(AF_INET6, address.bytes.data(), text.data(), text.size());
    }
    return text.data();
}

std::string to_string(const endpoint& value)
{
    const std::string host = to_string(value.address);
    const std::string port = std::to_string(value.port);
    return is_v4(value.address) ? host + ":" + port : "[" + host + "]:" + port;
}

} // namespace briarbarrow

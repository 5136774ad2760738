// IP addresses and endpoints as value types. IPv4 addresses are stored in the IPv4-mapped form of
// RFC 4291, so that both families share one type and one comparison.
#ifndef BRIARBARROW_CORE_ADDRESS_HPP
#define BRIARBARROW_CORE_ADDRESS_HPP

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarbarrow
{

// An IPv6 address, or an IPv4 address in the mapped form.
struct ip_address
{
    std::array<std::uint8_t, 16> bytes{};

    friend auto operator<=>(const ip_address&, const ip_address&) = default;
};

// An address with a UDP or TCP port in host byte order.
struct endpoint
{
    ip_address address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

// Builds an address from the four bytes of an IPv4 header field.
ip_address make_v4(const std::uint8_t* four_bytes);

// Builds an address from the sixteen bytes of an IPv6 header field.
ip_address make_v6(const std::uint8_t* sixteen_bytes);

// True when the address is in the IPv4-mapped form.
bool is_v4(const ip_address& address);

// Parses a numeric address ("127.0.0.1", "fd00::1"). Host names are not accepted.
std::optional<ip_address> parse_address(std::string_view text);

// Parses "127.0.0.1:80" or "[fd00::1]:80". The port must be 1 to 65535.
std::optional<endpoint> parse_endpoint(std::string_view text);

// Formats an address in its usual notation; a mapped IPv4 address as IPv4.
std::string to_string(const ip_address& address);

// Formats an endpoint in the notation that parse_endpoint accepts.
std::string to_string(const endpoint& value);

} // namespace briarbarrow

#endif

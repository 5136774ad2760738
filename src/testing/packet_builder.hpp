// Builds IPv4 and IPv6 packets with TCP or UDP for tests, as callers would send them.
#ifndef BRIARBARROW_TESTING_PACKET_BUILDER_HPP
#define BRIARBARROW_TESTING_PACKET_BUILDER_HPP

#include <cstdint>
#include <string_view>
#include <vector>

#include "wire/ip_packet.hpp"

namespace briarbarrow
{

// TCP flags of a packet to build.
struct tcp_flags
{
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
};

using packet_bytes = std::vector<std::uint8_t>;

// Builds a TCP packet in the address family of the tuple. Checksums are left at zero.
packet_bytes build_tcp(const flow_tuple& tuple, tcp_flags flags, std::uint32_t sequence,
                       std::uint32_t acknowledgement, std::string_view payload);

// Builds a UDP packet in the address family of the tuple. Checksums are left at zero.
packet_bytes build_udp(const flow_tuple& tuple, std::string_view payload);

// Prepends the encapsulation header that the fabric adds to a packet.
packet_bytes encapsulate(const packet_bytes& packet);

} // namespace briarbarrow

#endif

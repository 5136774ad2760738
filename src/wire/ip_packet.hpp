// Parses IP packets as far as a layer-4 load balancer needs it, and builds TCP resets, the only
// packets that the load balancer originates.
//
// Incomplete or malformed packets are rejected with a reason, which the core counts.
#ifndef BRIARBARROW_WIRE_IP_PACKET_HPP
#define BRIARBARROW_WIRE_IP_PACKET_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include <boost/container/static_vector.hpp>

#include "core/address.hpp"
#include "core/result.hpp"

namespace briarbarrow
{

// Largest IP packet that a host accepts. Unit: bytes.
constexpr std::size_t max_packet_bytes = 9000;

// Transport protocols that can be balanced. The values are IANA protocol numbers.
enum class transport : std::uint8_t
{
    tcp = 6,
    udp = 17
};

// Why a packet was rejected.
enum class ip_packet_error : std::uint8_t
{
    truncated,
    oversized,
    fragmented,
    wrong_version,
    bad_length,
    unsupported_protocol
};

constexpr std::array<std::string_view, 6> ip_packet_error_names{
    "truncated", "oversized", "fragmented", "wrong_version", "bad_length", "unsupported_protocol"};

// The five values that identify a flow.
struct flow_tuple
{
    ip_address source;
    ip_address destination;
    std::uint16_t source_port = 0;
    std::uint16_t destination_port = 0;
    transport protocol = transport::tcp;

    friend auto operator<=>(const flow_tuple&, const flow_tuple&) = default;
};

// What a packet does to its flow: open it (SYN without ACK), close it (FIN or RST), or neither. UDP
// packets are always `mid_flow`.
enum class packet_role : std::uint8_t
{
    opening,
    mid_flow,
    closing
};

// A parsed packet.
struct packet_view
{
    flow_tuple tuple;
    packet_role role = packet_role::mid_flow;
    bool is_reset = false;
    bool has_ack = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    // Sequence numbers that the segment occupies: its payload bytes, and one each for SYN and FIN.
    std::uint32_t sequence_length = 0;
    std::span<const std::uint8_t> bytes;
};

// Parses an IPv4 or IPv6 packet. The view refers to the bytes, which must outlive it.
result<packet_view, ip_packet_error> parse_packet(std::span<const std::uint8_t> bytes);

// A TCP reset with its IP header.
using reset_packet = boost::container::static_vector<std::uint8_t, 60>;

// Builds the reset that responds to a TCP segment, as specified in RFC 9293, section 3.10.7.1.
reset_packet make_reset(const packet_view& received);

} // namespace briarbarrow

#endif

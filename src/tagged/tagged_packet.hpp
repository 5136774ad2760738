// A packet that carries a tag: a number that the load balancer writes into the opening packet, and
// that both ends of the flow repeat in all of their packets.
#ifndef BRIARBARROW_TAGGED_TAGGED_PACKET_HPP
#define BRIARBARROW_TAGGED_TAGGED_PACKET_HPP

#include <array>
#include <cstdint>
#include <string_view>

#include "core/clock.hpp"
#include "wire/ip_packet.hpp"

namespace briarbarrow
{

// The tag of a packet that has not been tagged yet.
constexpr std::uint32_t no_tag = 0;

// Largest payload of a packet. Unit: bytes.
constexpr std::uint32_t max_packet_payload = 1'200;
// Packets that an end of a flow sends without an acknowledgement.
constexpr std::uint32_t max_packets_in_flight = 16;

// Time from each transmission of an opening packet to the caller's next one. Unit: milliseconds.
constexpr std::array<std::uint32_t, 2> opening_retransmission_ms{200, 400};
// Time from the last transmission of an opening packet until the caller gives up.
constexpr millis opening_give_up_time{800};

// Why a datagram is not a valid packet.
enum class packet_error : std::uint8_t
{
    truncated,
    wrong_length,
    oversized,
    contradicting_flags
};

constexpr std::array<std::string_view, 4> packet_error_names{"truncated", "wrong_length",
                                                             "oversized", "contradicting_flags"};

// The fields of a caller's packet that routing decisions depend on.
struct tagged_packet
{
    flow_tuple tuple;
    // Flags: opening packet, acknowledgement, close, reset.
    bool opens = false;
    bool has_ack = false;
    bool closes = false;
    bool is_reset = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    // Unit: bytes.
    std::uint32_t payload_bytes = 0;
    std::uint32_t tag = no_tag;
    // For an opening packet: how many times the caller has sent it before.
    std::uint32_t retransmissions = 0;
    // How long it has waited at this host to be read.
    millis waited;
};

} // namespace briarbarrow

#endif

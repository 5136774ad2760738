// Packets that wait until it is known where their flow is open.
#ifndef BRIARBARROW_TAGGED_HELD_PACKETS_HPP
#define BRIARBARROW_TAGGED_HELD_PACKETS_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "core/clock.hpp"
#include "tagged/flow_lookups.hpp"

namespace briarbarrow
{

// Packets held at the same time. Further ones are dropped: their callers send them again.
constexpr std::size_t max_held_packets = 256;

// A held packet, and when it arrived at this host.
struct held_packet
{
    flow_key key;
    std::vector<std::uint8_t> bytes;
    millis arrived;
};

// Held packets in the order of their arrival.
struct held_packet_list
{
    std::deque<held_packet> packets;
    std::uint64_t dropped_total = 0;
};

// Keeps a copy of a packet.
void hold_packet(held_packet_list& held, const flow_key& key, std::span<const std::uint8_t> bytes,
                 millis arrived);

// Removes and returns the packets whose flows are no longer looked up.
std::vector<held_packet> release_packets(held_packet_list& held, const flow_lookups& lookups);

} // namespace briarbarrow

#endif

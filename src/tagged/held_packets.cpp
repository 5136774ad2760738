#include "tagged/held_packets.hpp"

#include <utility>

namespace briarbarrow
{

void hold_packet(held_packet_list& held, const flow_key& key, std::span<const std::uint8_t> bytes,
                 millis arrived)
{
    if (held.packets.size() >= max_held_packets)
    {
        ++held.dropped_total;
        return;
    }
    held.packets.push_back({key, {bytes.begin(), bytes.end()}, arrived});
}

std::vector<held_packet> release_packets(held_packet_list& held, const flow_lookups& lookups)
{
    std::vector<held_packet> released;
    std::deque<held_packet> kept;
    for (held_packet& packet : held.packets)
    {
        if (is_looked_up(lookups, packet.key))
        {
            kept.push_back(std::move(packet));
        }
        else
        {
            released.push_back(std::move(packet));
        }
    }
    held.packets = std::move(kept);
    return released;
}

} // namespace briarbarrow

#include "testing/packet_builder.hpp"

#include <algorithm>

#include <boost/endian/conversion.hpp>

#include "wire/encapsulation.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::size_t v4_header_bytes = 20;
constexpr std::size_t v6_header_bytes = 40;
constexpr std::size_t tcp_header_bytes = 20;
constexpr std::size_t udp_header_bytes = 8;

using boost::endian::store_big_u16;
using boost::endian::store_big_u32;

// Makes an IP header and the ports, followed by zeroes for the rest of the segment.
packet_bytes begin_packet(const flow_tuple& tuple, std::size_t segment_bytes)
{
    const bool is_ipv4 = is_v4(tuple.source);
    const std::size_t header = is_ipv4 ? v4_header_bytes : v6_header_bytes;
    packet_bytes packet(header + segment_bytes, 0);
    const auto& from = tuple.source.bytes;
    const auto& to = tuple.destination.bytes;
    const auto protocol = static_cast<std::uint8_t>(tuple.protocol);
    if (is_ipv4)
    {
        packet[0] = 0x45;
        store_big_u16(packet.data() + 2, static_cast<std::uint16_t>(packet.size()));
        packet[9] = protocol;
        std::copy(from.begin() + 12, from.end(), packet.begin() + 12);
        std::copy(to.begin() + 12, to.end(), packet.begin() + 16);
    }
    else
    {
        packet[0] = 0x60;
        store_big_u16(packet.data() + 4, static_cast<std::uint16_t>(segment_bytes));
        packet[6] = protocol;
        std::copy(from.begin(), from.end(), packet.begin() + 8);
        std::copy(to.begin(), to.end(), packet.begin() + 24);
    }
    store_big_u16(packet.data() + header, tuple.source_port);
    store_big_u16(packet.data() + header + 2, tuple.destination_port);
    return packet;
}

} // namespace

packet_bytes build_tcp(const flow_tuple& tuple, tcp_flags flags, std::uint32_t sequence,
                       std::uint32_t acknowledgement, std::string_view payload)
{
    packet_bytes packet = begin_packet(tuple, tcp_header_bytes + payload.size());
    const std::size_t segment_offset = packet.size() - payload.size() - tcp_header_bytes;
    store_big_u32(packet.data() + segment_offset + 4, sequence);
    store_big_u32(packet.data() + segment_offset + 8, acknowledgement);
    packet[segment_offset + 12] = 5U << 4U;
    std::uint8_t bits = flags.fin ? 0x01 : 0;
    bits |= flags.syn ? 0x02 : 0;
    bits |= flags.rst ? 0x04 : 0;
    bits |= flags.ack ? 0x10 : 0;
    packet[segment_offset + 13] = bits;
    std::copy(payload.begin(), payload.end(), packet.end() - static_cast<int>(payload.size()));
    return packet;
}

packet_bytes build_udp(const flow_tuple& tuple, std::string_view payload)
{
    packet_bytes packet = begin_packet(tuple, udp_header_bytes + payload.size());
    const std::size_t segment_offset = packet.size() - payload.size() - udp_header_bytes;
    store_big_u16(packet.data() + segment_offset + 4,
                  static_cast<std::uint16_t>(udp_header_bytes + payload.size()));
    std::copy(payload.begin(), payload.end(), packet.end() - static_cast<int>(payload.size()));
    return packet;
}

packet_bytes encapsulate(const packet_bytes& packet)
{
    wire_buffer head;
    encode_plain_header(head, packet);
    packet_bytes frame(head.begin(), head.end());
    frame.insert(frame.end(), packet.begin(), packet.end());
    return frame;
}

} // namespace briarbarrow

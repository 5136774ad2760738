#include "wire/ip_packet.hpp"

#include <boost/endian/conversion.hpp>

namespace briarbarrow
{

namespace
{

constexpr std::size_t v4_header_bytes = 20;
constexpr std::size_t v6_header_bytes = 40;
constexpr std::size_t tcp_header_bytes = 20;
constexpr std::size_t udp_header_bytes = 8;
constexpr std::uint8_t v6_fragment_header = 44;
constexpr std::uint16_t v4_fragment_mask = 0x3fff;

constexpr std::uint8_t flag_fin = 0x01;
constexpr std::uint8_t flag_syn = 0x02;
constexpr std::uint8_t flag_rst = 0x04;
constexpr std::uint8_t flag_ack = 0x10;

using boost::endian::load_big_u16;
using boost::endian::load_big_u32;
using boost::endian::store_big_u16;
using boost::endian::store_big_u32;

result<packet_view, ip_packet_error> parse_tcp(packet_view view,
                                               std::span<const std::uint8_t> segment)
{
    if (segment.size() < tcp_header_bytes)
    {
        return ip_packet_error::truncated;
    }
    const std::size_t header_bytes = static_cast<std::size_t>(segment[12] >> 4U) * 4;
    if (header_bytes < tcp_header_bytes || header_bytes > segment.size())
    {
        return ip_packet_error::bad_length;
    }
    const std::uint8_t flags = segment[13];
    const bool syn = (flags & flag_syn) != 0;
    const bool fin = (flags & flag_fin) != 0;
    view.is_reset = (flags & flag_rst) != 0;
    view.has_ack = (flags & flag_ack) != 0;
    if (syn && !view.has_ack && !view.is_reset)
    {
        view.role = packet_role::opening;
    }
    else if (fin || view.is_reset)
    {
        view.role = packet_role::closing;
    }
    view.sequence = load_big_u32(segment.data() + 4);
    view.acknowledgement = load_big_u32(segment.data() + 8);
    view.sequence_length = static_cast<std::uint32_t>(segment.size() - header_bytes);
    view.sequence_length += syn ? 1 : 0;
    view.sequence_length += fin ? 1 : 0;
    return view;
}

result<packet_view, ip_packet_error> parse_udp(packet_view view,
                                               std::span<const std::uint8_t> segment)
{
    if (segment.size() < udp_header_bytes)
    {
        return ip_packet_error::truncated;
    }
    const std::size_t length = load_big_u16(segment.data() + 4);
    if (length < udp_header_bytes || length > segment.size())
    {
        return ip_packet_error::bad_length;
    }
    return view;
}

result<packet_view, ip_packet_error> parse_transport(packet_view view, std::uint8_t protocol,
                                                     std::span<const std::uint8_t> segment)
{
    const bool is_supported = protocol == static_cast<std::uint8_t>(transport::tcp) ||
                              protocol == static_cast<std::uint8_t>(transport::udp);
    if (!is_supported)
    {
        return ip_packet_error::unsupported_protocol;
    }
    if (segment.size() < 4)
    {
        return ip_packet_error::truncated;
    }
    view.tuple.protocol = static_cast<transport>(protocol);
    view.tuple.source_port = load_big_u16(segment.data());
    view.tuple.destination_port = load_big_u16(segment.data() + 2);
    if (view.tuple.protocol == transport::tcp)
    {
        return parse_tcp(view, segment);
    }
    return parse_udp(view, segment);
}

result<packet_view, ip_packet_error> parse_v4(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < v4_header_bytes)
    {
        return ip_packet_error::truncated;
    }
    const std::size_t header_bytes = static_cast<std::size_t>(bytes[0] & 0x0fU) * 4;
    const std::size_t total = load_big_u16(bytes.data() + 2);
    if (header_bytes < v4_header_bytes || total < header_bytes)
    {
        return ip_packet_error::bad_length;
    }
    if (total > bytes.size())
    {
        return ip_packet_error::truncated;
    }
    if ((load_big_u16(bytes.data() + 6) & v4_fragment_mask) != 0)
    {
        return ip_packet_error::fragmented;
    }
    packet_view view;
    view.bytes = bytes.first(total);
    view.tuple.source = make_v4(bytes.data() + 12);
    view.tuple.destination = make_v4(bytes.data() + 16);
    return parse_transport(view, bytes[9], view.bytes.subspan(header_bytes));
}

result<packet_view, ip_packet_error> parse_v6(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < v6_header_bytes)
    {
        return ip_packet_error::truncated;
    }
    const std::size_t total = v6_header_bytes + load_big_u16(bytes.data() + 4);
    if (total > bytes.size())
    {
        return ip_packet_error::truncated;
    }
    if (bytes[6] == v6_fragment_header)
    {
        return ip_packet_error::fragmented;
    }
    packet_view view;
    view.bytes = bytes.first(total);
    view.tuple.source = make_v6(bytes.data() + 8);
    view.tuple.destination = make_v6(bytes.data() + 24);
    if (is_v4(view.tuple.source) || is_v4(view.tuple.destination))
    {
        // An IPv4-mapped address in an IPv6 packet would match an IPv4 flow in the flow table.
        return ip_packet_error::wrong_version;
    }
    return parse_transport(view, bytes[6], view.bytes.subspan(v6_header_bytes));
}

std::uint32_t sum_words(std::span<const std::uint8_t> bytes, std::uint32_t sum)
{
    for (std::size_t i = 0; i + 1 < bytes.size(); i += 2)
    {
        sum += load_big_u16(bytes.data() + i);
    }
    return sum;
}

std::uint16_t fold_checksum(std::uint32_t sum)
{
    while ((sum >> 16U) != 0)
    {
        sum = (sum & 0xffffU) + (sum >> 16U);
    }
    return static_cast<std::uint16_t>(~sum);
}

void write_reset_segment(std::uint8_t* segment, const packet_view& received)
{
    store_big_u16(segment, received.tuple.destination_port);
    store_big_u16(segment + 2, received.tuple.source_port);
    if (received.has_ack)
    {
        store_big_u32(segment + 4, received.acknowledgement);
        segment[13] = flag_rst;
    }
    else
    {
        store_big_u32(segment + 8, received.sequence + received.sequence_length);
        segment[13] = flag_rst | flag_ack;
    }
    segment[12] = 5U << 4U;
}

void write_v4_header(reset_packet& packet, const packet_view& received)
{
    packet[0] = 0x45;
    store_big_u16(packet.data() + 2, static_cast<std::uint16_t>(packet.size()));
    packet[8] = 64;
    packet[9] = static_cast<std::uint8_t>(transport::tcp);
    const auto& from = received.tuple.destination.bytes;
    const auto& to = received.tuple.source.bytes;
    std::copy(from.begin() + 12, from.end(), packet.begin() + 12);
    std::copy(to.begin() + 12, to.end(), packet.begin() + 16);
    const std::span<const std::uint8_t> header(packet.data(), v4_header_bytes);
    store_big_u16(packet.data() + 10, fold_checksum(sum_words(header, 0)));
}

void write_v6_header(reset_packet& packet, const packet_view& received)
{
    packet[0] = 0x60;
    store_big_u16(packet.data() + 4, tcp_header_bytes);
    packet[6] = static_cast<std::uint8_t>(transport::tcp);
    packet[7] = 64;
    const auto& from = received.tuple.destination.bytes;
    const auto& to = received.tuple.source.bytes;
    std::copy(from.begin(), from.end(), packet.begin() + 8);
    std::copy(to.begin(), to.end(), packet.begin() + 24);
}

} // namespace

result<packet_view, ip_packet_error> parse_packet(std::span<const std::uint8_t> bytes)
{
    if (bytes.empty())
    {
        return ip_packet_error::truncated;
    }
    if (bytes.size() > max_packet_bytes)
    {
        return ip_packet_error::oversized;
    }
    switch (bytes[0] >> 4U)
    {
    case 4:
        return parse_v4(bytes);
    case 6:
        return parse_v6(bytes);
    default:
        return ip_packet_error::wrong_version;
    }
}

reset_packet make_reset(const packet_view& received)
{
    const bool is_ipv4 = is_v4(received.tuple.source);
    const std::size_t header_bytes = is_ipv4 ? v4_header_bytes : v6_header_bytes;
    const std::size_t address_offset = is_ipv4 ? 12 : 8;
    reset_packet packet(header_bytes + tcp_header_bytes, 0);
    if (is_ipv4)
    {
        write_v4_header(packet, received);
    }
    else
    {
        write_v6_header(packet, received);
    }
    std::uint8_t* segment = packet.data() + header_bytes;
    write_reset_segment(segment, received);
    const std::span<const std::uint8_t> addresses(packet.data() + address_offset,
                                                  header_bytes - address_offset);
    std::uint32_t sum = static_cast<std::uint32_t>(transport::tcp) + tcp_header_bytes;
    sum = sum_words(addresses, sum);
    sum = sum_words({segment, tcp_header_bytes}, sum);
    store_big_u16(segment + 16, fold_checksum(sum));
    return packet;
}

} // namespace briarbarrow

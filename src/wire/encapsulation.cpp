#include "wire/encapsulation.hpp"

#include <boost/endian/conversion.hpp>

namespace briarbarrow
{

namespace
{

constexpr std::size_t base_bytes = 4;
constexpr std::size_t word_bytes = 4;
constexpr std::size_t relay_fixed_bytes = 60;
constexpr std::size_t host_bytes = 8;
constexpr std::size_t hint_bytes = 24;
constexpr std::size_t max_extension_bytes = 31 * word_bytes;
constexpr std::uint8_t relay_format = 1;
constexpr std::uint8_t control_bit = 0x20;
constexpr std::uint8_t variant_mask = 0xc0;
constexpr std::uint8_t length_mask = 0x1f;
constexpr std::uint8_t protocol_v4 = 4;
constexpr std::uint8_t protocol_v6 = 41;
constexpr std::uint8_t flag_wants_confirmation = 0x80;
constexpr std::uint8_t flag_path_complete = 0x40;
constexpr std::uint8_t hops_mask = 0x3f;

static_assert(relay_fixed_bytes + max_path_hosts * host_bytes <= max_extension_bytes);

// One byte holds the number of hints in its low two bits, then the rank of each in three bits.
constexpr std::uint8_t hint_count_mask = 0x03;
constexpr std::uint8_t rank_mask = 0x07;

constexpr unsigned rank_shift(std::size_t hint_index)
{
    return 2U + 3U * static_cast<unsigned>(hint_index);
}

std::uint8_t encode_hint_byte(const hint_list& hints)
{
    auto byte = static_cast<unsigned>(hints.size());
    for (std::size_t i = 0; i < hints.size(); ++i)
    {
        byte |= static_cast<unsigned>(hints[i].rank) << rank_shift(i);
    }
    return static_cast<std::uint8_t>(byte);
}

std::uint8_t protocol_of(std::span<const std::uint8_t> packet)
{
    return packet.front() >> 4U == 6 ? protocol_v6 : protocol_v4;
}

std::uint64_t read_u64(std::span<const std::uint8_t> bytes, std::size_t offset)
{
    return boost::endian::load_big_u64(bytes.data() + offset);
}

void append_u64(wire_buffer& out, std::uint64_t value)
{
    std::array<std::uint8_t, 8> encoded{};
    boost::endian::store_big_u64(encoded.data(), value);
    out.insert(out.end(), encoded.begin(), encoded.end());
}

void append_u32(wire_buffer& out, std::uint32_t value)
{
    std::array<std::uint8_t, 4> encoded{};
    boost::endian::store_big_u32(encoded.data(), value);
    out.insert(out.end(), encoded.begin(), encoded.end());
}

void append_u16(wire_buffer& out, std::uint16_t value)
{
    std::array<std::uint8_t, 2> encoded{};
    boost::endian::store_big_u16(encoded.data(), value);
    out.insert(out.end(), encoded.begin(), encoded.end());
}

std::optional<control_kind> parse_control_kind(std::uint8_t value)
{
    const bool is_known = value >= static_cast<std::uint8_t>(control_kind::heartbeat) &&
                          value <= static_cast<std::uint8_t>(control_kind::records_taken);
    return is_known ? std::optional(static_cast<control_kind>(value)) : std::nullopt;
}

result<relay_header, frame_error> decode_relay(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < relay_fixed_bytes)
    {
        return frame_error::bad_length;
    }
    if (bytes[0] != relay_format)
    {
        return frame_error::wrong_format;
    }
    const bool is_known_rank = bytes[55] <= static_cast<std::uint8_t>(flow_rank::established);
    if (bytes[1] >= relay_kind_names.size() || !is_known_rank)
    {
        return frame_error::unknown_kind;
    }
    const std::size_t path_length = bytes[3];
    const std::size_t hint_count = bytes[54] & hint_count_mask;
    const std::size_t hints_offset = relay_fixed_bytes + path_length * host_bytes;
    const bool fits = path_length <= max_path_hosts && hint_count <= max_piggybacked_hints &&
                      bytes.size() == hints_offset + hint_count * hint_bytes;
    if (!fits)
    {
        return frame_error::bad_length;
    }
    relay_header header;
    header.kind = static_cast<relay_kind>(bytes[1]);
    header.wants_confirmation = (bytes[2] & flag_wants_confirmation) != 0;
    header.is_path_complete = (bytes[2] & flag_path_complete) != 0;
    header.rank = static_cast<flow_rank>(bytes[55]);
    header.hops = bytes[2] & hops_mask;
    header.ingress = host_id{read_u64(bytes, 4)};
    header.coordinator = host_id{read_u64(bytes, 12)};
    header.service = service_id{read_u64(bytes, 20)};
    header.backend = backend_id{read_u64(bytes, 28)};
    header.backend_packet_endpoint.address = make_v6(bytes.data() + 36);
    header.backend_packet_endpoint.port = boost::endian::load_big_u16(bytes.data() + 52);
    header.age = millis{boost::endian::load_big_u32(bytes.data() + 56)};
    for (std::size_t i = 0; i < path_length; ++i)
    {
        header.path.push_back(host_id{read_u64(bytes, relay_fixed_bytes + i * host_bytes)});
    }
    for (std::size_t i = 0; i < hint_count; ++i)
    {
        const std::size_t offset = hints_offset + i * hint_bytes;
        const flow_key key{read_u64(bytes, offset), read_u64(bytes, offset + 8)};
        const auto rank = static_cast<std::uint8_t>((bytes[54] >> rank_shift(i)) & rank_mask);
        if (rank > static_cast<std::uint8_t>(flow_rank::established))
        {
            return frame_error::unknown_kind;
        }
        const backend_id backend{read_u64(bytes, offset + 16)};
        header.hints.push_back(hint{key, backend, static_cast<flow_rank>(rank)});
    }
    return header;
}

} // namespace

std::size_t hint_capacity(std::size_t path_length)
{
    const std::size_t used = relay_fixed_bytes + path_length * host_bytes;
    const std::size_t capacity = (max_extension_bytes - used) / hint_bytes;
    return capacity < max_piggybacked_hints ? capacity : max_piggybacked_hints;
}

result<frame, frame_error> decode_frame(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() <= base_bytes)
    {
        return frame_error::truncated;
    }
    const bool has_flags = bytes[2] != 0 || bytes[3] != 0;
    if ((bytes[0] & variant_mask) != 0 || has_flags)
    {
        return frame_error::wrong_variant;
    }
    const std::size_t extension_bytes = (bytes[0] & length_mask) * word_bytes;
    if (bytes.size() <= base_bytes + extension_bytes)
    {
        return frame_error::truncated;
    }
    frame decoded;
    decoded.body = bytes.subspan(base_bytes + extension_bytes);
    if ((bytes[0] & control_bit) != 0)
    {
        decoded.control = parse_control_kind(bytes[1]);
        if (!decoded.control)
        {
            return frame_error::unknown_kind;
        }
        if (extension_bytes != 0)
        {
            return frame_error::bad_length;
        }
        return decoded;
    }
    if (bytes[1] != protocol_of(decoded.body))
    {
        return frame_error::unknown_kind;
    }
    if (extension_bytes != 0)
    {
        auto header = decode_relay(bytes.subspan(base_bytes, extension_bytes));
        if (!header)
        {
            return header.error();
        }
        decoded.relay = header.value();
    }
    return decoded;
}

void encode_plain_header(wire_buffer& out, std::span<const std::uint8_t> packet)
{
    out.clear();
    out.push_back(0);
    out.push_back(protocol_of(packet));
    append_u16(out, 0);
}

void encode_relay_header(wire_buffer& out, const relay_header& header,
                         std::span<const std::uint8_t> packet)
{
    const std::size_t bytes =
        relay_fixed_bytes + header.path.size() * host_bytes + header.hints.size() * hint_bytes;
    out.clear();
    out.push_back(static_cast<std::uint8_t>(bytes / word_bytes));
    out.push_back(protocol_of(packet));
    append_u16(out, 0);
    std::uint8_t flags = header.hops & hops_mask;
    flags |= header.wants_confirmation ? flag_wants_confirmation : 0;
    flags |= header.is_path_complete ? flag_path_complete : 0;
    out.push_back(relay_format);
    out.push_back(static_cast<std::uint8_t>(header.kind));
    out.push_back(flags);
    out.push_back(static_cast<std::uint8_t>(header.path.size()));
    append_u64(out, static_cast<std::uint64_t>(header.ingress));
    append_u64(out, static_cast<std::uint64_t>(header.coordinator));
    append_u64(out, static_cast<std::uint64_t>(header.service));
    append_u64(out, static_cast<std::uint64_t>(header.backend));
    const auto& address = header.backend_packet_endpoint.address.bytes;
    out.insert(out.end(), address.begin(), address.end());
    append_u16(out, header.backend_packet_endpoint.port);
    out.push_back(encode_hint_byte(header.hints));
    out.push_back(static_cast<std::uint8_t>(header.rank));
    append_u32(out, static_cast<std::uint32_t>(header.age.count));
    for (const host_id host : header.path)
    {
        append_u64(out, static_cast<std::uint64_t>(host));
    }
    for (const hint& entry : header.hints)
    {
        append_u64(out, entry.key.high);
        append_u64(out, entry.key.low);
        append_u64(out, static_cast<std::uint64_t>(entry.backend));
    }
}

void encode_control_frame(wire_buffer& out, control_kind kind, std::span<const std::uint8_t> body)
{
    out.clear();
    out.push_back(control_bit);
    out.push_back(static_cast<std::uint8_t>(kind));
    append_u16(out, 0);
    out.insert(out.end(), body.begin(), body.end());
}

} // namespace briarbarrow

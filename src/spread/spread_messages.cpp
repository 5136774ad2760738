#include "spread/spread_messages.hpp"

#include <algorithm>

#include "wire/message_codec.hpp"

MSGPACK_ADD_ENUM(briarbarrow::backend_fault);

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
namespace adaptor
{

BRIARBARROW_PACK_MEMBERS(briarbarrow::peer_report, v.address, v.zone, v.started, v.is_leaving,
                         v.store_age, v.openings_per_s)
BRIARBARROW_PACK_MEMBERS(briarbarrow::reported_peer, v.report, v.age)
BRIARBARROW_PACK_MEMBERS(briarbarrow::reported_pace, v.service, v.tag, v.weight, v.log_ratio)
BRIARBARROW_PACK_MEMBERS(briarbarrow::load_report, v.backends)
BRIARBARROW_PACK_MEMBERS(briarbarrow::gossip_message, v.sender, v.others, v.load, v.wants_reply)
BRIARBARROW_PACK_MEMBERS(briarbarrow::versioned_gossip, v.gossip, v.tag_version,
                         v.other_tag_versions)
BRIARBARROW_PACK_MEMBERS(briarbarrow::store_position, v.era, v.revision)
BRIARBARROW_PACK_MEMBERS(briarbarrow::change_cursor, v.position, v.ahead_position,
                         v.partial_position, v.partial_bytes)
BRIARBARROW_PACK_MEMBERS(briarbarrow::change_request, v.number, v.cursor)
BRIARBARROW_PACK_MEMBERS(briarbarrow::item_chunk, v.key, v.position, v.is_deleted, v.offset,
                         v.value_bytes, v.bytes)
BRIARBARROW_PACK_MEMBERS(briarbarrow::change_response, v.number, v.has_list, v.list_age,
                         v.oldest_position, v.position, v.ahead_position, v.has_more, v.items)
BRIARBARROW_PACK_MEMBERS(briarbarrow::flow_key, v.high, v.low)
BRIARBARROW_PACK_MEMBERS(briarbarrow::contested_flow, v.key, v.opening_sequence, v.tag, v.age)
BRIARBARROW_PACK_MEMBERS(briarbarrow::contested_flow_report, v.flows)
BRIARBARROW_PACK_MEMBERS(briarbarrow::contested_flow_request, v.started)
BRIARBARROW_PACK_MEMBERS(briarbarrow::fault_report, v.fault, v.backend, v.answered_since_report)

} // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
} // namespace msgpack

namespace briarbarrow
{

namespace
{

template <typename Message>
std::optional<daemon_message> decode_as(std::span<const std::uint8_t> body)
{
    std::optional<Message> message = unpack_message<Message>(body);
    return message ? std::optional<daemon_message>(std::move(*message)) : std::nullopt;
}

std::optional<daemon_message> decode_fault(std::span<const std::uint8_t> body)
{
    const std::optional<fault_report> report = unpack_message<fault_report>(body);
    return report && report->fault <= backend_fault::missing_answer
               ? std::optional<daemon_message>(*report)
               : std::nullopt;
}

} // namespace

versioned_gossip add_versions(const gossip_message& gossip)
{
    versioned_gossip message{gossip, gossip.sender.tag_version, {}};
    for (const reported_peer& other : gossip.others)
    {
        message.other_tag_versions.push_back(other.report.tag_version);
    }
    return message;
}

gossip_message take_versions(const versioned_gossip& message)
{
    gossip_message gossip = message.gossip;
    gossip.sender.tag_version = message.tag_version;
    const std::size_t count = std::min(gossip.others.size(), message.other_tag_versions.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        gossip.others[i].report.tag_version = message.other_tag_versions[i];
    }
    return gossip;
}

message_bytes encode_daemon_message(const daemon_message& message)
{
    message_bytes bytes =
        std::visit([](const auto& value) { return pack_message(value); }, message);
    // The type byte is the index of the type in the variant.
    bytes.insert(bytes.begin(), static_cast<std::uint8_t>(message.index()));
    return bytes;
}

std::optional<daemon_message> decode_daemon_message(std::span<const std::uint8_t> bytes)
{
    if (bytes.empty())
    {
        return std::nullopt;
    }
    const std::span<const std::uint8_t> body = bytes.subspan(1);
    switch (bytes[0])
    {
    case 0:
        return decode_as<gossip_message>(body);
    case 1:
        return decode_as<change_request>(body);
    case 2:
        return decode_as<change_response>(body);
    case 3:
        return decode_fault(body);
    case 4:
        return decode_as<contested_flow_report>(body);
    case 5:
        return decode_as<contested_flow_request>(body);
    case 6:
        return decode_as<versioned_gossip>(body);
    default:
        return std::nullopt;
    }
}

} // namespace briarbarrow

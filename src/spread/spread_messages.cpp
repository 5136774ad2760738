#include "spread/spread_messages.hpp"

#include "wire/message_codec.hpp"

MSGPACK_ADD_ENUM(briarbarrow::backend_fault);

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
namespace adaptor
{

BRIARBARROW_PACK_MEMBERS(briarbarrow::peer_word, v.address, v.zone, v.started, v.is_leaving,
                         v.store_age, v.openings_per_s)
BRIARBARROW_PACK_MEMBERS(briarbarrow::told_peer, v.word, v.age)
BRIARBARROW_PACK_MEMBERS(briarbarrow::greeting, v.sender, v.others, v.wants_answer)
BRIARBARROW_PACK_MEMBERS(briarbarrow::change_cursor, v.revision, v.part_revision, v.part_bytes)
BRIARBARROW_PACK_MEMBERS(briarbarrow::change_question, v.number, v.cursor)
BRIARBARROW_PACK_MEMBERS(briarbarrow::told_item, v.key, v.revision, v.is_deleted, v.offset,
                         v.whole_bytes, v.bytes)
BRIARBARROW_PACK_MEMBERS(briarbarrow::change_answer, v.number, v.has_list, v.list_age,
                         v.oldest_revision, v.revision, v.has_more, v.items)
BRIARBARROW_PACK_MEMBERS(briarbarrow::fault_word, v.fault, v.backend, v.answered_before)

} // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
} // namespace msgpack

namespace briarbarrow
{

namespace
{

template <typename Message>
std::optional<spread_message> decode_as(std::span<const std::uint8_t> body)
{
    std::optional<Message> message = unpack_message<Message>(body);
    return message ? std::optional<spread_message>(std::move(*message)) : std::nullopt;
}

std::optional<spread_message> decode_fault(std::span<const std::uint8_t> body)
{
    const std::optional<fault_word> word = unpack_message<fault_word>(body);
    return word && word->fault <= backend_fault::missing_answer
               ? std::optional<spread_message>(*word)
               : std::nullopt;
}

} // namespace

message_bytes encode_spread(const spread_message& message)
{
    message_bytes bytes =
        std::visit([](const auto& value) { return pack_message(value); }, message);
    // The kind is the place of the type in the variant.
    bytes.insert(bytes.begin(), static_cast<std::uint8_t>(message.index()));
    return bytes;
}

std::optional<spread_message> decode_spread(std::span<const std::uint8_t> bytes)
{
    if (bytes.empty())
    {
        return std::nullopt;
    }
    const std::span<const std::uint8_t> body = bytes.subspan(1);
    switch (bytes[0])
    {
    case 0:
        return decode_as<greeting>(body);
    case 1:
        return decode_as<change_question>(body);
    case 2:
        return decode_as<change_answer>(body);
    case 3:
        return decode_fault(body);
    default:
        return std::nullopt;
    }
}

} // namespace briarbarrow

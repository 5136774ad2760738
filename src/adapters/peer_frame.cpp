#include "adapters/peer_frame.hpp"

#include <algorithm>

#include <boost/endian/conversion.hpp>

namespace briarbarrow
{

namespace
{

constexpr std::size_t length_bytes = 4;
constexpr std::size_t header_bytes = 6;

using decoded_message = result<std::optional<peer_message>, peer_frame_error>;

template <typename Message>
decoded_message decode_body(std::span<const std::uint8_t> body)
{
    auto message = decode_message<Message>(body);
    if (!message)
    {
        return peer_frame_error::bad_body;
    }
    return std::optional<peer_message>(std::move(*message));
}

decoded_message decode_typed(std::uint8_t type, std::span<const std::uint8_t> body)
{
    switch (type)
    {
    case 0:
        return decode_body<hello>(body);
    case 1:
        return decode_body<host_list>(body);
    case 2:
        return decode_body<configuration_request>(body);
    case 3:
        return decode_body<configuration_response>(body);
    default:
        return peer_frame_error::unknown_type;
    }
}

} // namespace

message_bytes encode_peer_frame(const peer_message& message)
{
    const message_bytes body =
        std::visit([](const auto& value) { return encode_message(value); }, message);
    message_bytes frame(header_bytes + body.size());
    const auto length = static_cast<std::uint32_t>(body.size() + header_bytes - length_bytes);
    boost::endian::store_big_u32(frame.data(), length);
    frame[4] = peer_frame_version;
    frame[5] = static_cast<std::uint8_t>(message.index());
    std::copy(body.begin(), body.end(), frame.begin() + header_bytes);
    return frame;
}

void append_bytes(peer_frame_buffer& buffer, std::span<const std::uint8_t> bytes)
{
    buffer.bytes.insert(buffer.bytes.end(), bytes.begin(), bytes.end());
}

decoded_message pop_message(peer_frame_buffer& buffer)
{
    if (buffer.bytes.size() < length_bytes)
    {
        return std::optional<peer_message>();
    }
    const std::size_t length = boost::endian::load_big_u32(buffer.bytes.data());
    if (length < header_bytes - length_bytes || length > max_peer_frame_bytes)
    {
        return peer_frame_error::bad_length;
    }
    if (buffer.bytes.size() < length_bytes + length)
    {
        return std::optional<peer_message>();
    }
    if (buffer.bytes[4] != peer_frame_version)
    {
        return peer_frame_error::wrong_version;
    }
    const std::span<const std::uint8_t> whole(buffer.bytes.data(), length_bytes + length);
    auto message = decode_typed(whole[5], whole.subspan(header_bytes));
    const auto end = static_cast<std::ptrdiff_t>(length_bytes + length);
    buffer.bytes.erase(buffer.bytes.begin(), buffer.bytes.begin() + end);
    return message;
}

} // namespace briarbarrow

// Converts typed messages to msgpack and back. Include this only in the source files that define
// the encoding of messages; other code uses their encode and decode functions.
#ifndef BRIARBARROW_WIRE_MESSAGE_CODEC_HPP
#define BRIARBARROW_WIRE_MESSAGE_CODEC_HPP

#include <algorithm>
#include <cstdint>
#include <exception>
#include <optional>
#include <span>
#include <vector>

#include <msgpack.hpp>

#include "core/address.hpp"
#include "core/clock.hpp"
#include "wire/messages.hpp"

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
namespace adaptor
{

template <>
struct convert<briarbarrow::ip_address>
{
    const msgpack::object& operator()(const msgpack::object& o, briarbarrow::ip_address& v) const
    {
        if (o.type != msgpack::type::BIN || o.via.bin.size != v.bytes.size())
        {
            throw msgpack::type_error();
        }
        std::copy_n(o.via.bin.ptr, v.bytes.size(), v.bytes.begin());
        return o;
    }
};

template <>
struct pack<briarbarrow::ip_address>
{
    template <typename Stream>
    msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& o,
                                        const briarbarrow::ip_address& v) const
    {
        o.pack_bin(static_cast<std::uint32_t>(v.bytes.size()));
        o.pack_bin_body(reinterpret_cast<const char*>(v.bytes.data()), v.bytes.size());
        return o;
    }
};

// A message is encoded as an array of its members. A missing or an extra member is a type error.
#define BRIARBARROW_PACK_MEMBERS(TYPE, ...)                                                        \
    template <>                                                                                    \
    struct convert<TYPE>                                                                           \
    {                                                                                              \
        const msgpack::object& operator()(const msgpack::object& o, TYPE& v) const                 \
        {                                                                                          \
            convert_members(o, [&v](auto&& visit) { visit(__VA_ARGS__); });                        \
            return o;                                                                              \
        }                                                                                          \
    };                                                                                             \
    template <>                                                                                    \
    struct pack<TYPE>                                                                              \
    {                                                                                              \
        template <typename Stream>                                                                 \
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& o, const TYPE& v) const       \
        {                                                                                          \
            pack_members(o, __VA_ARGS__);                                                          \
            return o;                                                                              \
        }                                                                                          \
    };

template <typename WithMembers>
void convert_members(const msgpack::object& o, WithMembers with_members)
{
    if (o.type != msgpack::type::ARRAY)
    {
        throw msgpack::type_error();
    }
    with_members(
        [&o](auto&... members)
        {
            if (o.via.array.size != sizeof...(members))
            {
                throw msgpack::type_error();
            }
            const msgpack::object* element = o.via.array.ptr;
            (((element++)->convert(members)), ...);
        });
}

template <typename Stream, typename... Members>
void pack_members(msgpack::packer<Stream>& o, const Members&... members)
{
    o.pack_array(sizeof...(members));
    (o.pack(members), ...);
}

BRIARBARROW_PACK_MEMBERS(briarbarrow::endpoint, v.address, v.port)
BRIARBARROW_PACK_MEMBERS(briarbarrow::millis, v.count)

} // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
} // namespace msgpack

namespace briarbarrow
{

// Limits on what one message may contain, so that untrusted bytes can't exhaust memory or stack.
constexpr std::size_t max_array_items = 10'000;
constexpr std::size_t max_text_bytes = 4'000'000;
constexpr std::size_t max_nesting_depth = 8;

inline const msgpack::unpack_limit& message_limits()
{
    static const msgpack::unpack_limit limit(max_array_items, 0, max_text_bytes, max_text_bytes, 0,
                                             max_nesting_depth);
    return limit;
}

// Encodes a message as an array of its members.
template <typename Message>
message_bytes pack_message(const Message& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    const auto* begin = reinterpret_cast<const std::uint8_t*>(buffer.data());
    return message_bytes(begin, begin + buffer.size());
}

// Decodes a message. Returns nothing unless the bytes are exactly one valid message of this type.
template <typename Message>
std::optional<Message> unpack_message(std::span<const std::uint8_t> bytes)
{
    try
    {
        const char* data = reinterpret_cast<const char*>(bytes.data());
        std::size_t consumed = 0;
        const msgpack::object_handle handle =
            msgpack::unpack(data, bytes.size(), consumed, nullptr, nullptr, message_limits());
        if (consumed != bytes.size())
        {
            return std::nullopt;
        }
        return handle.get().as<Message>();
    }
    catch (const std::exception&)
    {
        // The library reports malformed bytes by exceptions of several types.
        return std::nullopt;
    }
}

} // namespace briarbarrow

#endif

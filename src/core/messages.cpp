// msgpack adaptors of the control messages. Enums and strong identifiers travel as integers and
// are checked on the way in.
#include "core/messages.hpp"

#include <msgpack.hpp>

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

// Enumerations travel as small integers; those past the last value are refused.
#define BRIARBARROW_PACK_ENUM(TYPE, LAST)                                                          \
    template <>                                                                                    \
    struct convert<TYPE>                                                                           \
    {                                                                                              \
        const msgpack::object& operator()(const msgpack::object& o, TYPE& v) const                 \
        {                                                                                          \
            const auto raw = o.as<std::uint8_t>();                                                 \
            if (raw > static_cast<std::uint8_t>(LAST))                                             \
            {                                                                                      \
                throw msgpack::type_error();                                                       \
            }                                                                                      \
            v = static_cast<TYPE>(raw);                                                            \
            return o;                                                                              \
        }                                                                                          \
    };                                                                                             \
    template <>                                                                                    \
    struct pack<TYPE>                                                                              \
    {                                                                                              \
        template <typename Stream>                                                                 \
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& o, TYPE v) const              \
        {                                                                                          \
            return o.pack(static_cast<std::uint8_t>(v));                                           \
        }                                                                                          \
    };

BRIARBARROW_PACK_ENUM(briarbarrow::host_state, briarbarrow::host_state::left)
BRIARBARROW_PACK_ENUM(briarbarrow::flow_rank, briarbarrow::flow_rank::established)
#undef BRIARBARROW_PACK_ENUM

// Identifiers travel as unsigned integers.
#define BRIARBARROW_PACK_ID(TYPE)                                                                  \
    template <>                                                                                    \
    struct convert<TYPE>                                                                           \
    {                                                                                              \
        const msgpack::object& operator()(const msgpack::object& o, TYPE& v) const                 \
        {                                                                                          \
            v = TYPE{o.as<std::uint64_t>()};                                                       \
            return o;                                                                              \
        }                                                                                          \
    };                                                                                             \
    template <>                                                                                    \
    struct pack<TYPE>                                                                              \
    {                                                                                              \
        template <typename Stream>                                                                 \
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& o, TYPE v) const              \
        {                                                                                          \
            return o.pack(static_cast<std::uint64_t>(v));                                          \
        }                                                                                          \
    };

BRIARBARROW_PACK_ID(briarbarrow::host_id)
BRIARBARROW_PACK_ID(briarbarrow::service_id)
BRIARBARROW_PACK_ID(briarbarrow::backend_id)
#undef BRIARBARROW_PACK_ID

// A message travels as an array of its members. A missing or a surplus member is a type error.
#define BRIARBARROW_PACK_MEMBERS(TYPE, ...)                                                        \
    template <>                                                                                    \
    struct convert<TYPE>                                                                           \
    {                                                                                              \
        const msgpack::object& operator()(const msgpack::object& o, TYPE& v) const                 \
        {                                                                                          \
            convert_members(o, [&v](auto&& take) { take(__VA_ARGS__); });                          \
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

template <typename Give>
void convert_members(const msgpack::object& o, Give give)
{
    if (o.type != msgpack::type::ARRAY)
    {
        throw msgpack::type_error();
    }
    give(
        [&o](auto&... members)
        {
            if (o.via.array.size != sizeof...(members))
            {
                throw msgpack::type_error();
            }
            const msgpack::object* next = o.via.array.ptr;
            (((next++)->convert(members)), ...);
        });
}

template <typename Stream, typename... Members>
void pack_members(msgpack::packer<Stream>& o, const Members&... members)
{
    o.pack_array(sizeof...(members));
    (o.pack(members), ...);
}

BRIARBARROW_PACK_MEMBERS(briarbarrow::endpoint, v.address, v.port)
BRIARBARROW_PACK_MEMBERS(briarbarrow::flow_key, v.high, v.low)
BRIARBARROW_PACK_MEMBERS(briarbarrow::suspicion, v.host, v.incarnation)
BRIARBARROW_PACK_MEMBERS(briarbarrow::heartbeat, v.incarnation, v.state, v.sequence, v.echo,
                         v.revision, v.digest, v.hosts_digest, v.settled_view, v.suspicions)
BRIARBARROW_PACK_MEMBERS(briarbarrow::hint, v.key, v.backend, v.rank)
BRIARBARROW_PACK_MEMBERS(briarbarrow::hints, v.entries)
BRIARBARROW_PACK_MEMBERS(briarbarrow::moved_record, v.key, v.backend, v.rank, v.phase, v.idle_ms,
                         v.age_ms)
BRIARBARROW_PACK_MEMBERS(briarbarrow::records, v.number, v.entries)
BRIARBARROW_PACK_MEMBERS(briarbarrow::records_taken, v.number)
BRIARBARROW_PACK_MEMBERS(briarbarrow::host_info, v.id, v.name, v.zone, v.packets, v.peers,
                         v.operators, v.incarnation)
BRIARBARROW_PACK_MEMBERS(briarbarrow::told_host, v.info, v.state)
BRIARBARROW_PACK_MEMBERS(briarbarrow::hello, v.sender, v.state)
BRIARBARROW_PACK_MEMBERS(briarbarrow::host_list, v.hosts)
BRIARBARROW_PACK_MEMBERS(briarbarrow::configuration_request, v.held_revision)
BRIARBARROW_PACK_MEMBERS(briarbarrow::configuration_reply, v.text)
#undef BRIARBARROW_PACK_MEMBERS

} // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
} // namespace msgpack

namespace briarbarrow
{

namespace
{

// Bounds on what a decoder may build from one message.
constexpr std::size_t max_array_items = 10'000;
constexpr std::size_t max_text_bytes = 4'000'000;
constexpr std::size_t max_depth = 8;

const msgpack::unpack_limit& limits()
{
    static const msgpack::unpack_limit limit(max_array_items, 0, max_text_bytes, max_text_bytes, 0,
                                             max_depth);
    return limit;
}

} // namespace

template <typename Message>
message_bytes encode_message(const Message& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    const auto* begin = reinterpret_cast<const std::uint8_t*>(buffer.data());
    return message_bytes(begin, begin + buffer.size());
}

template <typename Message>
std::optional<Message> decode_message(std::span<const std::uint8_t> bytes)
{
    try
    {
        const char* data = reinterpret_cast<const char*>(bytes.data());
        std::size_t used = 0;
        const msgpack::object_handle handle =
            msgpack::unpack(data, bytes.size(), used, nullptr, nullptr, limits());
        if (used != bytes.size())
        {
            return std::nullopt;
        }
        return handle.get().as<Message>();
    }
    catch (const std::exception&)
    {
        // The library reports junk by exceptions of several types; all mean the same here.
        return std::nullopt;
    }
}

#define BRIARBARROW_INSTANTIATE(TYPE)                                                              \
    template message_bytes encode_message<TYPE>(const TYPE&);                                      \
    template std::optional<TYPE> decode_message<TYPE>(std::span<const std::uint8_t>);

BRIARBARROW_INSTANTIATE(heartbeat)
BRIARBARROW_INSTANTIATE(hints)
BRIARBARROW_INSTANTIATE(records)
BRIARBARROW_INSTANTIATE(records_taken)
BRIARBARROW_INSTANTIATE(hello)
BRIARBARROW_INSTANTIATE(host_list)
BRIARBARROW_INSTANTIATE(configuration_request)
BRIARBARROW_INSTANTIATE(configuration_reply)
#undef BRIARBARROW_INSTANTIATE

} // namespace briarbarrow

// Msgpack encoding of the control messages. Enums and strongly typed identifiers are encoded as
// integers; enum values are validated when decoded.
#include "wire/messages.hpp"

#include "wire/message_codec.hpp"

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
namespace adaptor
{

// Enums are encoded as small integers. Values above the last enumerator are rejected.
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

// Identifiers are encoded as unsigned integers.
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

BRIARBARROW_PACK_MEMBERS(briarbarrow::flow_key, v.high, v.low)
BRIARBARROW_PACK_MEMBERS(briarbarrow::suspicion, v.host, v.incarnation)
BRIARBARROW_PACK_MEMBERS(briarbarrow::heartbeat, v.incarnation, v.state, v.sequence, v.echo,
                         v.revision, v.digest, v.hosts_digest, v.synced_view, v.suspicions)
BRIARBARROW_PACK_MEMBERS(briarbarrow::hint, v.key, v.backend, v.rank)
BRIARBARROW_PACK_MEMBERS(briarbarrow::hints, v.entries)
BRIARBARROW_PACK_MEMBERS(briarbarrow::transferred_record, v.key, v.backend, v.rank, v.phase,
                         v.idle_ms, v.age_ms)
BRIARBARROW_PACK_MEMBERS(briarbarrow::record_batch, v.number, v.entries)
BRIARBARROW_PACK_MEMBERS(briarbarrow::record_batch_ack, v.number)
BRIARBARROW_PACK_MEMBERS(briarbarrow::host_info, v.id, v.name, v.zone, v.packets, v.peers,
                         v.operators, v.incarnation)
BRIARBARROW_PACK_MEMBERS(briarbarrow::reported_host, v.info, v.state)
BRIARBARROW_PACK_MEMBERS(briarbarrow::hello, v.sender, v.state)
BRIARBARROW_PACK_MEMBERS(briarbarrow::host_list, v.hosts)
BRIARBARROW_PACK_MEMBERS(briarbarrow::configuration_request, v.held_revision)
BRIARBARROW_PACK_MEMBERS(briarbarrow::configuration_response, v.text)

} // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
} // namespace msgpack

namespace briarbarrow
{

template <typename Message>
message_bytes encode_message(const Message& message)
{
    return pack_message(message);
}

template <typename Message>
std::optional<Message> decode_message(std::span<const std::uint8_t> bytes)
{
    return unpack_message<Message>(bytes);
}

#define BRIARBARROW_INSTANTIATE(TYPE)                                                              \
    template message_bytes encode_message<TYPE>(const TYPE&);                                      \
    template std::optional<TYPE> decode_message<TYPE>(std::span<const std::uint8_t>);

BRIARBARROW_INSTANTIATE(heartbeat)
BRIARBARROW_INSTANTIATE(hints)
BRIARBARROW_INSTANTIATE(record_batch)
BRIARBARROW_INSTANTIATE(record_batch_ack)
BRIARBARROW_INSTANTIATE(hello)
BRIARBARROW_INSTANTIATE(host_list)
BRIARBARROW_INSTANTIATE(configuration_request)
BRIARBARROW_INSTANTIATE(configuration_response)
#undef BRIARBARROW_INSTANTIATE

} // namespace briarbarrow

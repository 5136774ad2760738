// Control messages between hosts. A message body is a msgpack array with the members in the order
// of their declaration. Decoders accept untrusted bytes and return nothing unless these are exactly
// one valid message of the expected type.
#ifndef BRIARBARROW_WIRE_MESSAGES_HPP
#define BRIARBARROW_WIRE_MESSAGES_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/flows/flow_key.hpp"
#include "core/ids.hpp"
#include "core/members/host.hpp"
#include "wire/encapsulation.hpp"

namespace briarbarrow
{

// A host whose heartbeats the sender has not received for too long.
struct suspicion
{
    host_id host = host_id::none;
    std::uint64_t incarnation = 0;

    friend bool operator==(const suspicion&, const suspicion&) = default;
};

// Sent over UDP at each heartbeat interval to the hosts that monitor the sender and to those that
// it monitors. The receiver identifies the sender by its address.
struct heartbeat
{
    std::uint64_t incarnation = 0;
    host_state state = host_state::joining;
    // Number of this heartbeat, and of the latest one that the sender got from the receiver.
    std::uint32_t sequence = 0;
    std::uint32_t echo = 0;
    // Revision and digest of the configuration that the sender has in force.
    std::uint64_t revision = 0;
    std::uint32_t digest = 0;
    // Digest of the sender's list of hosts, to detect that the lists of two hosts differ.
    std::uint32_t hosts_digest = 0;
    // Digest of the view in which both owners hold every record of the sender; 0 until they do.
    std::uint32_t synced_view = 0;
    std::vector<suspicion> suspicions;

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

// Route hints that could not be piggybacked on a packet. Sent over UDP, within a rate limit.
struct hints
{
    std::vector<hint> entries;

    friend bool operator==(const hints&, const hints&) = default;
};

// A flow record that one owner sends to another.
struct transferred_record
{
    flow_key key;
    backend_id backend = backend_id::none;
    flow_rank rank = flow_rank::choice;
    std::uint8_t phase = 0;
    // Time since the flow's last packet. Unit: milliseconds.
    std::uint32_t idle_ms = 0;
    // Time since the flow was opened. Unit: milliseconds.
    std::uint32_t age_ms = 0;

    friend bool operator==(const transferred_record&, const transferred_record&) = default;
};

// A batch of records. The receiver acknowledges it by its number once it has stored all of them.
struct record_batch
{
    std::uint32_t number = 0;
    std::vector<transferred_record> entries;

    friend bool operator==(const record_batch&, const record_batch&) = default;
};

// Acknowledges a batch of records.
struct record_batch_ack
{
    std::uint32_t number = 0;

    friend bool operator==(const record_batch_ack&, const record_batch_ack&) = default;
};

// A host and its state, as reported by another host.
struct reported_host
{
    host_info info;
    host_state state = host_state::unheard;

    friend bool operator==(const reported_host&, const reported_host&) = default;
};

// First message on a peer link in both directions: identifies the sender.
struct hello
{
    host_info sender;
    host_state state = host_state::joining;

    friend bool operator==(const hello&, const hello&) = default;
};

// The sender's list of hosts.
struct host_list
{
    std::vector<reported_host> hosts;

    friend bool operator==(const host_list&, const host_list&) = default;
};

// Requests the configuration, if the receiver holds a newer revision than the sender.
struct configuration_request
{
    std::uint64_t held_revision = 0;

    friend bool operator==(const configuration_request&, const configuration_request&) = default;
};

// The configuration, as the text that the platform stores.
struct configuration_response
{
    std::string text;

    friend bool operator==(const configuration_response&, const configuration_response&) = default;
};

using message_bytes = std::vector<std::uint8_t>;

// Encodes a message as msgpack.
template <typename Message>
message_bytes encode_message(const Message& message);

// Decodes a message. Returns nothing unless the bytes are exactly one valid message of this type.
template <typename Message>
std::optional<Message> decode_message(std::span<const std::uint8_t> bytes);

} // namespace briarbarrow

#endif

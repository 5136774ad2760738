// The control messages between hosts, as typed values. Bodies are msgpack arrays in the order of
// the members. Decoders take any bytes and return nothing for those that are not exactly one
// message of the expected shape.
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

// A host that the sender has not heard from for too long.
struct suspicion
{
    host_id host = host_id::none;
    std::uint64_t incarnation = 0;

    friend bool operator==(const suspicion&, const suspicion&) = default;
};

// Sent at every heartbeat interval, over UDP, to the hosts that watch the sender and to those that
// it watches. The receiver knows the sender by its address.
struct heartbeat
{
    std::uint64_t incarnation = 0;
    host_state state = host_state::joining;
    // Number of this heartbeat, and of the newest one received from the receiver.
    std::uint32_t sequence = 0;
    std::uint32_t echo = 0;
    // Configuration that the sender has in force.
    std::uint64_t revision = 0;
    std::uint32_t digest = 0;
    // Digest of the sender's list of hosts, to notice that lists differ.
    std::uint32_t hosts_digest = 0;
    // Digest of the view in which every record of the sender is with both keepers; 0 while not.
    std::uint32_t synced_view = 0;
    std::vector<suspicion> suspicions;

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

// Hints that found no packet to ride on. Sent over UDP, within a budget.
struct hints
{
    std::vector<hint> entries;

    friend bool operator==(const hints&, const hints&) = default;
};

// One flow in a batch that one keeper sends to another.
struct transferred_record
{
    flow_key key;
    backend_id backend = backend_id::none;
    flow_rank rank = flow_rank::choice;
    std::uint8_t phase = 0;
    // Time since the flow's last packet. Unit: milliseconds.
    std::uint32_t idle_ms = 0;
    // Time since the flow's opening. Unit: milliseconds.
    std::uint32_t age_ms = 0;

    friend bool operator==(const transferred_record&, const transferred_record&) = default;
};

// A batch of records, answered by records_taken with the same number once all of it is taken.
struct record_batch
{
    std::uint32_t number = 0;
    std::vector<transferred_record> entries;

    friend bool operator==(const record_batch&, const record_batch&) = default;
};

// Confirms a batch of records.
struct record_batch_ack
{
    std::uint32_t number = 0;

    friend bool operator==(const record_batch_ack&, const record_batch_ack&) = default;
};

// A host and its state, as one host tells another one.
struct reported_host
{
    host_info info;
    host_state state = host_state::unheard;

    friend bool operator==(const reported_host&, const reported_host&) = default;
};

// Opens a peer link: who is calling. Sent first in both directions.
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

// Asks for the configuration, when the sender holds an older revision.
struct configuration_request
{
    std::uint64_t held_revision = 0;

    friend bool operator==(const configuration_request&, const configuration_request&) = default;
};

// The configuration in the form in which the platform holds it.
struct configuration_response
{
    std::string text;

    friend bool operator==(const configuration_response&, const configuration_response&) = default;
};

using message_bytes = std::vector<std::uint8_t>;

// Writes a message as msgpack.
template <typename Message>
message_bytes encode_message(const Message& message);

// Reads a message, or nothing when the bytes are not exactly one such message.
template <typename Message>
std::optional<Message> decode_message(std::span<const std::uint8_t> bytes);

} // namespace briarbarrow

#endif

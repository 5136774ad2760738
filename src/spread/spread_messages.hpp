// The datagrams between daemons on the wire: a byte that names the kind, then a msgpack array of
// the message's members. Any other bytes are no message.
#ifndef BRIARBARROW_SPREAD_SPREAD_MESSAGES_HPP
#define BRIARBARROW_SPREAD_SPREAD_MESSAGES_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>

#include "spread/item_replica.hpp"
#include "spread/peer_table.hpp"
#include "wire/messages.hpp"

namespace briarbarrow
{

// What the sender has found of a backend server.
enum class backend_fault : std::uint8_t
{
    // By a check of its own.
    unresponsive,
    // By a request.
    short_answer,
    missing_answer
};

struct fault_report
{
    backend_fault fault = backend_fault::unresponsive;
    std::string backend;
    // Requests that the sender has seen answered well since it told of this backend server last.
    std::uint32_t answered_since_report = 0;

    friend bool operator==(const fault_report&, const fault_report&) = default;
};

using daemon_message = std::variant<gossip_message, change_request, change_response, fault_report>;

// Writes a message.
message_bytes encode_daemon_message(const daemon_message& message);

// Reads a message.
std::optional<daemon_message> decode_daemon_message(std::span<const std::uint8_t> bytes);

} // namespace briarbarrow

#endif

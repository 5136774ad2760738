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
#include "spread/roster.hpp"
#include "wire/messages.hpp"

namespace briarbarrow
{

// What the sender has found of a backend server.
enum class backend_fault : std::uint8_t
{
    // By a check of its own.
    silent,
    // By a request.
    short_answer,
    missing_answer
};

struct fault_word
{
    backend_fault fault = backend_fault::silent;
    std::string backend;
    // Requests that the sender has seen answered well since it told of this backend server last.
    std::uint32_t answered_before = 0;

    friend bool operator==(const fault_word&, const fault_word&) = default;
};

using spread_message = std::variant<greeting, change_question, change_answer, fault_word>;

// Writes a message.
message_bytes encode_spread(const spread_message& message);

// Reads a message.
std::optional<spread_message> decode_spread(std::span<const std::uint8_t> bytes);

} // namespace briarbarrow

#endif

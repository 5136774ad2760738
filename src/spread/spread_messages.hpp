// Encoding of the datagrams between daemons: a byte for the message type, then a msgpack array of
// the message's members. Anything else is rejected.
#ifndef BRIARBARROW_SPREAD_SPREAD_MESSAGES_HPP
#define BRIARBARROW_SPREAD_SPREAD_MESSAGES_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>

#include "spread/contested_flow.hpp"
#include "spread/item_replica.hpp"
#include "spread/peer_table.hpp"
#include "wire/messages.hpp"

namespace briarbarrow
{

// Kinds of faults of a backend server.
enum class backend_fault : std::uint8_t
{
    // A health check of the sender got no response.
    unresponsive,
    // A request through the sender got an answer that is too short, or none.
    short_answer,
    missing_answer
};

// A daemon's report of a faulty backend server.
struct fault_report
{
    backend_fault fault = backend_fault::unresponsive;
    std::string backend;
    // Requests that the sender saw answered well since its last report about this backend server.
    std::uint32_t answered_since_report = 0;

    friend bool operator==(const fault_report&, const fault_report&) = default;
};

using daemon_message = std::variant<gossip_message, change_request, change_response, fault_report,
                                    contested_flow_report, contested_flow_request>;

message_bytes encode_daemon_message(const daemon_message& message);

// Returns nothing for malformed bytes.
std::optional<daemon_message> decode_daemon_message(std::span<const std::uint8_t> bytes);

} // namespace briarbarrow

#endif

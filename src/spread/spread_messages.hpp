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

// A gossip message with what daemons of earlier versions don't know. They reject it, so it is sent
// beside the plain one to a daemon whose version isn't known yet.
struct versioned_gossip
{
    gossip_message gossip;
    // Of the sender and of each of the others.
    std::uint32_t tag_version = 0;
    std::vector<std::uint32_t> other_tag_versions;

    friend bool operator==(const versioned_gossip&, const versioned_gossip&) = default;
};

versioned_gossip add_versions(const gossip_message& gossip);

// The gossip message with the versions in its reports. Missing ones are left at 0.
gossip_message take_versions(const versioned_gossip& message);

using daemon_message =
    std::variant<gossip_message, change_request, change_response, fault_report,
                 contested_flow_report, contested_flow_request, versioned_gossip>;

message_bytes encode_daemon_message(const daemon_message& message);

// Returns nothing for malformed bytes.
std::optional<daemon_message> decode_daemon_message(std::span<const std::uint8_t> bytes);

} // namespace briarbarrow

#endif

// What daemons tell each other about contested flows: flows of which more than one backend server
// may have received the opening packet, so that the caller's tag may be that of another one than
// the one where the flow is open (contested_flows.hpp).
#ifndef BRIARBARROW_SPREAD_CONTESTED_FLOW_HPP
#define BRIARBARROW_SPREAD_CONTESTED_FLOW_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/clock.hpp"
#include "core/flows/flow_key.hpp"

namespace briarbarrow
{

// Flows in one message, which fits a datagram.
constexpr std::size_t max_reported_contested_flows = 25;

// A contested flow that has opened, or one that the sender hasn't seen open: another daemon that
// has reports where.
struct contested_flow
{
    flow_key key;
    // Sequence number of its opening packet, which tells it from others with the same addresses.
    std::uint32_t opening_sequence = 0;
    // Tag of the backend server at which it opened, or 0, and the time since then.
    std::uint32_t tag = 0;
    millis age;

    friend bool operator==(const contested_flow&, const contested_flow&) = default;
};

// Contested flows that the sender knows.
struct contested_flow_report
{
    std::vector<contested_flow> flows;

    friend bool operator==(const contested_flow_report&, const contested_flow_report&) = default;
};

// Asks for the contested flows that the receiver knows.
struct contested_flow_request
{
    // Start of the sender's process. Unit: milliseconds since the epoch.
    std::int64_t started = 0;

    friend bool operator==(const contested_flow_request&, const contested_flow_request&) = default;
};

} // namespace briarbarrow

#endif

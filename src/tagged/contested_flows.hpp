// Remembers at which backend server a contested flow is open. A caller repeats the newest tag that
// it has received. When its opening packet has reached two backend servers, that may be the tag of
// the one that answered second: it was paused, or its answer was lost and repeated. A daemon that
// has seen the flow open knows better, but its memory ends with its process, and a change of the
// rotation takes the flow to other daemons. So daemons report such flows to each other, a daemon
// that starts asks for them, and they are recorded in the store for as long as a flow may live.
// They are rare.
#ifndef BRIARBARROW_TAGGED_CONTESTED_FLOWS_HPP
#define BRIARBARROW_TAGGED_CONTESTED_FLOWS_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "spread/contested_flow.hpp"
#include "tagged/flow_memory.hpp"

namespace briarbarrow
{

// Maximum number of contested flows kept; the oldest are dropped first.
constexpr std::size_t max_contested_flows = 4'000;

// An entry of the list.
struct known_contested_flow
{
    std::uint32_t opening_sequence = 0;
    std::uint32_t tag = 0;
    millis opened;
};

// The contested flows that a daemon knows, its own and those that others have reported.
struct contested_flow_list
{
    std::unordered_map<flow_key, known_contested_flow, flow_key_hash> flows;
    // In the order in which they were learned.
    std::deque<flow_key> order;
};

// True when a sequence number is one of a caller's flow with this opening packet.
bool is_of_flow(std::uint32_t sequence, std::uint32_t opening_sequence);

// Adds a flow, or replaces an older one with the same addresses.
void add_contested_flow(contested_flow_list& list, const contested_flow& flow, millis now);

// Removes a flow, since its addresses are used again. False when it wasn't in the list.
bool remove_contested_flow(contested_flow_list& list, const flow_key& key);

// True when a flow with this opening packet is known to be open.
bool is_known_to_be_open(const contested_flow_list& list, const flow_key& key,
                         std::uint32_t opening_sequence, millis max_age, millis now);

// The entry for a flow's addresses, which may be that of an earlier flow; null if there is none, or
// if its flow is older than `max_age`.
const known_contested_flow* find_contested_flow(const contested_flow_list& list,
                                                const flow_key& key, millis max_age, millis now);

// Removes flows that are older than `max_age`.
void expire_contested_flows(contested_flow_list& list, millis max_age, millis now);

// All flows of the list, the newest first, to be reported to a daemon that has just started.
std::vector<contested_flow> list_contested_flows(const contested_flow_list& list, millis now);

} // namespace briarbarrow

#endif

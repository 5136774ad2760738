// The flows whose packets a daemon has seen recently. Packets can be routed by their tag without
// it; the memory adds what a tag can't tell: that a flow has opened at another backend server than
// its newest tag names, how many flows are open at each backend server, and which callers are
// waiting at an unresponsive one.
#ifndef BRIARBARROW_TAGGED_FLOW_MEMORY_HPP
#define BRIARBARROW_TAGGED_FLOW_MEMORY_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "core/flows/flow_key.hpp"
#include "tagged/backend_directory.hpp"
#include "tagged/route_table.hpp"

namespace briarbarrow
{

// Maximum number of remembered flows. Beyond it new flows are placed but not remembered.
constexpr std::size_t max_remembered_flows = 200'000;
// A flow of which only the opening packet was seen is removed after this long: a caller retransmits
// within 600 ms and gives up after 1,400 ms.
constexpr millis opening_retention{1'600};
// A closed flow is remembered for this long, for late packets.
constexpr millis closed_retention{2'000};
// How often a flow is reviewed, and additionally one whose request is being processed.
constexpr millis flow_review_interval{500};
constexpr millis busy_review_interval{100};

enum class flow_stage : std::uint8_t
{
    // The caller's opening packet was forwarded.
    opening,
    // The caller has acknowledged an answer.
    open,
    // The caller has closed or reset it, or the daemon has reset it.
    closed,
    // Its tag names no known backend server.
    unknown
};

// State of one flow.
struct remembered_flow
{
    flow_tuple tuple;
    backend_index backend = no_backend;
    flow_stage stage = flow_stage::opening;
    request_kind kind = request_kind::at_most_once;
    // Whether it is included in its backend server's `in_flight` and `open_flows`.
    bool is_counted = false;
    bool is_counted_open = false;
    bool has_request = false;
    // Requests of the flow so far, when the latest one began, and whether its answer has begun.
    std::uint32_t requests = 0;
    millis request_begun;
    bool has_answer = false;
    std::uint32_t tag = 0;
    std::uint32_t opening_sequence = 0;
    // Highest sequence number at the end of a payload, and highest acknowledgement.
    std::uint32_t data_end = 0;
    std::uint32_t acknowledgement = 0;
    // The caller has retransmitted data, and nothing has advanced since.
    bool is_retransmitting = false;
    // Whether the outcome of the current request is still to be recorded, and the acknowledgement
    // at its start. Only for flows whose opening packet was seen.
    bool is_outcome_pending = false;
    std::uint32_t answer_begin = 0;
    // The caller's timeout.
    millis timeout{1'000};
    // Expected wait for a slot at its placement. Unit: milliseconds.
    double expected_wait_ms = 0;
    // Flows of the whole fleet that this one stands for (fleet_load.hpp).
    double fleet_weight = 1;
    // The flow counts as load for this long without progress.
    millis load_lifetime;
    millis first_seen;
    millis opened;
    millis last_packet;
    millis last_progress;
    // Another backend server may have received an opening packet of the flow.
    bool is_contested = false;
    // Opening packets that were forwarded; 0 if this daemon did not see the flow open.
    std::uint32_t openings = 0;
};

struct flow_key_hash
{
    std::size_t operator()(const flow_key& key) const
    {
        return static_cast<std::size_t>(key.low);
    }
};

// A scheduled review of a flow.
struct flow_review
{
    millis due;
    flow_key key;
};

// All remembered flows.
struct flow_memory
{
    std::unordered_map<flow_key, remembered_flow, flow_key_hash> flows;
    // Ordered by due time.
    std::deque<flow_review> reviews;
    std::deque<flow_review> busy_reviews;
};

// Assigns a flow to a backend server and counts it there, or removes the assignment.
void attach_flow(backend_directory& directory, remembered_flow& flow, backend_index backend);
void detach_flow(backend_directory& directory, remembered_flow& flow);

// Stops counting a flow as load of its backend server without removing the assignment; counts it
// again.
void stop_counting_flow(backend_directory& directory, remembered_flow& flow);
void count_flow(backend_directory& directory, remembered_flow& flow);

// Remembers a new flow. Returns null when the memory is full.
remembered_flow* remember_flow(flow_memory& memory, const flow_key& key,
                               const remembered_flow& flow, millis now);

// True when a flow has been idle for so long that it can be removed.
bool is_flow_expired(const remembered_flow& flow, millis idle_timeout, millis now);

// True when an open flow has made no progress for the given time.
bool is_stalled(const remembered_flow& flow, millis stall_timeout, millis now);

// True when a flow has made no progress for longer than its request should take. Its packets have
// likely moved to another daemon, which sees its end.
bool is_load_expired(const remembered_flow& flow, millis now);

// True when a flow's caller has likely given up.
bool is_likely_abandoned(const remembered_flow& flow, millis now);

} // namespace briarbarrow

#endif

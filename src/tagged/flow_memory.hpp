// What a daemon remembers of the flows whose packets it has seen lately. Later packets find their
// way by their tag, also at daemons that remember nothing; the memory adds what a tag can't say:
// that a flow has opened at another backend server than its newest tag names, how many flows are
// open at each backend server, and which callers wait at one that has fallen silent.
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

// Most flows that are remembered; beyond it new ones are placed but not remembered.
constexpr std::size_t max_remembered_flows = 200'000;
// An opening that no packet followed is forgotten after this long: a caller's copies come within
// 600 ms and it gives up at 1,400 ms.
constexpr millis opening_retention{1'600};
// A flow whose caller has closed is remembered for late packets.
constexpr millis closed_retention{2'000};
// How often a flow is looked at, and one whose request is being worked on.
constexpr millis flow_review_interval{500};
constexpr millis busy_review_interval{100};

enum class flow_stage : std::uint8_t
{
    // The caller's opening was sent on.
    opening,
    // The caller has acknowledged an answer.
    open,
    // The caller has closed or reset it.
    closed,
    // Its tag names no known backend server.
    unknown
};

// One flow.
struct remembered_flow
{
    flow_tuple tuple;
    backend_index backend = no_backend;
    flow_stage stage = flow_stage::opening;
    request_kind kind = request_kind::at_most_once;
    // Counted in its backend server's flows.
    bool is_counted = false;
    bool is_counted_open = false;
    bool has_request = false;
    std::uint32_t tag = 0;
    std::uint32_t opening_sequence = 0;
    // Highest sequence number seen behind a payload, and highest acknowledgement.
    std::uint32_t data_end = 0;
    std::uint32_t acknowledgement = 0;
    // The caller sent the same data again, and nothing advanced since.
    bool is_retransmitting = false;
    // Acknowledgement with which the request under way began, for a flow that was seen to open.
    bool is_answer_watched = false;
    std::uint32_t answer_begin = 0;
    millis timeout{1'000};
    millis first_seen;
    millis opened;
    millis last_packet;
    millis last_progress;
    std::uint32_t openings = 0;
};

struct flow_key_hash
{
    std::size_t operator()(const flow_key& key) const
    {
        return static_cast<std::size_t>(key.low);
    }
};

// A flow that is to be looked at.
struct flow_review
{
    millis due;
    flow_key key;
};

// All remembered flows.
struct flow_memory
{
    std::unordered_map<flow_key, remembered_flow, flow_key_hash> flows;
    // Each in the order of their times.
    std::deque<flow_review> reviews;
    std::deque<flow_review> busy_reviews;
};

// Names the backend server of a flow, which is counted there, or takes the name back.
void attach_flow(backend_directory& known, remembered_flow& flow, backend_index backend);
void detach_flow(backend_directory& known, remembered_flow& flow);

// Stops to count a flow as work of its backend server, which it keeps; counts it again.
void uncount_flow(backend_directory& known, remembered_flow& flow);
void recount_flow(backend_directory& known, remembered_flow& flow);

// Remembers a new flow. Null when the memory is full.
remembered_flow* remember_flow(flow_memory& memory, const flow_key& key,
                               const remembered_flow& flow, millis now);

// True when a flow has been silent for so long that it can be forgotten.
bool is_flow_expired(const remembered_flow& flow, millis idle_timeout, millis now);

// True when a flow's request has been without progress for longer than the work explains.
bool is_stalled(const remembered_flow& flow, millis span, millis now);

// True when a flow that is still remembered has likely been given up by its caller.
bool is_likely_abandoned(const remembered_flow& flow, millis now);

} // namespace briarbarrow

#endif

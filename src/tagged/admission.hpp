// Admission control: decides whether a new flow is admitted or refused.
//
// The load it is made for: more requests than the backend servers can process. A short burst fills
// the queues only briefly, and a late answer is better than none. A standing queue makes every
// answer late without serving more requests (as in CoDel): the wait is then kept so short that
// admitted requests are answered in time, and the less urgent ones yield.
//
// What is not admitted is deferred or refused. A deferred opening packet is dropped, and the caller
// sends it again after a fraction of a second; its last retransmission is admitted. For a flow that
// would wait longer than until then, this costs no time, and it spares the caller a refusal by a
// backend server whose queue is full. The backlog of callers that waited while this daemon was down
// or paused is deferred as well: it passes within their timeout, and refusals would use up their
// attempts in milliseconds. In any other standing queue there is no room for what would come back,
// so a flow is refused at once, as is one whose wait alone would outlast its caller's timeout.
//
// The expected wait is computed from open flows, which are known only in part: other daemons open
// flows at the same backend servers, and the network may hand a flow's packets to another daemon,
// which then sees its end. So the wait of answered requests corrects the estimate, and without
// recent answers it holds nobody back: a daemon that refuses everything gets no more answers and
// therefore soon admits flows again, which show the state of the queue.
#ifndef BRIARBARROW_TAGGED_ADMISSION_HPP
#define BRIARBARROW_TAGGED_ADMISSION_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/clock.hpp"
#include "tagged/route_table.hpp"

namespace briarbarrow
{

// How long an admitted flow may have to wait for a slot.
struct admission_limits
{
    // Fractions of the caller's timeout, while there is no standing queue.
    double urgent_timeout_share = 0.9;
    double ordinary_timeout_share = 0.6;
    // Fractions of the route's objective, while there is a standing queue. The rest of the
    // objective is for processing the request.
    double urgent_objective_share = 1.0;
    double ordinary_objective_share = 0.3;
    // A queue whose wait is at most this fraction of the objective counts as drained.
    double drained_objective_share = 0.2;
    // A queue that has not been drained for this long is standing, and one that has stayed drained
    // for this long is no longer: several objectives.
    millis standing_queue_interval{300};
    // The expected wait counts for this long after a request was answered.
    millis evidence_lifetime{300};
    // Routes of this priority and below it (0 is the most urgent) count as urgent.
    std::uint32_t urgent_priority = 1;
};

// Recent history of a service's queue.
struct queue_history
{
    bool is_standing = false;
    // Smoothed wait of new flows: a daemon with few flows of its own sees one or two more or less
    // of them as a queue that comes and goes. Unit: milliseconds.
    double smoothed_wait_ms = 0;
    // When a new flow last found the queue drained, or was the first one after an idle time.
    millis last_drained;
    // When a new flow last found the queue not drained.
    millis last_backlogged;
    millis last_flow;
};

// What to do with a new flow.
enum class admission_verdict : std::uint8_t
{
    admit,
    // Drop the opening packet; the caller will send it again.
    defer,
    // There is a standing queue.
    refuse,
    // The wait alone outlasts the caller's timeout.
    refuse_hopeless
};

constexpr std::array<std::string_view, 4> admission_verdict_names{"admitted", "deferred", "refused",
                                                                  "refused_hopeless"};

// A new flow that asks to be admitted.
struct admission_request
{
    // Expected wait for a slot. Unit: milliseconds.
    double wait_ms = 0;
    // When a request of the service was last answered.
    millis last_answer;
    // Time until the caller sends the opening packet again; no value if it won't. Unit:
    // milliseconds.
    std::optional<double> retransmission_ms;
    // When this daemon started, or its last pause ended.
    millis resumed_at;
};

// Decides about a new flow of a route, and updates the history with its wait.
admission_verdict admit_flow(queue_history& history, const route& requested,
                             const admission_request& request, const admission_limits& limits,
                             millis now);

} // namespace briarbarrow

#endif

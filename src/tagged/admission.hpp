// Admission control: decides whether a new flow is admitted or refused.
//
// The load it is made for: more requests than the backend servers can process. A short burst fills
// the queues only briefly, and a late answer is better than none. A standing queue makes every
// answer late without serving more requests (as in CoDel): the wait is then kept so short that
// admitted requests are answered in time, and the less urgent ones are refused first. In either
// case a request whose wait alone would outlast its caller's timeout is refused at once.
#ifndef BRIARBARROW_TAGGED_ADMISSION_HPP
#define BRIARBARROW_TAGGED_ADMISSION_HPP

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
    // Routes of this priority and below it (0 is the most urgent) count as urgent.
    std::uint32_t urgent_priority = 1;
};

// Recent history of a service's queue.
struct queue_history
{
    bool is_standing = false;
    // When a new flow last found the queue drained, or was the first one after an idle time.
    millis last_drained;
    // When a new flow last found the queue not drained.
    millis last_backlogged;
    millis last_flow;
};

// True when a flow whose expected wait for a slot is `wait_ms` is admitted. Updates the history
// with that wait.
bool admit_flow(queue_history& history, const route& requested, double wait_ms,
                const admission_limits& limits, millis now);

} // namespace briarbarrow

#endif

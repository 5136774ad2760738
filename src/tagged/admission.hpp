// Whether a new flow is offered to a backend server or refused.
//
// The load pattern it answers: more requests than the backend servers can work off. A burst that
// passes fills the queues for a moment, and a late answer is better than none. A queue that stands
// makes every answer late and serves nobody more: there the wait is kept so short that what is
// admitted is answered in time, and the less urgent give way first. A request whose wait alone
// outlasts its caller is refused at once in either case.
#ifndef BRIARBARROW_TAGGED_ADMISSION_HPP
#define BRIARBARROW_TAGGED_ADMISSION_HPP

#include "core/clock.hpp"
#include "tagged/route_table.hpp"

namespace briarbarrow
{

// How long a flow may have to wait for a slot.
struct admission_limits
{
    // Parts of the caller's timeout, while queues are passing.
    double urgent_timeout_share = 0.9;
    double ordinary_timeout_share = 0.6;
    // Parts of the route's objective, while a queue stands. The rest is for the work itself.
    double urgent_objective_share = 1.0;
    double ordinary_objective_share = 0.3;
    // Below this part of the objective a queue counts as gone.
    double drained_objective_share = 0.2;
    // A queue that has not been gone for this long stands, and one that has been gone for this long
    // stands no more: several objectives.
    millis standing_queue_interval{300};
    // Routes of this priority and below it (0 is the most urgent) count as urgent.
    std::uint32_t urgent_priority = 1;
};

// What is remembered of a service's queue.
struct queue_history
{
    bool is_standing = false;
    // When a new flow last found no queue worth the name, or no flow came at all.
    millis last_drained;
    // When one last found one.
    millis last_backlogged;
    millis last_flow;
};

// True when a flow that has to wait this long for a slot is worth offering. Takes note of the wait.
bool admit_flow(queue_history& memory, const route& requested, double wait_ms,
                const admission_limits& limits, millis now);

} // namespace briarbarrow

#endif

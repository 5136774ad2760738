#include "tagged/admission.hpp"

#include <algorithm>
#include <cmath>

namespace briarbarrow
{

namespace
{

// Weight of one flow's wait in the smoothed one if it follows the last flow at once, and the time
// constant in milliseconds by which older flows lose weight.
constexpr double min_wait_weight = 0.05;
constexpr double wait_time_constant_ms = 100;

bool is_urgent(const route& requested, const admission_limits& limits)
{
    return requested.priority <= limits.urgent_priority;
}

// The longest wait with which a flow's caller can still expect an answer.
double max_useful_wait_ms(const route& requested, const admission_limits& limits)
{
    const double share =
        is_urgent(requested, limits) ? limits.urgent_timeout_share : limits.ordinary_timeout_share;
    return share * static_cast<double>(requested.timeout.count);
}

// The longest wait that a standing queue is kept to.
double max_standing_wait_ms(const route& requested, const admission_limits& limits)
{
    const double share = is_urgent(requested, limits) ? limits.urgent_objective_share
                                                      : limits.ordinary_objective_share;
    return share * static_cast<double>(requested.objective.count);
}

} // namespace

admission_verdict admit_flow(queue_history& history, const route& requested,
                             const admission_request& request, const admission_limits& limits,
                             millis now)
{
    const double drained_ms =
        limits.drained_objective_share * static_cast<double>(requested.objective.count);
    const bool was_idle = now > history.last_flow + limits.standing_queue_interval;
    const auto elapsed_ms = static_cast<double>((now - history.last_flow).count);
    const double weight =
        was_idle ? 1 : std::max(min_wait_weight, 1 - std::exp(-elapsed_ms / wait_time_constant_ms));
    history.smoothed_wait_ms += weight * (request.wait_ms - history.smoothed_wait_ms);
    const bool is_drained = history.smoothed_wait_ms <= drained_ms || was_idle;
    (is_drained ? history.last_drained : history.last_backlogged) = now;
    history.last_flow = now;
    const millis since = history.is_standing ? history.last_backlogged : history.last_drained;
    if (now > since + limits.standing_queue_interval)
    {
        history.is_standing = !history.is_standing;
    }
    if (now > request.last_answer + limits.evidence_lifetime)
    {
        return admission_verdict::admit;
    }
    if (request.wait_ms > max_useful_wait_ms(requested, limits))
    {
        return admission_verdict::refuse_hopeless;
    }
    const bool is_short_wait = request.wait_ms <= max_standing_wait_ms(requested, limits);
    const bool is_backlog = now <= request.resumed_at + requested.timeout;
    if (history.is_standing && !is_short_wait && !is_backlog)
    {
        return admission_verdict::refuse;
    }
    const bool is_admitted =
        !request.retransmission_ms ||
        (history.is_standing ? is_short_wait : request.wait_ms <= *request.retransmission_ms);
    return is_admitted ? admission_verdict::admit : admission_verdict::defer;
}

} // namespace briarbarrow

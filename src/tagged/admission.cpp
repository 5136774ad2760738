#include "tagged/admission.hpp"

namespace briarbarrow
{

namespace
{

double max_wait_ms(const route& requested, bool is_standing, const admission_limits& limits)
{
    const bool is_urgent = requested.priority <= limits.urgent_priority;
    if (is_standing)
    {
        const double share =
            is_urgent ? limits.urgent_objective_share : limits.ordinary_objective_share;
        return share * static_cast<double>(requested.objective.count);
    }
    const double share = is_urgent ? limits.urgent_timeout_share : limits.ordinary_timeout_share;
    return share * static_cast<double>(requested.timeout.count);
}

} // namespace

bool admit_flow(queue_history& history, const route& requested, double wait_ms,
                const admission_limits& limits, millis now)
{
    const double drained_ms =
        limits.drained_objective_share * static_cast<double>(requested.objective.count);
    const bool was_idle = now > history.last_flow + limits.standing_queue_interval;
    const bool is_drained = wait_ms <= drained_ms || was_idle;
    (is_drained ? history.last_drained : history.last_backlogged) = now;
    history.last_flow = now;
    const millis since = history.is_standing ? history.last_backlogged : history.last_drained;
    if (now > since + limits.standing_queue_interval)
    {
        history.is_standing = !history.is_standing;
    }
    return wait_ms <= max_wait_ms(requested, history.is_standing, limits);
}

} // namespace briarbarrow

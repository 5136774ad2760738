#include "tagged/admission.hpp"

namespace briarbarrow
{

namespace
{

double longest_wait_ms(const route& wanted, bool is_standing, const admission_limits& limits)
{
    const bool is_urgent = wanted.priority <= limits.urgent_priority;
    if (is_standing)
    {
        const double share =
            is_urgent ? limits.urgent_objective_share : limits.ordinary_objective_share;
        return share * static_cast<double>(wanted.objective.count);
    }
    const double share = is_urgent ? limits.urgent_timeout_share : limits.ordinary_timeout_share;
    return share * static_cast<double>(wanted.timeout.count);
}

} // namespace

bool admit_flow(queue_history& memory, const route& wanted, double wait_ms,
                const admission_limits& limits, millis now)
{
    const double calm_ms =
        limits.drained_objective_share * static_cast<double>(wanted.objective.count);
    const bool was_idle = now > memory.last_flow + limits.standing_queue_interval;
    const bool is_calm = wait_ms <= calm_ms || was_idle;
    (is_calm ? memory.last_drained : memory.last_backlogged) = now;
    memory.last_flow = now;
    const millis since = memory.is_standing ? memory.last_backlogged : memory.last_drained;
    if (now > since + limits.standing_queue_interval)
    {
        memory.is_standing = !memory.is_standing;
    }
    return wait_ms <= longest_wait_ms(wanted, memory.is_standing, limits);
}

} // namespace briarbarrow

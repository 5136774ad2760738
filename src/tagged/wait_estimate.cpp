#include "tagged/wait_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace briarbarrow
{

namespace
{

// Weight of one flow in the uncontended lifetime: for flows that found no queue, and for all
// others. The second is small so that time in a queue does not pass for processing time, but not 0,
// so that a wrong first sample does not last.
constexpr double drained_smoothing = 0.03;
constexpr double queued_smoothing = 0.0005;
// Weight of one flow in the measured wait if it follows the last one at once, and the time constant
// in milliseconds by which older flows lose weight.
constexpr double min_wait_weight = 0.2;
constexpr double wait_time_constant_ms = 200;
// A measured wait above this fraction of the uncontended lifetime is more than the variation of
// processing times.
constexpr double significant_wait_share = 0.5;
// Step of the load factor's logarithm for one flow, and the largest logarithmic error that counts,
// so that a single request that takes long does not move it far.
constexpr double load_factor_step = 0.1;
constexpr double max_log_error = 1;
// A flow counts as load for these multiples of its expected wait and of the uncontended lifetime.
constexpr double load_wait_factor = 2;
constexpr double load_service_factor = 4;

// True when a flow found a queue: one was expected, or the last flows show one.
bool found_queue(const wait_evidence& evidence, const answered_flow& flow)
{
    return flow.expected_wait_ms > 0 ||
           evidence.measured_wait_ms > significant_wait_share * evidence.uncontended_ms;
}

void update_load_factor(wait_evidence& evidence, const answered_flow& flow, double max_load_factor)
{
    if (!found_queue(evidence, flow))
    {
        return;
    }
    const double expected_ms = flow.expected_wait_ms + evidence.uncontended_ms;
    const double log_error = std::log(std::max(1.0, flow.lifetime_ms) / expected_ms);
    // The first flows after a start count for more: the backlog of a fleet that returns together
    // fills the queues before many flows have ended.
    const double weight = std::max(load_factor_step, 1.0 / (1 + evidence.load_factor_samples));
    const double step = weight * std::clamp(log_error, -max_log_error, max_log_error);
    ++evidence.load_factor_samples;
    evidence.load_factor =
        std::clamp(evidence.load_factor * std::exp(step), 1.0, std::max(1.0, max_load_factor));
}

} // namespace

void observe_answered_flow(wait_evidence& evidence, const answered_flow& flow,
                           double max_load_factor, millis now)
{
    if (evidence.uncontended_ms <= 0)
    {
        evidence.uncontended_ms = flow.lifetime_ms;
    }
    const auto elapsed_ms = static_cast<double>((now - evidence.measured_at).count);
    const double weight =
        std::max(min_wait_weight, 1 - std::exp(-elapsed_ms / wait_time_constant_ms));
    const double wait_ms = flow.lifetime_ms - evidence.uncontended_ms;
    evidence.measured_wait_ms += weight * (wait_ms - evidence.measured_wait_ms);
    evidence.measured_at = now;
    update_load_factor(evidence, flow, max_load_factor);
    const double smoothing = found_queue(evidence, flow) ? queued_smoothing : drained_smoothing;
    evidence.uncontended_ms += smoothing * (flow.lifetime_ms - evidence.uncontended_ms);
}

double estimate_wait_ms(double flows, double slots, double uncontended_ms)
{
    if (slots == 0)
    {
        return 0;
    }
    return std::max(0.0, flows + 1 - slots) * uncontended_ms / slots;
}

millis load_lifetime(double expected_wait_ms, double uncontended_ms)
{
    return millis{static_cast<std::int64_t>(load_wait_factor * expected_wait_ms +
                                            load_service_factor * uncontended_ms)};
}

} // namespace briarbarrow

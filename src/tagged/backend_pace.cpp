#include "tagged/backend_pace.hpp"

#include <algorithm>
#include <cmath>

namespace briarbarrow
{

namespace
{

double decay_since(millis updated, millis time_constant, millis now)
{
    const auto elapsed = static_cast<double>((now - updated).count);
    return std::exp(-std::max(0.0, elapsed) / static_cast<double>(time_constant.count));
}

void add_to_mean(decaying_mean& mean, double weight, double value, millis time_constant, millis now)
{
    const double kept = mean.weight * decay_since(mean.updated, time_constant, now);
    mean.mean = (kept * mean.mean + weight * value) / (kept + weight);
    mean.weight = kept + weight;
    mean.updated = now;
}

void note_slowness(pace_record& record, const pace_limits& limits, millis now)
{
    if (log_pace(record, limits, now) > limits.slow_log_ratio)
    {
        record.slow_at = now;
    }
}

} // namespace

void observe_pace(pace_record& record, double request_ms, double service_log_ms,
                  const pace_limits& limits, millis now)
{
    const double log_ratio = std::clamp(std::log(std::max(1.0, request_ms)) - service_log_ms,
                                        -limits.max_log_ratio, limits.max_log_ratio);
    add_to_mean(record.own, 1, log_ratio, limits.measurement_time_constant, now);
    add_to_mean(record.pooled, 1, log_ratio, limits.measurement_time_constant, now);
    record.measured_at = now;
    note_slowness(record, limits, now);
}

void merge_pace(pace_record& record, double weight, double log_ratio, const pace_limits& limits,
                millis now)
{
    const double bounded = std::min(weight, limits.max_report_weight);
    if (bounded <= 0)
    {
        return;
    }
    add_to_mean(record.pooled, bounded,
                std::clamp(log_ratio, -limits.max_log_ratio, limits.max_log_ratio),
                limits.measurement_time_constant, now);
    record.measured_at = std::max(record.measured_at, now);
    note_slowness(record, limits, now);
}

double log_pace(const pace_record& record, const pace_limits& limits, millis now)
{
    const decaying_mean& pooled = record.pooled;
    const double known = pooled.mean * pooled.weight / (pooled.weight + limits.prior_weight);
    return known * decay_since(pooled.updated, limits.memory_time_constant, now);
}

double weight_to_report(const pace_record& record, const pace_limits& limits, millis now)
{
    if (!record.slow_at || now > *record.slow_at + limits.report_duration)
    {
        return 0;
    }
    const double weight =
        record.own.weight * decay_since(record.own.updated, limits.measurement_time_constant, now);
    return weight >= limits.min_report_weight ? weight : 0;
}

bool is_probe_due(const pace_record& record, const pace_limits& limits, millis now)
{
    const bool is_recovering =
        record.own.updated > record.probed_at && record.own.mean < limits.slow_log_ratio;
    const millis interval = is_recovering ? limits.recovery_probe_interval : limits.probe_interval;
    return log_pace(record, limits, now) > limits.slow_log_ratio &&
           now >= record.measured_at + interval && now >= record.probed_at + interval;
}

} // namespace briarbarrow

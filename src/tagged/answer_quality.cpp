#include "tagged/answer_quality.hpp"

#include <algorithm>
#include <cmath>

namespace briarbarrow
{

namespace
{

// Weight of one answer in its route's profile (EWMA), once there are enough samples.
constexpr double profile_smoothing = 0.01;
// The same for a short answer: the profile follows a lasting change, but over thousands of answers.
constexpr double short_smoothing = 0.001;
// Samples are clamped to this many deviations from the mean, so that failures don't shift what is
// usual.
constexpr double max_sample_deviations = 2;
// Lower bound of the deviation: equal answers still differ by a few bytes in their headers.
constexpr double min_deviation = 0.05;

double deviation_of(const answer_profile& profile)
{
    return std::max(min_deviation, std::sqrt(profile.log_variance));
}

void update_profile(answer_profile& profile, double log_bytes, double smoothing,
                    const answer_limits& limits)
{
    ++profile.sample_count;
    double offset = log_bytes - profile.log_mean;
    if (profile.sample_count > limits.min_samples)
    {
        const double max_offset = max_sample_deviations * deviation_of(profile);
        offset = std::clamp(offset, -max_offset, max_offset);
    }
    const double weight = std::max(smoothing, 1.0 / profile.sample_count);
    profile.log_mean += weight * offset;
    profile.log_variance += weight * ((1 - weight) * offset * offset - profile.log_variance);
}

void demote(answer_record& record, const answer_limits& limits, millis now)
{
    const std::int64_t doublings = std::min<std::int64_t>(record.consecutive_demotions, 4);
    record.is_demoted = true;
    record.demoted_until =
        now + std::min(limits.initial_demotion_duration * (std::int64_t{1} << doublings),
                       limits.max_demotion_duration);
    ++record.consecutive_demotions;
}

void decay_score(answer_record& record, const answer_limits& limits, millis now)
{
    const auto seconds = static_cast<double>((now - record.score_updated_at).count) / 1'000;
    record.failure_score =
        std::max(0.0, record.failure_score - limits.score_decay_per_second * seconds);
    record.score_updated_at = now;
}

void count_complete(answer_record& record, std::uint32_t count, const answer_limits& limits,
                    millis now)
{
    decay_score(record, limits, now);
    record.failure_score = std::max(0.0, record.failure_score - limits.complete_weight * count);
    record.consecutive_demotions = record.failure_score > 0 ? record.consecutive_demotions : 0;
}

// Discards unreported complete answers that are no longer recent.
void discard_old_complete(answer_record& record, const answer_limits& limits, millis now)
{
    if (now > record.unreported_since + limits.complete_answer_window)
    {
        record.unreported_complete = 0;
        record.unreported_since = now;
    }
}

// How much a failure raises a score.
double failure_weight(answer_class observed_class, std::optional<double> queued_short_share,
                      const answer_limits& limits)
{
    if (observed_class != answer_class::short_answer)
    {
        return limits.missing_weight;
    }
    if (!queued_short_share)
    {
        return limits.short_weight;
    }
    const double usual_share = std::max(*queued_short_share, limits.min_queued_short_share);
    return std::clamp(std::log(limits.failing_short_share / usual_share), 0.0, limits.short_weight);
}

bool count_failure(answer_record& record, answer_class observed_class,
                   std::optional<double> queued_short_share, const answer_limits& limits,
                   millis now)
{
    const double weight = failure_weight(observed_class, queued_short_share, limits);
    decay_score(record, limits, now);
    record.failure_score = std::min(record.failure_score + weight, limits.demotion_threshold);
    if (record.is_demoted || record.failure_score < limits.demotion_threshold)
    {
        return false;
    }
    demote(record, limits, now);
    return true;
}

} // namespace

answer_class classify_answer(answer_profile& profile, std::uint32_t bytes,
                             const answer_limits& limits, bool is_expected_failure)
{
    if (bytes == 0)
    {
        return answer_class::missing;
    }
    const double log_bytes = std::log(bytes);
    const double below = profile.log_mean - log_bytes;
    const double bound = std::max(limits.short_deviations * deviation_of(profile),
                                  -std::log(limits.max_short_fraction));
    const bool is_short = profile.sample_count >= limits.min_samples && below > bound;
    if (!is_short || !is_expected_failure)
    {
        update_profile(profile, log_bytes, is_short ? short_smoothing : profile_smoothing, limits);
    }
    return is_short ? answer_class::short_answer : answer_class::complete;
}

bool observe_answer(answer_record& record, answer_class observed_class, const answer_limits& limits,
                    millis now, std::optional<double> queued_short_share)
{
    if (observed_class == answer_class::complete)
    {
        count_complete(record, 1, limits, now);
        discard_old_complete(record, limits, now);
        ++record.unreported_complete;
        return false;
    }
    return count_failure(record, observed_class, queued_short_share, limits, now);
}

request_failure make_request_failure(answer_record& record, answer_class observed_class,
                                     const answer_limits& limits, millis now)
{
    discard_old_complete(record, limits, now);
    const request_failure failure{observed_class, record.unreported_complete};
    record.unreported_complete = 0;
    return failure;
}

bool observe_reported_failure(answer_record& record, const request_failure& failure,
                              const answer_limits& limits, millis now,
                              std::optional<double> queued_short_share)
{
    count_complete(record, failure.complete_before, limits, now);
    return count_failure(record, failure.observed_class, queued_short_share, limits, now);
}

bool end_demotion(answer_record& record, const answer_limits& limits, millis now)
{
    if (!record.is_demoted || now < record.demoted_until)
    {
        return false;
    }
    record.is_demoted = false;
    record.failure_score = limits.probation_score;
    record.score_updated_at = now;
    return true;
}

} // namespace briarbarrow

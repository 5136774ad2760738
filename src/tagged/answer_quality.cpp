#include "tagged/answer_quality.hpp"

#include <algorithm>
#include <cmath>

namespace briarbarrow
{

namespace
{

// Weight of one answer in what a route's answers look like, once some were learned.
constexpr double profile_smoothing = 0.01;
// The same for a short answer: a lasting change is learned, but in thousands of answers.
constexpr double short_smoothing = 0.001;
// What is farther off than so many deviations is learned as if it were not: failures must not pass
// for what is usual.
constexpr double most_learned_deviations = 2;
// Deviation of equal answers. Headers differ by a few bytes.
constexpr double least_deviation = 0.05;

double deviation_of(const answer_profile& profile)
{
    return std::max(least_deviation, std::sqrt(profile.log_variance));
}

void learn(answer_profile& profile, double log_bytes, double smoothing, const answer_limits& limits)
{
    ++profile.learned;
    double offset = log_bytes - profile.log_mean;
    if (profile.learned > limits.least_learned)
    {
        const double most = most_learned_deviations * deviation_of(profile);
        offset = std::clamp(offset, -most, most);
    }
    const double weight = std::max(smoothing, 1.0 / profile.learned);
    profile.log_mean += weight * offset;
    profile.log_variance += weight * ((1 - weight) * offset * offset - profile.log_variance);
}

void set_aside(answer_record& record, const answer_limits& limits, millis now)
{
    const std::int64_t doublings = std::min<std::int64_t>(record.repeats, 4);
    record.is_set_aside = true;
    record.set_aside_until =
        now + std::min(limits.first_span * (std::int64_t{1} << doublings), limits.longest_span);
    ++record.repeats;
}

void leak(answer_record& record, const answer_limits& limits, millis now)
{
    const auto seconds = static_cast<double>((now - record.doubt_at).count) / 1'000;
    record.doubt = std::max(0.0, record.doubt - limits.leak_per_second * seconds);
    record.doubt_at = now;
}

void take_whole(answer_record& record, std::uint32_t count, const answer_limits& limits, millis now)
{
    leak(record, limits, now);
    record.doubt = std::max(0.0, record.doubt - limits.whole_weight * count);
    record.repeats = record.doubt > 0 ? record.repeats : 0;
}

// Forgets whole answers that are no longer recent.
void forget_old_whole(answer_record& record, const answer_limits& limits, millis now)
{
    if (now > record.untold_since + limits.recent_span)
    {
        record.untold_whole = 0;
        record.untold_since = now;
    }
}

bool take_failure(answer_record& record, answer_sign sign, const answer_limits& limits, millis now)
{
    const double weight =
        sign == answer_sign::short_answer ? limits.short_weight : limits.missing_weight;
    leak(record, limits, now);
    record.doubt = std::min(record.doubt + weight, limits.set_aside_at);
    if (record.is_set_aside || record.doubt < limits.set_aside_at)
    {
        return false;
    }
    set_aside(record, limits, now);
    return true;
}

} // namespace

answer_sign judge_answer(answer_profile& profile, std::uint32_t bytes, const answer_limits& limits)
{
    if (bytes == 0)
    {
        return answer_sign::missing;
    }
    const double log_bytes = std::log(bytes);
    const double below = profile.log_mean - log_bytes;
    const double bound = std::max(limits.short_deviations * deviation_of(profile),
                                  -std::log(limits.longest_short_part));
    const bool is_short = profile.learned >= limits.least_learned && below > bound;
    learn(profile, log_bytes, is_short ? short_smoothing : profile_smoothing, limits);
    return is_short ? answer_sign::short_answer : answer_sign::whole;
}

bool note_answer_sign(answer_record& record, answer_sign sign, const answer_limits& limits,
                      millis now)
{
    if (sign == answer_sign::whole)
    {
        take_whole(record, 1, limits, now);
        forget_old_whole(record, limits, now);
        ++record.untold_whole;
        return false;
    }
    return take_failure(record, sign, limits, now);
}

failure_sign tell_failure(answer_record& record, answer_sign sign, const answer_limits& limits,
                          millis now)
{
    forget_old_whole(record, limits, now);
    const failure_sign told{sign, record.untold_whole};
    record.untold_whole = 0;
    return told;
}

bool note_told_failure(answer_record& record, const failure_sign& failure,
                       const answer_limits& limits, millis now)
{
    take_whole(record, failure.whole_before, limits, now);
    return take_failure(record, failure.sign, limits, now);
}

bool end_set_aside(answer_record& record, const answer_limits& limits, millis now)
{
    if (!record.is_set_aside || now < record.set_aside_until)
    {
        return false;
    }
    record.is_set_aside = false;
    record.doubt = limits.trial_at;
    record.doubt_at = now;
    return true;
}

} // namespace briarbarrow

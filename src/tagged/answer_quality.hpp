// Outlier detection: finds backend servers that accept requests but fail them.
//
// The failure it is made for: a backend server accepts its flows, passes every health check, and
// fails some or all of its requests. Since it finishes sooner than the others it has the fewest
// open flows, and least-loaded placement gives it more than its share. With direct server return
// the answers don't pass through the daemon, but the caller's acknowledgements show how many bytes
// it received: a refusal or an error is much shorter than the other answers of its route, and a
// request without any answer has none.
//
// Each answer raises or lowers its backend server's failure score, a CUSUM (Page's test): two
// failures among a few answers demote the backend server, two among many do not. With many daemons
// each one sees only a few requests of a backend server, so they report failures to each other,
// together with the number of complete answers of the last second. The score decays with time,
// since a daemon that sends nothing to a backend server has no complete answers that would offset
// the reported failures. A demotion ends after a while; the backend server is then on probation,
// when a single failure demotes it again, each time for twice as long. A demotion is a cost, not a
// ban (placement.hpp).
#ifndef BRIARBARROW_TAGGED_ANSWER_QUALITY_HPP
#define BRIARBARROW_TAGGED_ANSWER_QUALITY_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/clock.hpp"

namespace briarbarrow
{

// When an answer counts as short, how answers are weighted, and how long a demotion lasts.
struct answer_limits
{
    // Answers of a route that must be sampled before any counts as short.
    std::uint32_t min_samples = 50;
    // An answer is short if the logarithm of its length is this many standard deviations below the
    // mean, and its length is at most this fraction of the usual one. With log-normal lengths that
    // holds for one in 160 answers.
    double short_deviations = 2.5;
    double max_short_fraction = 0.5;
    // Log-likelihood ratios of a short and of a complete answer: a third of the requests failing
    // against one in 160 answers being short without a failure.
    double short_weight = 4;
    double complete_weight = 0.4;
    // While a service has a queue, full backend servers turn requests away with answers that are as
    // short as errors. A short answer then weighs what it says about a backend server that fails
    // this share of its requests, against the share of short answers among all of the service, or
    // against this one if that is higher: one of them must not demote again on probation.
    double failing_short_share = 1.0 / 3;
    double min_queued_short_share = 0.15;
    // A missing answer weighs less: the request may take long, or its flow may have moved to
    // another daemon.
    double missing_weight = 2.5;
    // Score at which a backend server is demoted: two short answers in a row reach it, one doesn't.
    double demotion_threshold = 7;
    // Decay of the score per second. At the users' sites a backend server gives a short answer
    // without a failure about every 20 s; two of these must not add up.
    double score_decay_per_second = 1;
    // Complete answers older than this are no evidence against a fault that has just begun.
    millis complete_answer_window{1'000};
    // Failure reports that a daemon sends per second. To 40 daemons with 60 bytes a report that is
    // 24 KB/s, for the second or two until a failing backend server is demoted; failures of a
    // demoted one are not reported.
    std::uint32_t max_reports_per_second = 10;
    // Score at the start of a probation: one short answer within three seconds demotes again.
    double probation_score = 6;
    // Duration of the first demotion, and the longest one. Three seconds is also the time within
    // which a drain must be in force.
    millis initial_demotion_duration{3'000};
    millis max_demotion_duration{12'000};
};

// How a request was answered, as far as the caller's packets show.
enum class answer_class : std::uint8_t
{
    complete,
    short_answer,
    missing
};

constexpr std::array<std::string_view, 3> answer_class_names{"whole", "short_answer", "missing"};

// Distribution of the answer lengths of a route: mean and variance of the logarithm of the bytes.
struct answer_profile
{
    std::uint32_t sample_count = 0;
    double log_mean = 0;
    double log_variance = 0;
};

// Failure score and demotion of one backend server.
struct answer_record
{
    double failure_score = 0;
    // When the score was last updated.
    millis score_updated_at;
    bool is_demoted = false;
    millis demoted_until;
    // Demotions in a row, without enough complete answers in between to bring the score to 0.
    std::uint32_t consecutive_demotions = 0;
    // Complete answers that have not been reported to other daemons, and since when.
    std::uint32_t unreported_complete = 0;
    millis unreported_since;
};

// A failed request, as one daemon reports it to another.
struct request_failure
{
    answer_class observed_class = answer_class::missing;
    // Recent complete answers of the backend server that the sender has not reported before.
    std::uint32_t complete_before = 0;
};

// Classifies an answer by its length, and adds it to the profile. A short one that is no surprise
// (`is_expected_failure`: it came much sooner than requests take, or there is a queue) is an error
// or that of a full backend server, and no length to get used to, however many an overload brings.
answer_class classify_answer(answer_profile& profile, std::uint32_t bytes,
                             const answer_limits& limits, bool is_expected_failure = false);

// Updates the score from an answer to one of this daemon's callers. `queued_short_share` is the
// smoothed share of short answers among all of the service; no value if the service has no queue.
// True when the backend server becomes demoted.
bool observe_answer(answer_record& record, answer_class observed_class, const answer_limits& limits,
                    millis now, std::optional<double> queued_short_share = std::nullopt);

// Makes the report of a failure that was observed, and counts its complete answers as reported.
request_failure make_request_failure(answer_record& record, answer_class observed_class,
                                     const answer_limits& limits, millis now);

// The same for a failure that another daemon reports.
bool observe_reported_failure(answer_record& record, const request_failure& failure,
                              const answer_limits& limits, millis now,
                              std::optional<double> queued_short_share = std::nullopt);

// Ends a demotion whose time is over; the backend server is then on probation. True when that
// happened.
bool end_demotion(answer_record& record, const answer_limits& limits, millis now);

} // namespace briarbarrow

#endif

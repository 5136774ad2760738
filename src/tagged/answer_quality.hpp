// Which backend servers answer without doing the work.
//
// The load pattern it answers: a backend server takes its flows, looks well in every check, and
// fails a part of its requests or all of them. It is done sooner than the others, so that it has
// the fewest open flows and a rule that takes the least busy one gives it more than its share.
// With direct server return no answer is seen here, but the caller's acknowledgements say how many
// bytes it had: a refusal or an error is much shorter than the answers of its route, and a request
// without any answer shorter still.
//
// Each answer is a sign for or against its backend server, summed up as in Page's test: two
// failures among a few answers set it aside, two among many do not. Where daemons are many each
// sees few requests of a backend server, so that they tell each other of failures, with the number
// of whole answers of the last second. The sum leaks, since a daemon that sends nothing to a
// backend server has no whole answers to set against what it is told. One that was set aside is
// tried again after a span, when one failure is enough, and each time the span doubles. Being set
// aside is a cost, not a ban (placement.hpp).
#ifndef BRIARBARROW_TAGGED_ANSWER_QUALITY_HPP
#define BRIARBARROW_TAGGED_ANSWER_QUALITY_HPP

#include <array>
#include <cstdint>
#include <string_view>

#include "core/clock.hpp"

namespace briarbarrow
{

// When an answer counts as short, and what answers weigh.
struct answer_limits
{
    // Answers of a route that are learned before one is judged.
    std::uint32_t min_samples = 30;
    // A short answer is so many standard deviations below the mean, both of the logarithm, and at
    // most this part of the usual length. One in 160 answers of a log-normal length is.
    double short_deviations = 2.5;
    double max_short_fraction = 0.5;
    // The logarithm of how much likelier a sign is where a third of the requests fail than where
    // one in 160 is short by nature.
    double short_weight = 4;
    double whole_weight = 0.4;
    // A request without an answer may have met long work, or its flow moved to another daemon:
    // worth less.
    double missing_weight = 2.5;
    // Sum from which a backend server is set aside: two short answers in a row, not one.
    double demotion_threshold = 6;
    // What the sum loses by itself. Unit: per second. Short answers by nature come to a backend
    // server of the users' sites each 20 s; two of them are no failure.
    double leak_per_second = 1;
    // Whole answers this old say nothing of a fault that has just begun.
    millis complete_answer_window{1'000};
    // Failures that a daemon tells the others of. Unit: words per second. To 40 daemons at 60 bytes
    // a word that is 24 KB/s, in the second or two until a failing backend server is set aside;
    // of one that is set aside no more is told.
    std::uint32_t max_reports_per_second = 10;
    // Sum with which it is tried again: one short answer within three seconds is enough.
    double probation_score = 5;
    // How long it is set aside, at first and at most. Three seconds is the bound within which a
    // drain has to be in force, too.
    millis initial_demotion_duration{3'000};
    millis max_demotion_duration{12'000};
};

// How a request ended, as far as its caller's packets show.
enum class answer_class : std::uint8_t
{
    complete,
    short_answer,
    missing
};

constexpr std::array<std::string_view, 3> answer_class_names{"whole", "short_answer", "missing"};

// What the answers of a route look like: mean and variance of the logarithm of their bytes.
struct answer_profile
{
    std::uint32_t sample_count = 0;
    double log_mean = 0;
    double log_variance = 0;
};

// The signs of one backend server.
struct answer_record
{
    double failure_score = 0;
    // When the sum last changed.
    millis score_updated_at;
    bool is_demoted = false;
    millis demoted_until;
    // Times in a row, without as many whole answers between them as clear the sum.
    std::uint32_t consecutive_demotions = 0;
    // Whole answers that other daemons have not been told of, and since when.
    std::uint32_t unreported_complete = 0;
    millis unreported_since;
};

// A request that failed, as one daemon tells it to another.
struct request_failure
{
    answer_class observed_class = answer_class::missing;
    // Recent whole answers of the backend server that the sender has not told of.
    std::uint32_t complete_before = 0;
};

// Judges an answer by its bytes, and learns from it.
answer_class classify_answer(answer_profile& profile, std::uint32_t bytes,
                             const answer_limits& limits);

// Takes a sign of this daemon's own callers. True when it sets the backend server aside.
bool observe_answer(answer_record& record, answer_class observed_class, const answer_limits& limits,
                    millis now);

// What to tell the others of a failure that was noted.
request_failure make_request_failure(answer_record& record, answer_class observed_class,
                                     const answer_limits& limits, millis now);

// Takes word of a failure that another daemon has seen. True when it sets the backend server aside.
bool observe_reported_failure(answer_record& record, const request_failure& failure,
                              const answer_limits& limits, millis now);

// Ends a span that is over: the backend server is on trial. True when it was set aside until now.
bool end_demotion(answer_record& record, const answer_limits& limits, millis now);

} // namespace briarbarrow

#endif

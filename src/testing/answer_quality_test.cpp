#include <doctest/doctest.h>

#include "tagged/answer_quality.hpp"

using namespace briarbarrow;

namespace
{

const answer_limits limits;
const millis begin{100'000};

// A profile that has learned answers of about a thousand bytes.
answer_profile learned_profile()
{
    answer_profile profile;
    for (std::uint32_t i = 0; i < 200; ++i)
    {
        classify_answer(profile, 600 + i * 97 % 1'200, limits);
    }
    return profile;
}

void note(answer_record& record, answer_class observed_class, int times)
{
    for (int i = 0; i < times; ++i)
    {
        observe_answer(record, observed_class, limits, begin);
    }
}

} // namespace

TEST_CASE("answer lengths: errors are short, whole answers of any usual length are not")
{
    answer_profile profile = learned_profile();
    CHECK(classify_answer(profile, 160, limits) == answer_class::short_answer);
    CHECK(classify_answer(profile, 0, limits) == answer_class::missing);
    CHECK(classify_answer(profile, 600, limits) == answer_class::complete);
    CHECK(classify_answer(profile, 20'000, limits) == answer_class::complete);
}

TEST_CASE("answer lengths: nothing is short before a route's answers were learned")
{
    answer_profile profile;
    CHECK(classify_answer(profile, 1'000, limits) == answer_class::complete);
    CHECK(classify_answer(profile, 10, limits) == answer_class::complete);
}

TEST_CASE("answer lengths: failures do not pass for what is usual, a lasting change does")
{
    answer_profile profile = learned_profile();
    for (int i = 0; i < 300; ++i)
    {
        // One in three fails.
        classify_answer(profile, i % 3 == 0 ? 160 : 1'000, limits);
    }
    CHECK(classify_answer(profile, 160, limits) == answer_class::short_answer);
    for (int i = 0; i < 5'000; ++i)
    {
        classify_answer(profile, 200, limits);
    }
    CHECK(classify_answer(profile, 200, limits) == answer_class::complete);
}

TEST_CASE("a backend server is set aside by two failures among few answers, not among many")
{
    answer_record few;
    note(few, answer_class::short_answer, 1);
    note(few, answer_class::complete, 2);
    CHECK_FALSE(few.is_demoted);
    CHECK(observe_answer(few, answer_class::short_answer, limits, begin));
    answer_record many;
    note(many, answer_class::short_answer, 1);
    note(many, answer_class::complete, 20);
    CHECK_FALSE(observe_answer(many, answer_class::short_answer, limits, begin));
}

TEST_CASE("a backend server on trial is set aside by one failure, for twice as long")
{
    answer_record record;
    note(record, answer_class::short_answer, 2);
    REQUIRE(record.is_demoted);
    CHECK_FALSE(end_demotion(record, limits, begin + limits.initial_demotion_duration - millis{1}));
    const millis tried = begin + limits.initial_demotion_duration;
    CHECK(end_demotion(record, limits, tried));
    CHECK(observe_answer(record, answer_class::short_answer, limits, tried));
    CHECK(record.demoted_until == tried + limits.initial_demotion_duration * 2);
    // Answers that clear the sum make the next time a first one.
    const millis again = begin + limits.max_demotion_duration;
    CHECK(end_demotion(record, limits, again));
    for (int i = 0; i < 15; ++i)
    {
        observe_answer(record, answer_class::complete, limits, again);
    }
    observe_answer(record, answer_class::short_answer, limits, again);
    CHECK(observe_answer(record, answer_class::short_answer, limits, again));
    CHECK(record.demoted_until == again + limits.initial_demotion_duration);
}

TEST_CASE("two failures that are seconds apart are none, also where nothing else is heard")
{
    answer_record hearer;
    const request_failure told{answer_class::short_answer, 0};
    CHECK_FALSE(observe_reported_failure(hearer, told, limits, begin));
    CHECK_FALSE(observe_reported_failure(hearer, told, limits, begin + millis{5'000}));
    CHECK(observe_reported_failure(hearer, told, limits, begin + millis{5'500}));
}

TEST_CASE("whole answers of long before say nothing against failures that begin now")
{
    answer_record sender;
    note(sender, answer_class::complete, 60);
    const millis later = begin + millis{5'000};
    observe_answer(sender, answer_class::short_answer, limits, later);
    CHECK(make_request_failure(sender, answer_class::short_answer, limits, later).complete_before ==
          0);
}

// Of inc-4edb: daemons that send nothing to a backend server have no whole answers of their own to
// set against the short ones that they are told of, five seconds apart.
TEST_CASE("word of a failure brings the whole answers that came before it")
{
    answer_record sender;
    answer_record hearer;
    note(sender, answer_class::short_answer, 1);
    CHECK_FALSE(observe_reported_failure(
        hearer, make_request_failure(sender, answer_class::short_answer, limits, begin), limits,
        begin));
    note(sender, answer_class::complete, 60);
    note(sender, answer_class::short_answer, 1);
    const request_failure second =
        make_request_failure(sender, answer_class::short_answer, limits, begin);
    CHECK(second.complete_before == 60);
    CHECK_FALSE(observe_reported_failure(hearer, second, limits, begin));
    note(sender, answer_class::short_answer, 1);
    CHECK(observe_reported_failure(
        hearer, make_request_failure(sender, answer_class::short_answer, limits, begin), limits,
        begin));
}

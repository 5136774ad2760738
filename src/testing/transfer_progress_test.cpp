#include <doctest/doctest.h>

#include "follow/transfer_progress.hpp"

using namespace briarbarrow;

namespace
{

constexpr transfer_limits test_limits{millis{1'000}, millis{500}, 1'000'000};

} // namespace

TEST_CASE("transfer progress: a response that does not begin is given up at the timeout")
{
    transfer_progress progress = start_transfer(test_limits, millis{100});
    CHECK(progress.deadline == millis{1'100});
    CHECK_FALSE(renew_deadline(progress, test_limits, millis{1'100}));
}

// Guards against a read that is given up and begun anew for ever, as it takes longer than a timeout
// that doesn't know its size.
TEST_CASE("transfer progress: a response is received for as long as bytes keep arriving")
{
    transfer_progress progress = start_transfer(test_limits, millis{0});
    CHECK(observe_received(progress, test_limits, 1, millis{900}));
    CHECK(progress.deadline == millis{1'400});
    for (int interval = 0; interval < 100; ++interval)
    {
        observe_received(progress, test_limits, min_progress_bytes, progress.deadline);
        CHECK(renew_deadline(progress, test_limits, progress.deadline));
    }
    CHECK(progress.deadline == millis{51'400});
}

TEST_CASE("transfer progress: a response that falls silent or trickles is given up")
{
    transfer_progress silent = start_transfer(test_limits, millis{0});
    observe_received(silent, test_limits, min_progress_bytes, millis{10});
    CHECK(renew_deadline(silent, test_limits, millis{510}));
    CHECK_FALSE(renew_deadline(silent, test_limits, millis{1'010}));

    transfer_progress trickling = start_transfer(test_limits, millis{0});
    for (std::int64_t time = 10; time < 510; ++time)
    {
        observe_received(trickling, test_limits, 1, millis{time});
    }
    CHECK_FALSE(renew_deadline(trickling, test_limits, millis{510}));
}

TEST_CASE("transfer progress: without an interval the whole response has to arrive in time")
{
    constexpr transfer_limits whole{millis{80}, std::nullopt, 1'000};
    transfer_progress progress = start_transfer(whole, millis{0});
    CHECK_FALSE(observe_received(progress, whole, min_progress_bytes, millis{10}));
    CHECK(progress.deadline == millis{80});
    CHECK_FALSE(renew_deadline(progress, whole, millis{80}));
}

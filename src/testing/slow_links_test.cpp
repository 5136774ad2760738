// Large values over slow links: whatever the sizes, links and moments, each daemon has every change
// in time.
#include <cstdint>
#include <random>
#include <string>

#include <doctest/doctest.h>

#include "testing/replica_fleet.hpp"

using namespace briarbarrow;

namespace
{

// Time limits of the requirements of the grown deployments: for a configuration to be in force, and
// to recover from a loss of all daemons.
constexpr std::int64_t max_apply_ms = 5'000;
constexpr std::int64_t max_recovery_ms = 15'000;
// 10 Mbit/s, the slowest link of the requirements.
constexpr std::size_t slowest_link_bytes_per_ms = 1'250;
constexpr std::size_t max_value_bytes = 1'048'576;
constexpr int backend_count = 150;

std::string make_value(std::size_t bytes, std::uint64_t version)
{
    std::string value = std::to_string(version) + ":";
    value.resize(bytes, static_cast<char>('a' + version % 26));
    return value;
}

void write_backends(simulated_store& store)
{
    for (int i = 0; i < backend_count; ++i)
    {
        store.write("servers/i-" + std::to_string(i), std::string(300, 's'));
    }
}

struct slow_fleet : replica_fleet
{
    std::uint64_t version = 0;

    slow_fleet(int count, int zones, std::size_t bytes_per_ms) : replica_fleet(count, zones)
    {
        write_backends(this->store);
        for (member& daemon : this->members)
        {
            set_link(daemon, bytes_per_ms);
        }
    }

    static void set_link(member& daemon, std::size_t bytes_per_ms)
    {
        daemon.store_bytes_per_ms = bytes_per_ms;
        daemon.link_bytes_per_ms = bytes_per_ms;
    }

    void write_configuration(std::size_t bytes)
    {
        this->store.write("op/config", make_value(bytes, ++this->version));
    }

    void kill_all()
    {
        for (member& daemon : this->members)
        {
            this->kill(daemon);
        }
    }

    void start_all()
    {
        for (member& daemon : this->members)
        {
            if (!daemon.is_up)
            {
                this->start(daemon);
            }
        }
    }

    // Time until all daemons have what the store has; `limit_ms` if it takes longer.
    std::int64_t time_to_match(std::int64_t limit_ms)
    {
        constexpr std::int64_t step_ms = 50;
        std::int64_t elapsed_ms = 0;
        while (elapsed_ms < limit_ms && !this->all_match_store())
        {
            this->run(step_ms);
            elapsed_ms += step_ms;
        }
        return elapsed_ms;
    }
};

} // namespace

// A page that holds a large configuration took longer than its timeout, so it was read again and
// again, and no daemon became ready any more.
TEST_CASE("slow links: daemons read a list with a large configuration after all were killed")
{
    for (const std::size_t bytes : {std::size_t{300'000}, std::size_t{1'035'000}, max_value_bytes})
    {
        for (const int mbit_per_s : {2, 5, 10, 200})
        {
            for (const int daemons : {4, 9})
            {
                CAPTURE(bytes);
                CAPTURE(mbit_per_s);
                CAPTURE(daemons);
                slow_fleet fleet(daemons, 3, static_cast<std::size_t>(mbit_per_s) * 125);
                fleet.write_configuration(bytes);
                CHECK(fleet.time_to_match(max_recovery_ms) < max_recovery_ms);
                // A second round, begun while the first one's read is in progress.
                fleet.kill_all();
                fleet.run(1'000);
                fleet.start_all();
                fleet.run(700);
                fleet.kill_all();
                fleet.run(1'000);
                fleet.start_all();
                CHECK(fleet.time_to_match(max_recovery_ms) < max_recovery_ms);
            }
        }
    }
}

// With its history lost the list was read again in the same way, so daemons stayed on their old
// list for good.
TEST_CASE("slow links: changes are in force after the store has compacted its history")
{
    for (const std::size_t bytes : {std::size_t{300'000}, std::size_t{1'035'000}, max_value_bytes})
    {
        for (const int daemons : {4, 9})
        {
            CAPTURE(bytes);
            CAPTURE(daemons);
            slow_fleet fleet(daemons, 3, slowest_link_bytes_per_ms);
            fleet.write_configuration(bytes);
            fleet.run(10'000);
            fleet.write_configuration(bytes);
            fleet.store.remove("servers/i-7");
            fleet.store.compact_history();
            fleet.run(6'000);
            CHECK(fleet.all_match_store());
            fleet.write_configuration(bytes);
            CHECK(fleet.time_to_match(max_apply_ms) < max_apply_ms);
        }
    }
}

// The response to a watch holds each of these versions in full: it took longer than its timeout,
// and grew with each attempt.
TEST_CASE("slow links: large versions in quick succession are in force in time after the last")
{
    for (const int versions : {2, 3, 4, 12, 30})
    {
        for (const int daemons : {4, 6, 15})
        {
            CAPTURE(versions);
            CAPTURE(daemons);
            slow_fleet fleet(daemons, 3, slowest_link_bytes_per_ms);
            fleet.write_configuration(1'035'000);
            fleet.run(10'000);
            for (int i = 0; i < versions; ++i)
            {
                fleet.write_configuration(1'040'000);
                fleet.run(330);
            }
            CHECK(fleet.time_to_match(max_apply_ms) < max_apply_ms);
        }
    }
}

// A read must not be undone by a list from another daemon whose position is behind the changes that
// made the watch's response too large.
TEST_CASE("slow links: a watch whose response is larger than the list is replaced by a read")
{
    slow_fleet fleet(1, 1, slowest_link_bytes_per_ms);
    fleet.write_configuration(1'035'000);
    fleet.run(5'000);
    REQUIRE(fleet.all_match_store());
    replica_fleet::member& daemon = fleet.members[0];
    daemon.reaches_store = false;
    fleet.run(3'000);
    for (int i = 0; i < 20; ++i)
    {
        fleet.write_configuration(1'040'000);
    }
    daemon.reaches_store = true;
    CHECK(fleet.time_to_match(max_apply_ms) < max_apply_ms);
    CHECK(daemon.too_large == 1);
}

TEST_CASE("slow links: a store that falls silent in the middle of a response is given up")
{
    slow_fleet fleet(1, 1, slowest_link_bytes_per_ms);
    fleet.write_configuration(1'035'000);
    fleet.run(300);
    replica_fleet::member& daemon = fleet.members[0];
    REQUIRE(daemon.response);
    daemon.reaches_store = false;
    fleet.run(2'100);
    CHECK(daemon.given_up >= 1);
    daemon.reaches_store = true;
    CHECK(fleet.time_to_match(max_recovery_ms) < max_recovery_ms);
}

TEST_CASE("slow links: a daemon that the store serves slowly gets the list from another one")
{
    slow_fleet fleet(3, 1, 0);
    fleet.write_configuration(1'035'000);
    fleet.run(5'000);
    REQUIRE(fleet.all_match_store());
    replica_fleet::member& slow = fleet.members[2];
    fleet.kill(slow);
    fleet.run(1'000);
    fleet.start(slow);
    // The response makes progress, and would take 70 s.
    slow.store_bytes_per_ms = 20;
    CHECK(fleet.time_to_match(max_recovery_ms) < max_recovery_ms);
    CHECK(slow.given_up == 0);
}

// Sizes, links, moments and faults drawn at random. Afterwards the promise holds for one more
// version.
TEST_CASE("slow links: no series of large changes and faults leaves a daemon behind")
{
    for (std::uint64_t seed = 1; seed <= 25; ++seed)
    {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto below = [&random](std::uint64_t limit)
        {
            return random() % limit;
        };
        slow_fleet fleet(3 + static_cast<int>(below(7)), 1 + static_cast<int>(below(3)), 0);
        fleet.random.seed(seed);
        fleet.loss_rate = below(2) == 0 ? 0 : 0.01;
        for (replica_fleet::member& daemon : fleet.members)
        {
            slow_fleet::set_link(daemon, slowest_link_bytes_per_ms * (1 + below(20) * below(2)));
        }
        for (int i = 0; i < 25; ++i)
        {
            replica_fleet::member& chosen = fleet.members[below(fleet.members.size())];
            switch (below(9))
            {
            case 0:
                fleet.kill_all();
                fleet.run(static_cast<std::int64_t>(below(1'500)));
                fleet.start_all();
                break;
            case 1:
                fleet.kill(chosen);
                break;
            case 2:
                fleet.start_all();
                break;
            case 3:
                fleet.store.compact_history();
                break;
            case 4:
                chosen.reaches_store = !chosen.reaches_store;
                break;
            case 5:
                fleet.store.write("servers/i-" + std::to_string(below(backend_count)),
                                  std::string(200 + below(200), 'd'));
                break;
            case 6:
                fleet.store.remove("servers/i-" + std::to_string(below(backend_count)));
                break;
            default:
                fleet.write_configuration(below(max_value_bytes));
                break;
            }
            fleet.run(static_cast<std::int64_t>(below(1'200)));
        }
        fleet.start_all();
        for (replica_fleet::member& daemon : fleet.members)
        {
            daemon.reaches_store = true;
        }
        CHECK(fleet.time_to_match(max_recovery_ms) < max_recovery_ms);
        // The machines are in touch again.
        fleet.run(5'000);
        fleet.write_configuration(1'040'000);
        CHECK(fleet.time_to_match(max_apply_ms) < max_apply_ms);
    }
}

// A store that comes back from an older copy: what was written since the copy is gone, its
// revisions are given out again, and the store's era has risen.
#include <random>
#include <string>

#include <doctest/doctest.h>

#include "testing/replica_fleet.hpp"

using namespace briarbarrow;

namespace
{

// The time within which a drain has to be in force; a configuration has as much or more.
constexpr std::int64_t drain_bound_ms = 3'000;

// Daemons that follow a store which has been copied and has changed since the copy.
struct copied_store
{
    replica_fleet daemons;
    simulated_store copy;

    copied_store(int daemon_count, int zones) : daemons(daemon_count, zones)
    {
        this->daemons.store.write("servers/1", "ready");
        this->daemons.run(6'000);
        this->copy = this->daemons.store;
        for (const char* version : {"version 2", "version 3", "version 4"})
        {
            this->daemons.store.write("op/config", version);
        }
        this->daemons.run(1'000);
        REQUIRE(this->daemons.all_match_store());
    }

    void restore_after_outage()
    {
        this->daemons.store.is_down = true;
        this->daemons.run(2'000);
        this->daemons.store.restore(this->copy);
    }
};

// Runs a random series of writes, restores, outages, compactions and partitions from the store.
// True if every replica equals the store afterwards.
bool replicas_converge(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    replica_fleet daemons(3 + static_cast<int>(random() % 10), 1 + static_cast<int>(seed % 3));
    daemons.loss_rate = seed % 4 == 0 ? 0.1 : 0;
    daemons.store.page_items = seed % 2 == 0 ? 3 : 500;
    // Longer values take a complete list several datagrams.
    const std::string padding(seed % 5 < 2 ? 700 : 0, ' ');
    daemons.run(3'000);
    simulated_store copy = daemons.store;
    for (int step = 0; step < 30; ++step)
    {
        const std::string key = "servers/" + std::to_string(random() % 8);
        const auto index = static_cast<std::size_t>(random() % daemons.members.size());
        switch (random() % 10)
        {
        case 0:
            copy = daemons.store;
            copy.is_down = false;
            break;
        case 1:
            daemons.store.is_down = random() % 2 == 0;
            break;
        case 2:
            daemons.store.restore(copy);
            break;
        case 3:
            daemons.store.compact_history();
            break;
        case 4:
            daemons.members[index].reaches_store = !daemons.members[index].reaches_store;
            break;
        case 5:
            daemons.store.remove(key);
            break;
        default:
            daemons.store.write(key, std::to_string(random() % 1'000) + padding);
        }
        daemons.run(static_cast<std::int64_t>(random() % 900));
    }
    daemons.store.is_down = false;
    // At least one daemon reaches the store: the others follow it.
    daemons.members[0].reaches_store = true;
    daemons.run(2 * drain_bound_ms);
    return daemons.all_match_store();
}

} // namespace

TEST_CASE("restored store: a change under a revision that was given out before is in force")
{
    for (const int daemon_count : {1, 5, 36})
    {
        CAPTURE(daemon_count);
        copied_store world(daemon_count, 3);
        world.restore_after_outage();
        world.daemons.store.write("op/config", "version 4");
        world.daemons.run(4'000);
        world.daemons.store.write("op/config", "version 5");
        world.daemons.run(drain_bound_ms);
        CHECK(world.daemons.all_match_store());
    }
}

TEST_CASE("restored store: an item that was written after the copy is removed")
{
    copied_store world(5, 3);
    world.daemons.store.write("servers/2", "ready");
    world.daemons.run(1'000);
    world.restore_after_outage();
    world.daemons.run(drain_bound_ms);
    CHECK(world.daemons.all_match_store());
}

TEST_CASE("restored store: a watch that finds its revision given out again misses no change")
{
    copied_store world(5, 3);
    // The store is away for less than a watch's retry, and its revisions have caught up by then.
    world.daemons.store.restore(world.copy);
    for (int i = 0; i < 20; ++i)
    {
        world.daemons.store.write("servers/" + std::to_string(i), "written again");
    }
    world.daemons.run(drain_bound_ms);
    CHECK(world.daemons.all_match_store());
}

TEST_CASE("restored store: a daemon that can't reach the store follows the others")
{
    copied_store world(5, 3);
    world.daemons.members[2].reaches_store = false;
    world.restore_after_outage();
    world.daemons.store.write("op/config", "version 4");
    world.daemons.run(4'000);
    world.daemons.store.write("op/config", "version 5");
    world.daemons.store.remove("servers/1");
    world.daemons.run(drain_bound_ms);
    CHECK(world.daemons.all_match_store());
}

TEST_CASE("restored store: a daemon that starts before the others notice gets the store's list")
{
    copied_store world(5, 3);
    world.daemons.store.is_down = true;
    world.daemons.run(1'900);
    world.daemons.store.restore(world.copy);
    world.daemons.add("zone-0");
    world.daemons.run(drain_bound_ms);
    CHECK(world.daemons.all_match_store());
}

TEST_CASE("restored store: replicas equal the store after any series of restores and outages")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        CAPTURE(seed);
        CHECK(replicas_converge(seed));
    }
}

// A read in pages, whose changes were passed on to other daemons before its end.
TEST_CASE("restored store: seeds in which other daemons missed items of a read in pages")
{
    for (const std::uint64_t seed :
         {642,  862,  910,  1128, 1152, 1224, 1226, 1888, 1902, 2384, 2706, 3126, 3226, 3294, 3300,
          3490, 3632, 3724, 4342, 4416, 4468, 4598, 4614, 4824, 5026, 5712, 5760, 5818, 5902})
    {
        CAPTURE(seed);
        CHECK(replicas_converge(seed));
    }
}

// A complete list in several datagrams, whose items were passed on before its end.
TEST_CASE("restored store: a seed in which daemons crossed into an era without its complete list")
{
    CHECK(replicas_converge(23'316));
}

// A list that was read after a compaction, by a daemon that never held what it lacks.
TEST_CASE("restored store: a seed in which a daemon kept an item that its source never held")
{
    CHECK(replicas_converge(69'584));
}

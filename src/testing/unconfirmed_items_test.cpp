// A daemon that reads the store's list in pages holds items of late pages that are newer than the
// position of the first one, until its next watch has brought the other changes of that time.
// Daemons that requested changes from it meanwhile took its newest item for the position that it
// had reached, and never asked for the changes in between: a configuration was lost for good.
#include <cstdint>
#include <random>
#include <string>

#include <doctest/doctest.h>

#include "testing/replica_fleet.hpp"

using namespace briarbarrow;

namespace
{

// The time within which a drain has to be in force; a configuration has as much or more.
constexpr std::int64_t drain_bound_ms = 3'000;

struct list_options
{
    int daemons = 6;
    int zones = 1;
    std::size_t items = 40;
    std::size_t page_items = 10;
    std::int64_t response_delay_ms = 60;
    std::size_t value_bytes = 100;
    double loss_rate = 0;
};

// Daemons that follow a store with a list of several pages.
struct paged_store
{
    replica_fleet daemons;
    list_options options;

    explicit paged_store(const list_options& options)
        : daemons(options.daemons, options.zones), options(options)
    {
        this->daemons.store.page_items = options.page_items;
        for (std::size_t i = 0; i < options.items; ++i)
        {
            this->write_entry(i, "ready");
        }
        this->daemons.run(6'000);
        REQUIRE(this->daemons.all_match_store());
        this->daemons.loss_rate = options.loss_rate;
    }

    void write_entry(std::size_t number, const std::string& value)
    {
        // Keys in the order of their numbers.
        this->daemons.store.write("servers/" + std::to_string(100 + number),
                                  value + std::string(this->options.value_bytes, ' '));
    }

    // The store drops its history, so that its list is read again, while answers take long.
    void begin_reads()
    {
        this->daemons.store.response_delay = millis{this->options.response_delay_ms};
        this->write_entry(0, "written at " + std::to_string(this->daemons.now.count));
        this->daemons.store.compact_history();
    }

    void check_in_force()
    {
        this->daemons.store.response_delay = simulated_store{}.response_delay;
        this->daemons.run(drain_bound_ms);
        CHECK(this->daemons.all_match_store());
    }
};

} // namespace

TEST_CASE("unconfirmed items: a configuration that is written during a read reaches all daemons")
{
    for (const std::int64_t response_delay_ms : {4, 20, 60, 240})
    {
        for (std::int64_t moment = 0; moment <= 6; ++moment)
        {
            CAPTURE(response_delay_ms);
            CAPTURE(moment);
            list_options options;
            options.response_delay_ms = response_delay_ms;
            paged_store world(options);
            world.begin_reads();
            const std::int64_t pages_ms =
                static_cast<std::int64_t>(options.items / options.page_items) * response_delay_ms;
            world.daemons.run(1 + pages_ms * moment / 4);
            world.daemons.store.write("op/config", "version 2");
            for (std::size_t i = 1; i < 8; ++i)
            {
                world.write_entry(options.items - i, "draining");
                world.daemons.run(response_delay_ms / 4);
            }
            world.check_in_force();
        }
    }
}

// The same for the end of an outage: what is held beyond the confirmed position is passed on.
TEST_CASE("unconfirmed items: they reach other daemons while the store is away")
{
    paged_store world(list_options{});
    world.begin_reads();
    // Written while the list is read, and on its last page.
    world.daemons.run(5);
    bool is_away = false;
    world.daemons.on_updates = [&world, &is_away](std::size_t, const sync_updates& updates)
    {
        is_away = is_away || updates.list_size.has_value();
        world.daemons.store.is_down = is_away;
    };
    world.write_entry(world.options.items - 1, "draining");
    world.daemons.run(drain_bound_ms);
    REQUIRE(is_away);
    const std::string last = "servers/" + std::to_string(100 + world.options.items - 1);
    for (const replica_fleet::member& daemon : world.daemons.members)
    {
        CHECK(daemon.sync.replica.items.at(last).value.starts_with("draining"));
    }
    // Items that were passed on once are not sent again with each response.
    std::uint64_t sent_before = 0;
    std::uint64_t sent = 0;
    for (const replica_fleet::member& daemon : world.daemons.members)
    {
        sent_before += daemon.sync.counts.responses_sent;
    }
    world.daemons.run(2'000);
    for (const replica_fleet::member& daemon : world.daemons.members)
    {
        sent += daemon.sync.counts.responses_sent;
    }
    const auto requests_per_daemon =
        static_cast<std::uint64_t>(2'000 / change_request_interval.count);
    CHECK(sent - sent_before <=
          (requests_per_daemon + 1) * static_cast<std::uint64_t>(world.options.daemons));
}

// Items beyond the position that fill several responses, small and in chunks.
TEST_CASE("unconfirmed items: each is sent once until the source has reached a later position")
{
    for (const std::size_t value_bytes : {50, 700, 3'000})
    {
        for (const std::uint64_t reached : {0, 20, 50})
        {
            CAPTURE(value_bytes);
            CAPTURE(reached);
            item_replica source;
            for (std::uint64_t i = 1; i <= 60; ++i)
            {
                apply_change(source,
                             put("k" + std::to_string(i), std::string(value_bytes, 'v'), 4 * i));
            }
            confirm_replica(source, {0, 4 * reached + 1}, millis{0});
            change_requester requester;
            requester.is_listing = false;
            item_replica copy;
            std::size_t items = 0;
            const auto request_all = [&]()
            {
                for (bool has_more = true; has_more;)
                {
                    const change_response response =
                        make_change_response(source, next_change_request(requester), millis{0});
                    const auto updates = apply_change_response(requester, response);
                    REQUIRE(updates);
                    items += updates->changes.size();
                    REQUIRE(items <= 1'000);
                    has_more = updates->needs_request;
                    for (const store_item& change : updates->changes)
                    {
                        apply_change(copy, change);
                    }
                    if (updates->is_complete)
                    {
                        confirm_replica(copy, updates->position, millis{0});
                    }
                }
            };
            request_all();
            CHECK(items == 60);
            CHECK(copy.position == source.position);
            request_all();
            CHECK(items == 60);
            // The change before them that was missing.
            apply_change(source, put("k1", "late", 4 * reached + 2));
            confirm_replica(source, {0, 400}, millis{0});
            request_all();
            CHECK(values_of(copy) == values_of(source));
            CHECK(copy.position == source.position);
        }
    }
}

// Lists of any size, read again and again while they change, in fleets of any size.
TEST_CASE("unconfirmed items: no series of changes and reads in pages loses one")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        list_options options;
        options.daemons = 3 + static_cast<int>(random() % 10);
        options.zones = 1 + static_cast<int>(random() % 3);
        options.items = 5 + random() % 50;
        options.page_items = 2 + random() % 20;
        options.response_delay_ms = static_cast<std::int64_t>(4 + random() % 120);
        options.value_bytes = random() % 3 == 0 ? 900 : 50;
        options.loss_rate = random() % 4 == 0 ? 0.1 : 0;
        paged_store world(options);
        for (int round = 0; round < 4; ++round)
        {
            world.begin_reads();
            world.daemons.store.is_down = random() % 6 == 0;
            const std::size_t steps = random() % 30;
            for (std::size_t step = 0; step < steps; ++step)
            {
                const std::size_t entry = random() % options.items;
                switch (random() % 8)
                {
                case 0:
                    world.daemons.store.write("op/config", std::string(random() % 3'000, 'c'));
                    break;
                case 1:
                    world.daemons.store.remove("servers/" + std::to_string(100 + entry));
                    break;
                default:
                    world.write_entry(entry, std::to_string(random() % 1'000));
                }
                world.daemons.run(static_cast<std::int64_t>(random() % 100));
            }
            world.daemons.store.write("op/config", "version " + std::to_string(round));
            world.daemons.store.is_down = false;
            world.check_in_force();
        }
    }
}

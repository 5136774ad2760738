// A fleet that starts with nothing, all daemons together: each reads the list of backend servers
// from the store, whose link takes seconds for that many copies.
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "core/ids.hpp"
#include "store_codec.hpp"
#include "tagged/tag_router.hpp"
#include "testing/replica_fleet.hpp"

using namespace briarbarrow;

namespace
{

// The platform's store: 1,000 Mbit/s. An entry takes some 340 bytes on the wire.
constexpr std::size_t store_link_bytes_per_ms = 125'000;
constexpr std::size_t entry_bytes = 340;

// Time within which a fleet of any size serves again after all daemons were killed.
constexpr millis max_unserved_time{1'000};

// What each daemon's adapter knows of the store: the backend servers, and the configuration.
struct starting_fleet
{
    replica_fleet fleet;
    std::vector<std::set<std::string>> known;
    std::vector<std::optional<millis>> serving_since;
    // The backend servers that a daemon begins with.
    std::vector<std::set<std::string>> first_known;
    millis started;

    starting_fleet(int daemons, int backends)
        : fleet(daemons, 5), known(daemons), serving_since(daemons), first_known(daemons),
          started(fleet.now)
    {
        this->fleet.store.link_bytes_per_ms = store_link_bytes_per_ms;
        for (int i = 0; i < backends; ++i)
        {
            this->fleet.store.write(name_of_backend(i), std::string(entry_bytes, 's'));
        }
        for (int i = 0; i < daemons; ++i)
        {
            this->fleet.members[i].sync.follower.order =
                platform::make_read_order(hash_name("front-" + std::to_string(i)));
        }
        this->fleet.on_updates = [this](std::size_t daemon, const sync_updates& updates)
        {
            this->apply(daemon, updates);
        };
    }

    static std::string name_of_backend(int number)
    {
        char name[32];
        std::snprintf(name, sizeof name, "servers/i-%010llx",
                      static_cast<unsigned long long>(hash_name(std::to_string(number)) >> 24));
        return name;
    }

    void apply(std::size_t daemon, const sync_updates& updates)
    {
        std::set<std::string>& keys = this->known[daemon];
        for (const std::vector<store_item>* items : {&updates.early_items, &updates.changes})
        {
            for (const store_item& item : *items)
            {
                if (item.is_deleted)
                {
                    keys.erase(item.key);
                }
                else
                {
                    keys.insert(item.key);
                }
            }
        }
        for (const std::string& key : updates.removed)
        {
            keys.erase(key);
        }
        const bool has_backends = keys.size() > 1;
        if (!this->serving_since[daemon] && keys.count("op/config") > 0 && has_backends)
        {
            this->serving_since[daemon] = this->fleet.now;
            this->first_known[daemon] = keys;
            this->first_known[daemon].erase("op/config");
        }
    }

    // Time from the start until the last daemon can place flows.
    millis longest_start() const
    {
        millis longest;
        for (const std::optional<millis>& since : this->serving_since)
        {
            longest = std::max(longest, since.value_or(this->fleet.now) - this->started);
        }
        return longest;
    }

    std::set<std::string> wanted_keys() const
    {
        std::set<std::string> keys;
        for (const auto& [key, item] : this->fleet.store.items)
        {
            keys.insert(key);
        }
        return keys;
    }
};

} // namespace

// Guards against an outage that grows with the fleet: 300 daemons waited until each had read 3,000
// entries, which takes the store's link 2.4 seconds.
TEST_CASE("cold start: a large fleet serves within a second after all daemons were killed")
{
    for (const std::pair<int, int>& size : {std::pair{5, 18}, {30, 300}, {300, 3'000}})
    {
        starting_fleet starting(size.first, size.second);
        starting.fleet.run(4'000);
        CHECK_MESSAGE(starting.longest_start() <= max_unserved_time, size.first, " daemons");
        for (const std::set<std::string>& keys : starting.known)
        {
            CHECK(keys == starting.wanted_keys());
        }
        CHECK(starting.fleet.all_match_store());
    }
}

// With the same part of the list at every daemon, a few backend servers would get all flows. The
// usual load leaves half of their slots free.
TEST_CASE("cold start: daemons begin with different backend servers")
{
    starting_fleet starting(300, 3'000);
    starting.fleet.run(4'000);
    std::map<std::string, double> load;
    for (const std::set<std::string>& keys : starting.first_known)
    {
        for (const std::string& key : keys)
        {
            load[key] += 1.0 / static_cast<double>(keys.size());
        }
    }
    double highest = 0;
    for (const auto& [key, flows] : load)
    {
        highest = std::max(highest, flows);
    }
    const double mean = 300.0 / 3'000.0;
    CHECK(highest <= 2 * mean);
}

// An entry that was read early must not stay in use when it is not in the first complete list: the
// replica never held it, so nothing else would remove it. The read begins anew when the store comes
// back from an older copy.
TEST_CASE("cold start: a backend server that leaves during the first read is not used any more")
{
    for (int seed = 0; seed < 5; ++seed)
    {
        starting_fleet starting(12, 1'500);
        starting.fleet.store.link_bytes_per_ms = 3'000;
        const simulated_store copy = starting.fleet.store;
        for (int i = 1'500; i < 2'000; ++i)
        {
            starting.fleet.store.write(starting_fleet::name_of_backend(i), "entry");
        }
        for (int i = 0; i < 40; ++i)
        {
            starting.fleet.run(50);
            starting.fleet.store.remove(starting_fleet::name_of_backend(i * 37 + seed));
            if (i % 13 == seed)
            {
                starting.fleet.store.compact_history();
            }
            if (i == 8 + 3 * seed)
            {
                starting.fleet.store.restore(copy);
            }
        }
        starting.fleet.run(8'000);
        for (const std::set<std::string>& keys : starting.known)
        {
            CHECK(keys == starting.wanted_keys());
        }
    }
}

// Other daemons would take a part of a list for all of it.
TEST_CASE("cold start: a daemon passes on nothing before its first read is complete")
{
    replica_sync sync;
    start_replica_sync(sync, report_of(0, "zone-0"), {}, 1);
    sync.follower.order = platform::make_read_order(1);
    sync_actions actions;
    tick_replica_sync(sync, millis{1'000}, actions);
    REQUIRE(actions.call);
    store_response page;
    page.outcome = store_outcome::answered;
    page.store_revision = 7;
    page.items = {put("op/config", "routes", 2), put("servers/i-1", "entry", 3)};
    page.last_key = "servers/i-1";
    page.has_more = true;
    sync_updates updates;
    handle_store_response(sync, page, millis{1'005}, updates);
    CHECK_FALSE(updates.early_items.empty());
    CHECK_FALSE(updates.is_complete);
    const change_response response = make_change_response(sync.replica, {}, millis{1'010});
    CHECK_FALSE(response.has_list);
    CHECK(response.items.empty());
    CHECK(replica_age(sync, millis{1'010}) > max_fresh_store_age);
}

// A router with a part of the list places flows, and refuses nothing that the rest could explain.
TEST_CASE("cold start: a router serves from a part of the list")
{
    router_state router;
    start_router(router, {}, millis{0});
    CHECK_FALSE(is_router_ready(router));
    route_list routes;
    routes.version = 3;
    apply_route_list(router, routes);
    CHECK_FALSE(is_router_ready(router));
    backend_registration registration;
    registration.name = "i-1";
    registration.service = "counter";
    registration.zone = "zone-0";
    apply_backend_registration(router, registration, millis{5});
    CHECK(is_router_ready(router));
    tagged_packet opening;
    opening.opens = true;
    opening.tuple.destination = parse_endpoint("198.18.0.9:443")->address;
    opening.tuple.destination_port = 443;
    CHECK(route_packet(router, opening, millis{6}).verdict == packet_verdict::drop);
}

// Daemons whose seeds are stale: they find the others, and the others find them, through the
// listings in the store. Such a daemon used to stay alone for as long as it ran.
#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "testing/replica_fleet.hpp"

using namespace briarbarrow;

namespace
{

const std::string listing_prefix = "peers/";

// Does what an adapter does with listings: writes them, and passes on those of others.
struct listing_fleet
{
    replica_fleet daemons;
    std::vector<bool> is_listed;
    int writes = 0;

    listing_fleet(int count, int zones) : daemons(count, zones)
    {
        this->daemons.on_updates = [this](std::size_t daemon, const sync_updates& updates)
        {
            std::set<endpoint>& listed = this->daemons.members[daemon].sync.peers.listed_daemons;
            for (const store_item& item : updates.changes)
            {
                if (!item.key.starts_with(listing_prefix))
                {
                    continue;
                }
                const endpoint address = *parse_endpoint(item.key.substr(listing_prefix.size()));
                if (item.is_deleted)
                {
                    listed.erase(address);
                }
                else
                {
                    listed.insert(address);
                }
            }
        };
    }

    void run(std::int64_t duration_ms)
    {
        for (std::int64_t elapsed = 0; elapsed < duration_ms; elapsed += 20)
        {
            this->daemons.run(20);
            this->is_listed.resize(this->daemons.members.size());
            for (std::size_t i = 0; i < this->daemons.members.size(); ++i)
            {
                this->update_listing(i);
            }
        }
    }

    void update_listing(std::size_t index)
    {
        const replica_fleet::member& daemon = this->daemons.members[index];
        if (!daemon.is_up)
        {
            return;
        }
        const bool should_list = should_be_listed(daemon.sync, this->daemons.now);
        const std::string key = listing_prefix + to_string(daemon.sync.peers.self.address);
        if (should_list && !this->is_listed[index])
        {
            this->daemons.store.write(key, "{}");
            ++this->writes;
        }
        else if (!should_list && this->is_listed[index])
        {
            this->daemons.store.remove(key);
        }
        this->is_listed[index] = should_list;
    }

    void set_stale_seeds(std::size_t daemon)
    {
        this->daemons.members[daemon].sync.peers.seeds = {address_of(900), address_of(901)};
    }

    std::ptrdiff_t count_listed() const
    {
        return std::count(this->is_listed.begin(), this->is_listed.end(), true);
    }

    // The number of daemons that know all others.
    std::size_t count_informed() const
    {
        std::size_t informed = 0;
        for (const replica_fleet::member& daemon : this->daemons.members)
        {
            const std::size_t known = live_peers(daemon.sync.peers, this->daemons.now).size();
            informed += known + 1 == this->daemons.members.size() ? 1 : 0;
        }
        return informed;
    }
};

} // namespace

TEST_CASE("listing: daemons that are added with stale seeds find the others")
{
    for (const int count : {1, 4, 12})
    {
        for (const int added : {1, 3})
        {
            CAPTURE(count);
            CAPTURE(added);
            listing_fleet fleet(count, 3);
            fleet.run(6'000);
            for (int i = 0; i < added; ++i)
            {
                fleet.daemons.add("zone-0");
                fleet.set_stale_seeds(fleet.daemons.members.size() - 1);
                fleet.run(300);
            }
            fleet.run(6'000);
            CHECK(fleet.count_informed() == fleet.daemons.members.size());
        }
    }
}

TEST_CASE("listing: daemons find together when the seeds of all are stale")
{
    for (const int count : {2, 5, 20})
    {
        CAPTURE(count);
        listing_fleet fleet(count, 3);
        for (std::size_t i = 0; i < fleet.daemons.members.size(); ++i)
        {
            fleet.set_stale_seeds(i);
        }
        fleet.run(8'000);
        CHECK(fleet.count_informed() == fleet.daemons.members.size());
    }
}

TEST_CASE("listing: two groups that know only their own daemons find together")
{
    listing_fleet fleet(10, 2);
    for (std::size_t i = 5; i < 10; ++i)
    {
        fleet.daemons.members[i].sync.peers.seeds = {address_of(5), address_of(6)};
    }
    fleet.run(8'000);
    CHECK(fleet.count_informed() == 10);
}

TEST_CASE("listing: one daemon of a fleet is listed, and another one when it is gone")
{
    listing_fleet fleet(36, 3);
    fleet.run(10'000);
    CHECK(fleet.count_listed() == 1);
    // Each listing wakes all that follow the store.
    CHECK(fleet.writes <= 2);
    for (std::size_t i = 0; i < fleet.daemons.members.size(); ++i)
    {
        if (fleet.is_listed[i])
        {
            fleet.daemons.members[i].is_up = false;
        }
    }
    fleet.run(peer_live_timeout.count + 4'000);
    CHECK(fleet.count_listed() == 2);
    CHECK(fleet.writes <= 4);
}

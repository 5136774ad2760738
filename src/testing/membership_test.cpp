#include <doctest/doctest.h>

#include <map>
#include <set>

#include "core/members/membership.hpp"
#include "core/placement/record_owners.hpp"

using namespace briarbarrow;

namespace
{

host_info make_host_info(int index, const std::string& zone)
{
    host_info info;
    info.name = "host-" + std::to_string(index);
    info.id = host_id_of(info.name);
    info.zone = zone;
    info.incarnation = 1;
    return info;
}

// Some hosts' memberships on a manual clock. Heartbeats and host lists arrive without delay, except
// from and to hosts in `silent`.
struct test_domain
{
    std::map<host_id, membership> hosts;
    std::set<host_id> silent;
    millis now{10'000};

    explicit test_domain(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            const host_info info = make_host_info(i, "zone-" + std::to_string(i % 3));
            start_membership(this->hosts[info.id], info, this->now);
        }
        for (auto& [id, self] : this->hosts)
        {
            for (int i = 0; i < count; ++i)
            {
                host_info other = make_host_info(i, "zone-" + std::to_string(i % 3));
                other.incarnation = 0;
                apply_reported_host(self, {other, host_state::unheard}, this->now);
            }
        }
    }

    // Delivers the messages that a host wants to send.
    void deliver(host_id from, membership_output output)
    {
        for (const host_id to : output.heartbeat_targets)
        {
            if (!this->silent.contains(from) && !this->silent.contains(to))
            {
                handle_heartbeat(this->hosts[to], from, make_heartbeat(this->hosts[from], to),
                                 this->now);
            }
        }
        output.recent_list_targets.insert(output.recent_list_targets.end(),
                                          output.full_list_targets.begin(),
                                          output.full_list_targets.end());
        for (const host_id to : output.recent_list_targets)
        {
            if (this->silent.contains(from) || this->silent.contains(to))
            {
                continue;
            }
            for (const reported_host& report :
                 make_host_list(this->hosts[from], false, this->now).hosts)
            {
                apply_reported_host(this->hosts[to], report, this->now);
            }
        }
    }

    // Advances the clock. Paused hosts do no periodic work.
    void run(millis duration, const std::set<host_id>& paused = {})
    {
        const millis end = this->now + duration;
        while (this->now < end)
        {
            this->now = this->now + millis{25};
            for (auto& [id, self] : this->hosts)
            {
                if (!paused.contains(id))
                {
                    tick_membership(self, this->now);
                }
                membership_output output;
                std::swap(output, self.output);
                this->deliver(id, output);
            }
        }
    }

    host_id id(int index) const
    {
        return make_host_info(index, "").id;
    }
};

} // namespace

TEST_CASE("hosts that receive each other's heartbeats become live and hold a quorum lease")
{
    test_domain domain(5);
    domain.run(millis{3'000});
    for (const auto& [id, self] : domain.hosts)
    {
        CHECK(self.state == host_state::live);
        CHECK(has_quorum_lease(self, domain.now));
        for (const auto& [other, known] : self.others)
        {
            CHECK(known.state == host_state::live);
        }
    }
}

TEST_CASE("an unreachable host is declared gone by a majority of its monitors within a second")
{
    test_domain domain(5);
    domain.run(millis{3'000});
    domain.silent.insert(domain.id(2));
    domain.run(millis{1'000});
    for (const auto& [id, self] : domain.hosts)
    {
        if (id != domain.id(2))
        {
            CHECK(self.others.at(domain.id(2)).state == host_state::gone);
        }
    }
}

TEST_CASE("an isolated host suspects the others but does not declare them gone, and has no lease")
{
    test_domain domain(5);
    domain.run(millis{3'000});
    domain.silent.insert(domain.id(2));
    domain.run(millis{5'000});
    const membership& alone = domain.hosts.at(domain.id(2));
    for (const auto& [id, other] : alone.others)
    {
        CHECK(other.state == host_state::live);
        CHECK(other.suspected);
    }
    CHECK(!has_quorum_lease(alone, domain.now));
    CHECK(is_isolated(alone, domain.now));
}

// If a host that was declared gone still held its quorum lease, it and its successor could both
// place flows.
TEST_CASE("a host does not hold its quorum lease any more when others declare it gone")
{
    test_domain domain(5);
    domain.run(millis{3'000});
    const host_id victim = domain.id(1);
    domain.silent.insert(victim);
    for (int i = 0; i < 100; ++i)
    {
        domain.run(millis{25});
        const bool has_lease = has_quorum_lease(domain.hosts.at(victim), domain.now);
        for (const auto& [id, self] : domain.hosts)
        {
            const bool gone = id != victim && self.others.at(victim).state == host_state::gone;
            REQUIRE(!(gone && has_lease));
        }
    }
}

// A process pause looks to the others like a crash. The resumed host must not place a flow before
// it has received the others.
TEST_CASE("a host has no quorum lease after a pause, and joins again with a higher incarnation")
{
    test_domain domain(5);
    domain.run(millis{3'000});
    const host_id paused = domain.id(3);
    domain.silent.insert(paused);
    domain.run(millis{2'000}, {paused});
    // The lease is checked before the resumed host has handled any event.
    CHECK(!has_quorum_lease(domain.hosts.at(paused), domain.now));
    domain.silent.clear();
    domain.run(millis{5'000});
    const membership& resumed = domain.hosts.at(paused);
    CHECK(resumed.self.incarnation > 1);
    CHECK(resumed.state == host_state::live);
    CHECK(has_quorum_lease(resumed, domain.now));
    for (const auto& [id, self] : domain.hosts)
    {
        if (id != paused)
        {
            CHECK(self.others.at(paused).state == host_state::live);
        }
    }
}

// With an even number of hosts, neither half is a majority; if one kept its lease, both could.
TEST_CASE("neither half of an evenly partitioned domain keeps a quorum lease")
{
    test_domain domain(4);
    domain.run(millis{3'000});
    // Each half in a copy of the domain in which the other half is silent and paused.
    test_domain left = domain;
    left.silent = {domain.id(2), domain.id(3)};
    left.run(millis{10'000}, left.silent);
    CHECK(!has_quorum_lease(left.hosts.at(domain.id(0)), left.now));
    test_domain right = domain;
    right.silent = {domain.id(0), domain.id(1)};
    right.run(millis{10'000}, right.silent);
    CHECK(!has_quorum_lease(right.hosts.at(domain.id(2)), right.now));
}

TEST_CASE("a leaving host is no record owner any more as soon as it announces it")
{
    test_domain domain(5);
    domain.run(millis{3'000});
    begin_leaving(domain.hosts[domain.id(0)], domain.now);
    domain.run(millis{100});
    for (const auto& [id, self] : domain.hosts)
    {
        CHECK(!can_be_owner(self, domain.id(0), domain.now));
    }
}

TEST_CASE("the number of hosts that a host exchanges heartbeats with does not grow with the domain")
{
    const auto count_peers = [](int count)
    {
        membership self;
        start_membership(self, make_host_info(0, "z"), millis{0});
        for (int i = 1; i < count; ++i)
        {
            apply_reported_host(self, {make_host_info(i, "z"), host_state::live}, millis{0});
        }
        return heartbeat_peers(self).size();
    };
    CHECK(count_peers(5) == 4);
    // Three monitors of it, and on average three hosts that it monitors.
    CHECK(count_peers(100) <= 12);
    CHECK(count_peers(600) <= 12);
}

namespace
{

// A view of hosts in three zones; the one at index `left_out` is not eligible, or none for -1.
view make_view(int count, int left_out)
{
    view made;
    for (int i = 0; i < count; ++i)
    {
        const host_info info = make_host_info(i, "zone-" + std::to_string(i % 3));
        made.hosts.push_back(
            view_host{info.id, hash_name(info.zone), info.incarnation, i != left_out});
    }
    return made;
}

std::uint64_t zone_of(const view& hosts, host_id id)
{
    for (const view_host& host : hosts.hosts)
    {
        if (host.id == id)
        {
            return host.zone;
        }
    }
    return 0;
}

} // namespace

// If a loss moved other services too, or promoted another host than the standby, the new primary
// would not have the records.
TEST_CASE("owners are in two zones, the standby replaces a lost primary, and no other owner moves")
{
    const view all = make_view(7, -1);
    for (std::uint64_t i = 1; i <= 500; ++i)
    {
        const service_id service{mix(i, i)};
        const owner_pair before = owners_in(all, service);
        REQUIRE(zone_of(all, before.primary) != zone_of(all, before.standby));
        for (int lost = 0; lost < 7; ++lost)
        {
            const owner_pair after = owners_in(make_view(7, lost), service);
            const host_id gone = make_host_info(lost, "").id;
            if (gone == before.primary)
            {
                REQUIRE(after.primary == before.standby);
            }
            else
            {
                REQUIRE(after.primary == before.primary);
            }
            if (gone != before.primary && gone != before.standby)
            {
                REQUIRE(after == before);
            }
        }
    }
}

TEST_CASE("the primaries of many services are distributed evenly over the hosts")
{
    const view all = make_view(5, -1);
    std::map<host_id, int> primaries;
    for (std::uint64_t i = 1; i <= 5'000; ++i)
    {
        ++primaries[owners_in(all, service_id{mix(i, 99)}).primary];
    }
    for (const auto& [host, count] : primaries)
    {
        CHECK(count > 800);
        CHECK(count < 1'200);
    }
}

#include <doctest/doctest.h>

#include <map>
#include <set>

#include "core/members/membership.hpp"
#include "core/placement/keepers.hpp"

using namespace briarbarrow;

namespace
{

host_info named_host(int index, const std::string& zone)
{
    host_info info;
    info.name = "host-" + std::to_string(index);
    info.id = host_id_of(info.name);
    info.zone = zone;
    info.incarnation = 1;
    return info;
}

// A few memberships that exchange heartbeats and lists at once, while time is moved by hand.
struct little_domain
{
    std::map<host_id, membership> hosts;
    std::set<host_id> silent;
    millis now{10'000};

    explicit little_domain(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            const host_info info = named_host(i, "zone-" + std::to_string(i % 3));
            start_membership(this->hosts[info.id], info, this->now);
        }
        for (auto& [id, self] : this->hosts)
        {
            for (int i = 0; i < count; ++i)
            {
                host_info other = named_host(i, "zone-" + std::to_string(i % 3));
                other.incarnation = 0;
                learn_host(self, {other, host_state::unheard}, this->now);
            }
        }
    }

    void deliver(host_id from, membership_output wanted)
    {
        for (const host_id to : wanted.heartbeats)
        {
            if (!this->silent.contains(from) && !this->silent.contains(to))
            {
                take_heartbeat(this->hosts[to], from, make_heartbeat(this->hosts[from], to),
                               this->now);
            }
        }
        wanted.recent_lists.insert(wanted.recent_lists.end(), wanted.full_lists.begin(),
                                   wanted.full_lists.end());
        for (const host_id to : wanted.recent_lists)
        {
            if (this->silent.contains(from) || this->silent.contains(to))
            {
                continue;
            }
            for (const reported_host& told :
                 make_host_list(this->hosts[from], false, this->now).hosts)
            {
                learn_host(this->hosts[to], told, this->now);
            }
        }
    }

    void run(millis span, const std::set<host_id>& paused = {})
    {
        const millis end = this->now + span;
        while (this->now < end)
        {
            this->now = this->now + millis{25};
            for (auto& [id, self] : this->hosts)
            {
                if (!paused.contains(id))
                {
                    tick_membership(self, this->now);
                }
                membership_output wanted;
                std::swap(wanted, self.output);
                this->deliver(id, wanted);
            }
        }
    }

    host_id id(int index) const
    {
        return named_host(index, "").id;
    }
};

} // namespace

TEST_CASE("hosts that hear each other become live")
{
    little_domain domain(5);
    domain.run(millis{3'000});
    for (const auto& [id, self] : domain.hosts)
    {
        CHECK(self.state == host_state::live);
        CHECK(has_grant(self, domain.now));
        for (const auto& [other, known] : self.others)
        {
            CHECK(known.state == host_state::live);
        }
    }
}

TEST_CASE("a silent host is counted out by the majority within a second")
{
    little_domain domain(5);
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

TEST_CASE("a host that alone hears nobody counts nobody out")
{
    little_domain domain(5);
    domain.run(millis{3'000});
    domain.silent.insert(domain.id(2));
    domain.run(millis{5'000});
    const membership& alone = domain.hosts.at(domain.id(2));
    for (const auto& [id, other] : alone.others)
    {
        CHECK(other.state == host_state::live);
        CHECK(other.suspected);
    }
    CHECK(!has_grant(alone, domain.now));
    CHECK(is_cut_off(alone, domain.now));
}

TEST_CASE("a host loses its grant before the others can count it out")
{
    little_domain domain(5);
    domain.run(millis{3'000});
    const host_id victim = domain.id(1);
    domain.silent.insert(victim);
    for (int i = 0; i < 100; ++i)
    {
        domain.run(millis{25});
        const bool granted = has_grant(domain.hosts.at(victim), domain.now);
        for (const auto& [id, self] : domain.hosts)
        {
            const bool gone = id != victim && self.others.at(victim).state == host_state::gone;
            REQUIRE(!(gone && granted));
        }
    }
}

TEST_CASE("a paused host has no grant when it wakes, and joins again with a higher incarnation")
{
    little_domain domain(5);
    domain.run(millis{3'000});
    const host_id paused = domain.id(3);
    domain.silent.insert(paused);
    domain.run(millis{2'000}, {paused});
    // It wakes and is asked before it has done anything else.
    CHECK(!has_grant(domain.hosts.at(paused), domain.now));
    domain.silent.clear();
    domain.run(millis{5'000});
    const membership& awake = domain.hosts.at(paused);
    CHECK(awake.self.incarnation > 1);
    CHECK(awake.state == host_state::live);
    CHECK(has_grant(awake, domain.now));
    for (const auto& [id, self] : domain.hosts)
    {
        if (id != paused)
        {
            CHECK(self.others.at(paused).state == host_state::live);
        }
    }
}

TEST_CASE("two halves that can't reach each other both lose the grant")
{
    little_domain domain(4);
    domain.run(millis{3'000});
    // Each half alone: the other one is silent for it.
    little_domain left = domain;
    left.silent = {domain.id(2), domain.id(3)};
    left.run(millis{10'000}, left.silent);
    CHECK(!has_grant(left.hosts.at(domain.id(0)), left.now));
    little_domain right = domain;
    right.silent = {domain.id(0), domain.id(1)};
    right.run(millis{10'000}, right.silent);
    CHECK(!has_grant(right.hosts.at(domain.id(2)), right.now));
}

TEST_CASE("a leaving host is no keeper any more, at once")
{
    little_domain domain(5);
    domain.run(millis{3'000});
    begin_leaving(domain.hosts[domain.id(0)], domain.now);
    domain.run(millis{100});
    for (const auto& [id, self] : domain.hosts)
    {
        CHECK(!can_keep(self, domain.id(0), domain.now));
    }
}

TEST_CASE("the number of heartbeats of a host does not grow with the domain")
{
    const auto partners_in = [](int count)
    {
        membership self;
        start_membership(self, named_host(0, "z"), millis{0});
        for (int i = 1; i < count; ++i)
        {
            learn_host(self, {named_host(i, "z"), host_state::live}, millis{0});
        }
        return heartbeat_partners(self).size();
    };
    CHECK(partners_in(5) == 4);
    // Three that watch it, and on average three that it watches.
    CHECK(partners_in(100) <= 12);
    CHECK(partners_in(600) <= 12);
}

namespace
{

view make_view(int count, int left_out)
{
    view made;
    for (int i = 0; i < count; ++i)
    {
        const host_info info = named_host(i, "zone-" + std::to_string(i % 3));
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

TEST_CASE("keepers are in two zones, and the standby follows the primary")
{
    const view all = make_view(7, -1);
    for (std::uint64_t i = 1; i <= 500; ++i)
    {
        const service_id service{mix(i, i)};
        const keeper_pair before = keepers_in(all, service);
        REQUIRE(zone_of(all, before.primary) != zone_of(all, before.standby));
        for (int lost = 0; lost < 7; ++lost)
        {
            const keeper_pair after = keepers_in(make_view(7, lost), service);
            const host_id gone = named_host(lost, "").id;
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

TEST_CASE("services spread evenly over the hosts")
{
    const view all = make_view(5, -1);
    std::map<host_id, int> primaries;
    for (std::uint64_t i = 1; i <= 5'000; ++i)
    {
        ++primaries[keepers_in(all, service_id{mix(i, 99)}).primary];
    }
    for (const auto& [host, count] : primaries)
    {
        CHECK(count > 800);
        CHECK(count < 1'200);
    }
}

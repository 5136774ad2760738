#include "core/members/monitors.hpp"

#include <algorithm>
#include <functional>

namespace briarbarrow
{

namespace
{

// Up to this many other hosts, each host monitors all of them.
constexpr std::size_t full_mesh_others = 4;
// The number of monitors of a host in a larger domain.
constexpr std::size_t sampled_monitors = 3;
// Hosts that were declared gone get one heartbeat out of this many.
constexpr std::uint32_t gone_host_interval = 5;
constexpr millis forever{INT64_MAX};

// Digest of the identifiers, incarnations and states of all hosts.
std::uint32_t digest_hosts(const membership& self)
{
    const auto digest_one = [](host_id id, std::uint64_t incarnation, host_state state)
    {
        const auto named = mix(static_cast<std::uint64_t>(id), incarnation);
        return mix(named, static_cast<std::uint64_t>(state));
    };
    std::uint64_t digest = digest_one(self.self.id, self.self.incarnation, self.state);
    for (const auto& [id, other] : self.others)
    {
        if (other.state != host_state::unheard)
        {
            // A sum does not depend on the order of the hosts.
            digest += digest_one(id, other.info.incarnation, other.state);
        }
    }
    return static_cast<std::uint32_t>(digest);
}

// Up to `count` present hosts that follow a host in the ring.
std::vector<host_id> next_in_ring(const membership& self, host_id from, std::size_t count)
{
    std::vector<host_id> found;
    const std::size_t size = self.ring.size();
    const auto after = std::upper_bound(self.ring.begin(), self.ring.end(), from);
    const auto start = static_cast<std::size_t>(after - self.ring.begin());
    for (std::size_t i = 0; i < size && found.size() < count; ++i)
    {
        const host_id next = self.ring[(start + i) % size];
        if (next != from)
        {
            found.push_back(next);
        }
    }
    return found;
}

bool is_monitored_by_self(const membership& self, host_id other)
{
    const auto monitors = monitors_of(self, other);
    return std::find(monitors.begin(), monitors.end(), self.self.id) != monitors.end();
}

// True when at least half of the known hosts that did not leave are gone: this host's side may be
// the minority of a partitioned domain.
bool may_be_minority(const membership& self)
{
    std::size_t present = 1;
    std::size_t lost = 0;
    std::size_t unheard = 0;
    for (const auto& [id, other] : self.others)
    {
        present += is_present(other.state) ? 1 : 0;
        lost += other.state == host_state::gone ? 1 : 0;
        unheard += other.state == host_state::unheard ? 1 : 0;
    }
    // A host that has received none of the hosts listed to it can't know whether they are running.
    const bool alone = present == 1 && unheard > 0;
    return alone || lost >= present;
}

} // namespace

bool is_present(host_state state)
{
    return state == host_state::joining || state == host_state::live ||
           state == host_state::leaving;
}

std::size_t majority(std::size_t monitors)
{
    return monitors / 2 + 1;
}

void refresh_derived_state(membership& self)
{
    ++self.changes;
    self.ring.clear();
    self.ring.push_back(self.self.id);
    for (const auto& [id, other] : self.others)
    {
        if (is_present(other.state))
        {
            self.ring.push_back(id);
        }
    }
    std::sort(self.ring.begin(), self.ring.end());
    self.hosts_digest = digest_hosts(self);
}

std::vector<host_id> monitored_hosts(const membership& self)
{
    std::vector<host_id> monitored;
    const std::size_t size = self.ring.size();
    const bool small = size <= full_mesh_others + 1;
    const std::size_t count = std::min(small ? full_mesh_others : sampled_monitors, size - 1);
    const auto own = std::lower_bound(self.ring.begin(), self.ring.end(), self.self.id);
    const auto own_index = static_cast<std::size_t>(own - self.ring.begin());
    for (std::size_t i = 1; i <= count; ++i)
    {
        monitored.push_back(self.ring[(own_index + size - i) % size]);
    }
    return monitored;
}

std::vector<host_id> monitors_of(const membership& self, host_id monitored)
{
    // The ring includes the monitored host itself, unless that host is not present.
    const bool small = self.ring.size() <= full_mesh_others + 1;
    return next_in_ring(self, monitored, small ? full_mesh_others : sampled_monitors);
}

std::vector<host_id> heartbeat_peers(const membership& self)
{
    std::vector<host_id> peers = monitors_of(self, self.self.id);
    for (const host_id monitored : monitored_hosts(self))
    {
        if (std::find(peers.begin(), peers.end(), monitored) == peers.end())
        {
            peers.push_back(monitored);
        }
    }
    for (const auto& [id, other] : self.others)
    {
        // Hosts that were declared gone still get an occasional heartbeat, so that the two sides of
        // a partition find each other again.
        const bool probes_gone_host =
            other.state == host_state::gone && self.sequence % gone_host_interval == 0;
        const bool needs_probe = other.state == host_state::unheard || probes_gone_host;
        if (needs_probe && is_monitored_by_self(self, id))
        {
            peers.push_back(id);
        }
    }
    return peers;
}

void compute_lease_end(membership& self)
{
    const auto monitors = monitors_of(self, self.self.id);
    if (may_be_minority(self))
    {
        self.lease_until = millis{-1};
        return;
    }
    if (monitors.empty())
    {
        self.lease_until = forever;
        return;
    }
    std::vector<millis> echo_times;
    echo_times.reserve(monitors.size());
    for (const host_id monitor : monitors)
    {
        echo_times.push_back(self.others.at(monitor).echoed_send_time);
    }
    std::sort(echo_times.begin(), echo_times.end(), std::greater<>());
    const std::size_t needed = monitors.size() - majority(monitors.size()) + 1;
    self.lease_until = echo_times[needed - 1] + quorum_lease_duration;
}

void update_lease(membership& self, millis now)
{
    compute_lease_end(self);
    const bool has_lease = has_quorum_lease(self, now);
    if (has_lease == self.has_lease)
    {
        return;
    }
    self.has_lease = has_lease;
    self.lease_epoch += has_lease ? 1 : 0;
    self.lease_changed_at = now;
    self.output.events.emplace_back(
        has_lease ? "this host regained its quorum lease"
                  : "this host lost its quorum lease: too few monitors confirmed its heartbeats");
}

bool has_quorum_lease(const membership& self, millis now)
{
    return now <= self.lease_until;
}

bool is_isolated(const membership& self, millis now)
{
    return !self.has_lease && now - self.lease_changed_at > isolation_timeout;
}

} // namespace briarbarrow

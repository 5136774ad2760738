#include "core/members/membership.hpp"

#include <algorithm>

#include "core/members/monitors.hpp"

namespace briarbarrow
{

namespace
{

// A state change counts as recent, and is passed on in host lists, for this long.
constexpr millis recent_change_window{10'000};
// Minimum time between two host lists sent to one host because of its heartbeats.
constexpr millis list_interval{1'000};

std::string describe(const member& other)
{
    return "host " + other.info.name + " (" + other.info.zone + ", incarnation " +
           std::to_string(other.info.incarnation) + ")";
}

void set_state(membership& self, member& other, host_state state, millis now,
               const std::string& cause)
{
    const auto index = static_cast<std::size_t>(state);
    self.output.events.push_back(describe(other) + " is " + std::string(host_state_names[index]) +
                                 ": " + cause);
    other.state = state;
    other.state_since = now;
    other.suspected = false;
    other.received_suspicions.clear();
    refresh_derived_state(self);
}

void set_own_state(membership& self, host_state state, millis now, const std::string& cause)
{
    const auto index = static_cast<std::size_t>(state);
    self.output.events.push_back("this host is " + std::string(host_state_names[index]) + ": " +
                                 cause);
    self.state = state;
    self.state_since = now;
    refresh_derived_state(self);
}

// Sends the recent changes to all heartbeat peers.
void announce_change(membership& self)
{
    const auto targets = heartbeat_peers(self);
    auto& lists = self.output.recent_list_targets;
    lists.insert(lists.end(), targets.begin(), targets.end());
}

// Takes a higher incarnation than a reported one that is gone or newer, and joins again unless
// leaving.
void rejoin(membership& self, std::uint64_t reported_incarnation, millis now)
{
    self.self.incarnation = std::max(self.self.incarnation, reported_incarnation) + 1;
    if (self.state == host_state::leaving)
    {
        refresh_derived_state(self);
        announce_change(self);
        return;
    }
    set_own_state(self, host_state::joining, now, "other hosts declared it gone");
    announce_change(self);
}

// True when a report replaces what is known: a higher incarnation replaces any state, a later state
// replaces an earlier one of the same incarnation.
bool supersedes(const member& known, const reported_host& report)
{
    if (report.info.incarnation != known.info.incarnation)
    {
        return report.info.incarnation > known.info.incarnation;
    }
    return report.state > known.state;
}

// Drops suspicions that their monitors have not repeated.
void remove_expired_suspicions(member& other, millis now)
{
    const auto is_expired = [now](const received_suspicion& received)
    {
        return now - received.last_received > suspicion_lifetime;
    };
    std::erase_if(other.received_suspicions, is_expired);
}

// The number of a host's monitors that suspect its current incarnation, this host included.
std::size_t count_suspicions(const membership& self, const member& other,
                             const std::vector<host_id>& monitors)
{
    std::size_t count = 0;
    for (const host_id monitor : monitors)
    {
        const auto same = [monitor, &other](const received_suspicion& received)
        {
            return received.monitor == monitor && received.incarnation == other.info.incarnation;
        };
        const bool own = monitor == self.self.id && other.suspected;
        const bool received =
            std::any_of(other.received_suspicions.begin(), other.received_suspicions.end(), same);
        count += own || received ? 1 : 0;
    }
    return count;
}

// Suspects a monitored host that does not respond, or clears the suspicion. Returns true on a
// change.
bool update_suspicion(membership& self, member& other, bool monitored, millis now)
{
    const millis last_echo = std::max(other.echoed_send_time, other.state_since);
    const bool no_echo = now - last_echo > echo_timeout;
    const bool unresponsive = now - other.last_received > heartbeat_timeout || no_echo;
    const bool suspect = monitored && unresponsive && is_present(other.state);
    if (suspect == other.suspected)
    {
        return false;
    }
    other.suspected = suspect;
    other.suspected_since = now;
    self.output.events.push_back(
        describe(other) +
        (suspect ? " is suspected: no heartbeat or no echo in time" : " is no longer suspected"));
    refresh_derived_state(self);
    return true;
}

// Declares a host gone if a majority of its monitors suspects it.
void declare_gone_if_agreed(membership& self, host_id id, member& other, millis now)
{
    if (!is_present(other.state))
    {
        return;
    }
    const auto monitors = monitors_of(self, id);
    const std::size_t suspicions = count_suspicions(self, other, monitors);
    if (!monitors.empty() && suspicions >= majority(monitors.size()))
    {
        set_state(self, other, host_state::gone, now,
                  std::to_string(suspicions) + " of " + std::to_string(monitors.size()) +
                      " monitors suspect it");
        announce_change(self);
    }
}

// Takes the next sequence number and notes when it was sent.
void record_sent_heartbeat(membership& self, millis now)
{
    ++self.sequence;
    self.sent[self.sequence % self.sent.size()] = sent_heartbeat{self.sequence, now};
}

void send_heartbeats(membership& self, millis now)
{
    record_sent_heartbeat(self, now);
    self.next_heartbeat = now + heartbeat_interval;
    const auto targets = heartbeat_peers(self);
    auto& out = self.output.heartbeat_targets;
    out.insert(out.end(), targets.begin(), targets.end());
}

// Makes a joining host live once it has had time to receive the other hosts.
void finish_joining(membership& self, millis now)
{
    if (self.state != host_state::joining)
    {
        return;
    }
    const auto is_received = [now](const auto& entry)
    {
        return now - entry.second.last_received <= heartbeat_timeout;
    };
    const bool any_received = std::any_of(self.others.begin(), self.others.end(), is_received);
    // A host that receives others but is not received by them has no lease and waits as long as one
    // that is alone.
    const bool can_join_early =
        (any_received && has_quorum_lease(self, now)) || self.others.empty();
    const millis wait = can_join_early ? join_delay : lone_join_delay;
    if (now - self.state_since >= wait)
    {
        set_own_state(self, host_state::live, now,
                      any_received ? "it receives other hosts" : "it receives no other host");
    }
}

// Removes hosts that have been gone or have left for long.
void forget_absent_hosts(membership& self, millis now)
{
    const auto is_expired = [&self, now](const auto& entry)
    {
        const host_state state = entry.second.state;
        // The minority side of a partition has no lease. It must not forget the other side: with
        // fewer hosts known, it would take itself for the majority.
        const bool lost = state == host_state::gone && self.has_lease;
        const bool out = lost || state == host_state::left;
        return out && now - entry.second.state_since > absent_host_retention;
    };
    if (std::erase_if(self.others, is_expired) > 0)
    {
        refresh_derived_state(self);
    }
}

// Notes the time if a host is suspected or gone, or this host is without a lease.
void update_last_degraded(membership& self, millis now)
{
    const auto is_lost = [](const auto& entry)
    {
        return entry.second.suspected || entry.second.state == host_state::gone;
    };
    const bool lost = std::any_of(self.others.begin(), self.others.end(), is_lost);
    const bool no_lease = !self.has_lease && self.state != host_state::joining;
    if (lost || no_lease)
    {
        self.last_degraded = now;
    }
}

// Replaces the suspicions that a monitor sent before by those in its new heartbeat.
void apply_suspicions(membership& self, host_id sender, const heartbeat& beat, millis now)
{
    for (const suspicion& sent : beat.suspicions)
    {
        const auto found = self.others.find(sent.host);
        if (found == self.others.end())
        {
            continue;
        }
        auto& suspicions = found->second.received_suspicions;
        std::erase_if(suspicions,
                      [sender](const auto& received) { return received.monitor == sender; });
        suspicions.push_back(received_suspicion{sender, sent.incarnation, now});
    }
}

// Updates the send time of our newest heartbeat that a host has echoed.
void apply_echo(membership& self, member& other, std::uint32_t echo)
{
    const sent_heartbeat& sent = self.sent[echo % self.sent.size()];
    if (echo != 0 && sent.sequence == echo)
    {
        other.echoed_send_time = std::max(other.echoed_send_time, sent.sent);
    }
}

} // namespace

void start_membership(membership& self, const host_info& info, millis now)
{
    self.self = info;
    self.state = host_state::joining;
    self.state_since = now;
    self.next_heartbeat = now;
    self.lease_changed_at = now;
    refresh_derived_state(self);
}

void apply_reported_host(membership& self, const reported_host& report, millis now)
{
    if (report.info.id == self.self.id)
    {
        const bool out = report.state == host_state::gone || report.state == host_state::left;
        const bool newer = report.info.incarnation > self.self.incarnation;
        const bool same = report.info.incarnation == self.self.incarnation;
        if (self.state != host_state::left && (newer || (same && out)))
        {
            rejoin(self, report.info.incarnation, now);
        }
        return;
    }
    auto [found, added] = self.others.try_emplace(report.info.id);
    member& known = found->second;
    if (added)
    {
        known.info = report.info;
        // A host that was only listed stays unheard until its own heartbeat, or a report of its
        // state, arrives.
        const bool listed_out =
            report.state == host_state::gone || report.state == host_state::left;
        known.state = listed_out ? report.state : host_state::unheard;
        known.state_since = now;
        refresh_derived_state(self);
    }
    if (!supersedes(known, report))
    {
        return;
    }
    known.info = report.info;
    known.last_received = is_present(report.state) ? now : known.last_received;
    set_state(self, known, report.state, now, "reported by another host");
    announce_change(self);
}

void handle_heartbeat(membership& self, host_id sender, const heartbeat& beat, millis now)
{
    const auto found = self.others.find(sender);
    if (found == self.others.end())
    {
        return;
    }
    member& other = found->second;
    const bool outdated = beat.incarnation < other.info.incarnation;
    const bool same = beat.incarnation == other.info.incarnation;
    const bool declared_absent = same && other.state > host_state::leaving;
    if (outdated || declared_absent)
    {
        if (now - other.last_list_sent >= list_interval)
        {
            other.last_list_sent = now;
            self.output.full_list_targets.push_back(sender);
        }
        return;
    }
    if (!same)
    {
        other.received_sequence = 0;
        other.info.incarnation = beat.incarnation;
    }
    if (!same || beat.state > other.state)
    {
        set_state(self, other, beat.state, now, "reported by itself");
        if (beat.state == host_state::left || beat.state == host_state::leaving)
        {
            announce_change(self);
        }
    }
    other.last_received = now;
    // Sequence numbers may wrap around, so compare by signed difference.
    if (static_cast<std::int32_t>(beat.sequence - other.received_sequence) > 0)
    {
        other.received_sequence = beat.sequence;
    }
    other.synced_view = beat.synced_view;
    apply_echo(self, other, beat.echo);
    compute_lease_end(self);
    apply_suspicions(self, sender, beat, now);
    const bool differs = beat.hosts_digest != self.hosts_digest;
    if (differs && now - other.last_list_sent >= list_interval)
    {
        other.last_list_sent = now;
        self.output.recent_list_targets.push_back(sender);
    }
}

void tick_membership(membership& self, millis now)
{
    finish_joining(self, now);
    forget_absent_hosts(self, now);
    bool suspicions_changed = false;
    const std::vector<host_id> monitored = monitored_hosts(self);
    for (auto& [id, other] : self.others)
    {
        remove_expired_suspicions(other, now);
        const bool is_monitored =
            std::find(monitored.begin(), monitored.end(), id) != monitored.end();
        suspicions_changed = update_suspicion(self, other, is_monitored, now) || suspicions_changed;
    }
    for (auto& [id, other] : self.others)
    {
        if (other.suspected || !other.received_suspicions.empty())
        {
            declare_gone_if_agreed(self, id, other, now);
        }
    }
    update_lease(self, now);
    update_last_degraded(self, now);
    if (suspicions_changed || now >= self.next_heartbeat)
    {
        send_heartbeats(self, now);
    }
}

void begin_leaving(membership& self, millis now)
{
    if (self.state == host_state::leaving || self.state == host_state::left)
    {
        return;
    }
    set_own_state(self, host_state::leaving, now, "planned shutdown");
    send_heartbeats(self, now);
    announce_change(self);
}

void announce_stop(membership& self, millis now)
{
    set_own_state(self, host_state::left, now, "it stops now");
    send_heartbeats(self, now);
}

bool can_be_owner(const membership& self, host_id host, millis now)
{
    if (host == self.self.id)
    {
        return self.state == host_state::live;
    }
    const auto found = self.others.find(host);
    if (found == self.others.end() || found->second.state != host_state::live)
    {
        return false;
    }
    const member& other = found->second;
    return !other.suspected || now - other.suspected_since <= isolation_timeout;
}

bool is_reachable(const membership& self, host_id host, millis now)
{
    if (host == self.self.id)
    {
        return true;
    }
    const auto found = self.others.find(host);
    if (found == self.others.end() || !is_present(found->second.state))
    {
        return false;
    }
    return !found->second.suspected || now - found->second.suspected_since <= isolation_timeout;
}

heartbeat make_heartbeat(const membership& self, host_id receiver)
{
    heartbeat beat;
    beat.incarnation = self.self.incarnation;
    beat.state = self.state;
    beat.sequence = self.sequence;
    const auto found = self.others.find(receiver);
    beat.echo = found == self.others.end() ? 0 : found->second.received_sequence;
    beat.hosts_digest = self.hosts_digest;
    for (const auto& [id, other] : self.others)
    {
        if (other.suspected)
        {
            beat.suspicions.push_back(suspicion{id, other.info.incarnation});
        }
    }
    return beat;
}

host_list make_host_list(const membership& self, bool only_recent, millis now)
{
    host_list list;
    list.hosts.push_back(reported_host{self.self, self.state});
    for (const auto& [id, other] : self.others)
    {
        const bool recent = now - other.state_since <= recent_change_window;
        if (other.state != host_state::unheard && (recent || !only_recent))
        {
            list.hosts.push_back(reported_host{other.info, other.state});
        }
    }
    return list;
}

} // namespace briarbarrow

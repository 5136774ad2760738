#include "core/membership.hpp"

#include <algorithm>
#include <functional>

namespace briarbarrow
{

namespace
{

// Up to this many others, each host watches all of them.
constexpr std::size_t full_mesh_others = 4;
constexpr std::size_t sampled_monitors = 3;
// A change is told on for this long.
constexpr millis recent_span{10'000};
constexpr millis list_interval{1'000};
// Every so many heartbeats, hosts that were counted out get one too.
constexpr std::uint32_t lost_interval = 5;
constexpr millis forever{INT64_MAX};

bool is_present(host_state state)
{
    return state == host_state::joining || state == host_state::live ||
           state == host_state::leaving;
}

// Digest of names, incarnations and states, to notice that two hosts' lists differ.
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
            // Order must not matter: the sum of the parts.
            digest += digest_one(id, other.info.incarnation, other.state);
        }
    }
    return static_cast<std::uint32_t>(digest);
}

// Notes that the set of hosts or their states changed: orders the present ones by identifier and
// renews the digest.
void note_change(membership& self)
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

// The present hosts that follow one in the order of identifiers; the first follows the last.
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

std::size_t majority(std::size_t monitors)
{
    return monitors / 2 + 1;
}

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
    other.voices.clear();
    note_change(self);
}

void set_own_state(membership& self, host_state state, millis now, const std::string& cause)
{
    const auto index = static_cast<std::size_t>(state);
    self.output.events.push_back("this host is " + std::string(host_state_names[index]) + ": " +
                                 cause);
    self.state = state;
    self.state_since = now;
    note_change(self);
}

void tell_change(membership& self)
{
    const auto targets = heartbeat_partners(self);
    auto& lists = self.output.recent_lists;
    lists.insert(lists.end(), targets.begin(), targets.end());
}

void rejoin(membership& self, std::uint64_t counted_out, millis now)
{
    self.self.incarnation = std::max(self.self.incarnation, counted_out) + 1;
    if (self.state == host_state::leaving)
    {
        note_change(self);
        tell_change(self);
        return;
    }
    set_own_state(self, host_state::joining, now, "it was counted out by the others");
    tell_change(self);
}

// Later states of one incarnation replace earlier ones; a higher incarnation replaces all.
bool is_news(const member& known, const told_host& told)
{
    if (told.info.incarnation != known.info.incarnation)
    {
        return told.info.incarnation > known.info.incarnation;
    }
    return told.state > known.state;
}

void remove_stale_voices(member& other, millis now)
{
    const auto is_stale = [now](const voiced_suspicion& voice)
    {
        return now - voice.heard > suspicion_span;
    };
    std::erase_if(other.voices, is_stale);
}

std::size_t count_suspicions(const membership& self, const member& other,
                             const std::vector<host_id>& monitors)
{
    std::size_t count = 0;
    for (const host_id monitor : monitors)
    {
        const auto same = [monitor, &other](const voiced_suspicion& voice)
        {
            return voice.monitor == monitor && voice.incarnation == other.info.incarnation;
        };
        const bool own = monitor == self.self.id && other.suspected;
        const bool voiced = std::any_of(other.voices.begin(), other.voices.end(), same);
        count += own || voiced ? 1 : 0;
    }
    return count;
}

bool watches(const membership& self, host_id watched)
{
    const auto monitors = monitors_of(self, watched);
    return std::find(monitors.begin(), monitors.end(), self.self.id) != monitors.end();
}

// The hosts that this one watches: those that it follows in the ring.
std::vector<host_id> watched_hosts(const membership& self)
{
    std::vector<host_id> watched;
    const std::size_t size = self.ring.size();
    const bool small = size <= full_mesh_others + 1;
    const std::size_t wanted = std::min(small ? full_mesh_others : sampled_monitors, size - 1);
    const auto own = std::lower_bound(self.ring.begin(), self.ring.end(), self.self.id);
    const auto place = static_cast<std::size_t>(own - self.ring.begin());
    for (std::size_t i = 1; i <= wanted; ++i)
    {
        watched.push_back(self.ring[(place + size - i) % size]);
    }
    return watched;
}

bool update_suspicion(membership& self, member& other, bool watched, millis now)
{
    const millis heard_us = std::max(other.proven, other.state_since);
    const bool deaf = now - heard_us > deaf_after;
    const bool silent = now - other.heard > suspect_after || deaf;
    const bool suspect = watched && silent && is_present(other.state);
    if (suspect == other.suspected)
    {
        return false;
    }
    other.suspected = suspect;
    other.suspected_since = now;
    self.output.events.push_back(describe(other) +
                                 (suspect ? " is suspected: it is silent" : " is heard again"));
    note_change(self);
    return true;
}

void count_out_if_agreed(membership& self, host_id id, member& other, millis now)
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
                      " monitors do not hear it");
        tell_change(self);
    }
}

void remember_sent(membership& self, millis now)
{
    ++self.sequence;
    self.sent[self.sequence % self.sent.size()] = sent_heartbeat{self.sequence, now};
}

void send_heartbeats(membership& self, millis now)
{
    remember_sent(self, now);
    self.next_heartbeat = now + heartbeat_interval;
    const auto targets = heartbeat_partners(self);
    auto& out = self.output.heartbeats;
    out.insert(out.end(), targets.begin(), targets.end());
}

void finish_joining(membership& self, millis now)
{
    if (self.state != host_state::joining)
    {
        return;
    }
    const auto is_heard = [now](const auto& entry)
    {
        return now - entry.second.heard <= suspect_after;
    };
    const bool any_heard = std::any_of(self.others.begin(), self.others.end(), is_heard);
    // One that hears others but is not heard by them waits as long as one that is alone.
    const bool settled = (any_heard && has_grant(self, now)) || self.others.empty();
    const millis wait = settled ? join_after : join_alone_after;
    if (now - self.state_since >= wait)
    {
        set_own_state(self, host_state::live, now,
                      any_heard ? "it has heard the others" : "it hears nobody else");
    }
}

void forget_old(membership& self, millis now)
{
    const auto is_old = [&self, now](const auto& entry)
    {
        const host_state state = entry.second.state;
        // A part without a grant must not forget the part that may have one.
        const bool lost = state == host_state::gone && self.granted;
        const bool out = lost || state == host_state::left;
        return out && now - entry.second.state_since > forget_after;
    };
    if (std::erase_if(self.others, is_old) > 0)
    {
        note_change(self);
    }
}

// True when at least half of the hosts that are known and did not leave are counted out: this may
// be the smaller part of a split domain.
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
    // One that hears nobody of those it was told of can't know whether they are there.
    const bool alone = present == 1 && unheard > 0;
    return alone || lost >= present;
}

// The grant ends when the last of the monitors that are needed for it was proven too long ago.
void compute_grant_end(membership& self)
{
    const auto monitors = monitors_of(self, self.self.id);
    if (may_be_minority(self))
    {
        self.grant_until = millis{-1};
        return;
    }
    if (monitors.empty())
    {
        self.grant_until = forever;
        return;
    }
    std::vector<millis> proofs;
    proofs.reserve(monitors.size());
    for (const host_id monitor : monitors)
    {
        proofs.push_back(self.others.at(monitor).proven);
    }
    std::sort(proofs.begin(), proofs.end(), std::greater<>());
    const std::size_t needed = monitors.size() - majority(monitors.size()) + 1;
    self.grant_until = proofs[needed - 1] + grant_span;
}

void update_grant(membership& self, millis now)
{
    compute_grant_end(self);
    const bool granted = has_grant(self, now);
    if (granted == self.granted)
    {
        return;
    }
    self.granted = granted;
    self.cuts += granted ? 1 : 0;
    self.ungranted_since = now;
    self.output.events.emplace_back(granted ? "this host has its grant again"
                                            : "this host has lost its grant: too few monitors "
                                              "are proven to hear it");
}

void note_trouble(membership& self, millis now)
{
    const auto is_lost = [](const auto& entry)
    {
        return entry.second.suspected || entry.second.state == host_state::gone;
    };
    const bool lost = std::any_of(self.others.begin(), self.others.end(), is_lost);
    const bool ungranted = !self.granted && self.state != host_state::joining;
    if (lost || ungranted)
    {
        self.last_trouble = now;
    }
}

void take_suspicions(membership& self, host_id sender, const heartbeat& beat, millis now)
{
    for (const suspicion& voiced : beat.suspicions)
    {
        const auto found = self.others.find(voiced.host);
        if (found == self.others.end())
        {
            continue;
        }
        auto& voices = found->second.voices;
        std::erase_if(voices, [sender](const auto& voice) { return voice.monitor == sender; });
        voices.push_back(voiced_suspicion{sender, voiced.incarnation, now});
    }
}

void take_echo(membership& self, member& other, std::uint32_t echo)
{
    const sent_heartbeat& sent = self.sent[echo % self.sent.size()];
    if (echo != 0 && sent.sequence == echo)
    {
        other.proven = std::max(other.proven, sent.sent);
    }
}

} // namespace

void start_membership(membership& self, const host_info& info, millis now)
{
    self.self = info;
    self.state = host_state::joining;
    self.state_since = now;
    self.next_heartbeat = now;
    self.ungranted_since = now;
    note_change(self);
}

void learn_host(membership& self, const told_host& told, millis now)
{
    if (told.info.id == self.self.id)
    {
        const bool out = told.state == host_state::gone || told.state == host_state::left;
        const bool newer = told.info.incarnation > self.self.incarnation;
        const bool same = told.info.incarnation == self.self.incarnation;
        if (self.state != host_state::left && (newer || (same && out)))
        {
            rejoin(self, told.info.incarnation, now);
        }
        return;
    }
    auto [found, added] = self.others.try_emplace(told.info.id);
    member& known = found->second;
    if (added)
    {
        known.info = told.info;
        // Only its own heartbeat or the monitors' word makes a host more than a name.
        const bool listed_out = told.state == host_state::gone || told.state == host_state::left;
        known.state = listed_out ? told.state : host_state::unheard;
        known.state_since = now;
        note_change(self);
    }
    if (!is_news(known, told))
    {
        return;
    }
    known.info = told.info;
    known.heard = is_present(told.state) ? now : known.heard;
    set_state(self, known, told.state, now, "told by another host");
    tell_change(self);
}

void take_heartbeat(membership& self, host_id sender, const heartbeat& beat, millis now)
{
    const auto found = self.others.find(sender);
    if (found == self.others.end())
    {
        return;
    }
    member& other = found->second;
    const bool outdated = beat.incarnation < other.info.incarnation;
    const bool same = beat.incarnation == other.info.incarnation;
    const bool counted_out = same && other.state > host_state::leaving;
    if (outdated || counted_out)
    {
        if (now - other.list_sent >= list_interval)
        {
            other.list_sent = now;
            self.output.full_lists.push_back(sender);
        }
        return;
    }
    if (!same)
    {
        other.sequence_heard = 0;
        other.info.incarnation = beat.incarnation;
    }
    if (!same || beat.state > other.state)
    {
        set_state(self, other, beat.state, now, "by its own word");
        if (beat.state == host_state::left || beat.state == host_state::leaving)
        {
            tell_change(self);
        }
    }
    other.heard = now;
    // Sequence numbers may wrap around; the difference tells which one is newer.
    if (static_cast<std::int32_t>(beat.sequence - other.sequence_heard) > 0)
    {
        other.sequence_heard = beat.sequence;
    }
    other.settled_view = beat.settled_view;
    take_echo(self, other, beat.echo);
    compute_grant_end(self);
    take_suspicions(self, sender, beat, now);
    const bool differs = beat.hosts_digest != self.hosts_digest;
    if (differs && now - other.list_sent >= list_interval)
    {
        other.list_sent = now;
        self.output.recent_lists.push_back(sender);
    }
}

void tick_membership(membership& self, millis now)
{
    finish_joining(self, now);
    forget_old(self, now);
    bool news = false;
    const std::vector<host_id> watched = watched_hosts(self);
    for (auto& [id, other] : self.others)
    {
        remove_stale_voices(other, now);
        const bool is_watched = std::find(watched.begin(), watched.end(), id) != watched.end();
        news = update_suspicion(self, other, is_watched, now) || news;
    }
    for (auto& [id, other] : self.others)
    {
        if (other.suspected || !other.voices.empty())
        {
            count_out_if_agreed(self, id, other, now);
        }
    }
    update_grant(self, now);
    note_trouble(self, now);
    if (news || now >= self.next_heartbeat)
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
    set_own_state(self, host_state::leaving, now, "by plan");
    send_heartbeats(self, now);
    tell_change(self);
}

void say_left(membership& self, millis now)
{
    set_own_state(self, host_state::left, now, "it stops");
    send_heartbeats(self, now);
}

std::vector<host_id> monitors_of(const membership& self, host_id watched)
{
    // The monitored host is in the ring but for one that is not present.
    const bool small = self.ring.size() <= full_mesh_others + 1;
    return next_in_ring(self, watched, small ? full_mesh_others : sampled_monitors);
}

bool has_grant(const membership& self, millis now)
{
    return now <= self.grant_until;
}

bool is_cut_off(const membership& self, millis now)
{
    return !self.granted && now - self.ungranted_since > cut_off_after;
}

bool can_keep(const membership& self, host_id host, millis now)
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
    return !other.suspected || now - other.suspected_since <= cut_off_after;
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
    return !found->second.suspected || now - found->second.suspected_since <= cut_off_after;
}

std::vector<host_id> heartbeat_partners(const membership& self)
{
    std::vector<host_id> partners = monitors_of(self, self.self.id);
    for (const host_id watched : watched_hosts(self))
    {
        if (std::find(partners.begin(), partners.end(), watched) == partners.end())
        {
            partners.push_back(watched);
        }
    }
    for (const auto& [id, other] : self.others)
    {
        // A host that was counted out is still spoken to now and then, so that both sides of a cut
        // find each other again.
        const bool lost = other.state == host_state::gone && self.sequence % lost_interval == 0;
        const bool silent = other.state == host_state::unheard || lost;
        if (silent && watches(self, id))
        {
            partners.push_back(id);
        }
    }
    return partners;
}

heartbeat make_heartbeat(const membership& self, host_id receiver)
{
    heartbeat beat;
    beat.incarnation = self.self.incarnation;
    beat.state = self.state;
    beat.sequence = self.sequence;
    const auto found = self.others.find(receiver);
    beat.echo = found == self.others.end() ? 0 : found->second.sequence_heard;
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
    list.hosts.push_back(told_host{self.self, self.state});
    for (const auto& [id, other] : self.others)
    {
        const bool recent = now - other.state_since <= recent_span;
        if (other.state != host_state::unheard && (recent || !only_recent))
        {
            list.hosts.push_back(told_host{other.info, other.state});
        }
    }
    return list;
}

} // namespace briarbarrow

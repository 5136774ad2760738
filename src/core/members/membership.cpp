#include "core/members/membership.hpp"

#include <algorithm>

#include "core/members/monitors.hpp"

namespace briarbarrow
{

namespace
{

// A change is told on for this long.
constexpr millis recent_span{10'000};
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
bool is_news(const member& known, const reported_host& told)
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

void learn_host(membership& self, const reported_host& told, millis now)
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
    other.synced_view = beat.synced_view;
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
    list.hosts.push_back(reported_host{self.self, self.state});
    for (const auto& [id, other] : self.others)
    {
        const bool recent = now - other.state_since <= recent_span;
        if (other.state != host_state::unheard && (recent || !only_recent))
        {
            list.hosts.push_back(reported_host{other.info, other.state});
        }
    }
    return list;
}

} // namespace briarbarrow

// Which hosts of the spray domain are there, without a consensus group.
//
// Every host is watched by a few others, its *monitors*: all others in a small domain, in a large
// one the three that follow it in the order of identifiers, so that the cost for a host does not
// grow with the domain. A host and its monitors exchange heartbeats; each heartbeat echoes the
// newest sequence number received, so that the sender learns how long ago it was surely heard.
//
// A monitor that has heard nothing for `suspect_after`, or was not heard for `deaf_after`, says so
// in its heartbeats. A host is
// counted out (`gone`) once a majority of its monitors suspects it, never by one alone.
//
// A host holds a *grant* while enough of its monitors were proven to hear it within the last
// `grant_span`, so many that the others are no majority. Since grant_span is shorter than
// suspect_after, a host loses its grant before it can be counted out: a host that was paused or
// cut off knows, before it does anything else, that others may have taken its place.
//
// There is no grant either while half of the known hosts or more are counted out: this may then be
// the smaller part of a split domain. Hosts that were counted out are forgotten after
// `forget_after`, but never by a part without a grant.
//
// A host that finds itself counted out takes a higher incarnation and joins again.
//
// When no verdict is possible because too many monitors are out of reach, a silent host stays
// `suspected`; after `cut_off_after` the views leave it out all the same, and each part of a split
// domain serves on by itself, without grants.
//
// Invariants: grant_span < suspect_after; a state is only replaced by one of a higher
// incarnation or, within one incarnation, by a later one of the order of host_state.
#ifndef BRIARBARROW_CORE_MEMBERS_MEMBERSHIP_HPP
#define BRIARBARROW_CORE_MEMBERS_MEMBERSHIP_HPP

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/members/host.hpp"
#include "wire/messages.hpp"

namespace briarbarrow
{

constexpr millis heartbeat_interval{150};
constexpr millis suspect_after{500};
constexpr millis grant_span{450};
// A host whose heartbeats come but which has not heard ours for this long is as good as silent.
constexpr millis deaf_after{1'000};
constexpr millis join_after{1'500};
constexpr millis join_alone_after{3'000};
constexpr millis cut_off_after{3'000};
constexpr millis forget_after{60'000};
// A suspicion that is not repeated counts for this long.
constexpr millis suspicion_span{500};

static_assert(grant_span < suspect_after);

// A suspicion that a monitor has voiced, and when it was last heard.
struct voiced_suspicion
{
    host_id monitor = host_id::none;
    std::uint64_t incarnation = 0;
    millis heard;
};

// Another host as this one sees it.
struct member
{
    host_info info;
    host_state state = host_state::unheard;
    millis state_since;
    // When its newest heartbeat arrived.
    millis heard{-1'000'000};
    // When the newest of our heartbeats that it has echoed was sent.
    millis proven{-1'000'000};
    std::uint32_t sequence_heard = 0;
    // The view for which it last said that all its records are with both keepers.
    std::uint32_t synced_view = 0;
    bool suspected = false;
    millis suspected_since;
    millis list_sent{-1'000'000};
    std::vector<voiced_suspicion> voices;
};

// A heartbeat that we sent, to turn an echo into a time.
struct sent_heartbeat
{
    std::uint32_t sequence = 0;
    millis sent;
};

// What membership wants done. Filled by the functions below, emptied by the caller.
struct membership_output
{
    std::vector<host_id> heartbeats;
    // Hosts that are to be sent our list of hosts, only what changed lately or all of it.
    std::vector<host_id> recent_lists;
    std::vector<host_id> full_lists;
    // Changes of state, for the log and the host's story.
    std::vector<std::string> events;
};

// This host's view of all hosts.
struct membership
{
    host_info self;
    host_state state = host_state::joining;
    millis state_since;
    std::map<host_id, member> others;
    std::uint32_t sequence = 0;
    std::array<sent_heartbeat, 16> sent{};
    millis next_heartbeat;
    millis ungranted_since;
    // The grant holds up to and including this time.
    millis grant_until{-1};
    bool granted = true;
    // How often the grant came back. Choices made during an earlier cut are no good in a later one.
    std::uint8_t cuts = 0;
    // Grows whenever the set of hosts that can be keepers may have changed.
    std::uint64_t changes = 0;
    // Digest of all hosts' incarnations and states.
    std::uint32_t hosts_digest = 0;
    // Present hosts, this one included, by identifier.
    std::vector<host_id> ring;
    // When a host was last found to be out of reach, or this one without a grant.
    millis last_trouble{-1'000'000};
    membership_output output;
};

// Begins as a joining host.
void start_membership(membership& self, const host_info& info, millis now);

// Takes note of a host that the platform, the settings or another host has named.
void learn_host(membership& self, const reported_host& told, millis now);

// Takes a heartbeat from a known host.
void take_heartbeat(membership& self, host_id sender, const heartbeat& beat, millis now);

// Moves time on: sends heartbeats, suspects, counts out, forgets.
void tick_membership(membership& self, millis now);

// Begins to leave by plan. Leaving can't be undone within one incarnation.
void begin_leaving(membership& self, millis now);

// Says to all that this host stops now.
void say_left(membership& self, millis now);

// The hosts that watch a host, by this host's knowledge.
std::vector<host_id> monitors_of(const membership& self, host_id watched);

// True while this host is proven to be heard by enough of its monitors, as of now.
bool has_grant(const membership& self, millis now);

// True when this host has been without a grant for so long that it serves on by itself.
bool is_cut_off(const membership& self, millis now);

// True when a host may be a keeper by this host's knowledge.
bool can_keep(const membership& self, host_id host, millis now);

// True when packets can be sent to a host with some hope.
bool is_reachable(const membership& self, host_id host, millis now);

// Hosts that heartbeats go to and come from: those that watch this one and those it watches.
std::vector<host_id> heartbeat_partners(const membership& self);

// The heartbeat to send to a host now, without the fields that are not membership's.
heartbeat make_heartbeat(const membership& self, host_id receiver);

// All hosts, or only those whose state changed lately, this host included.
host_list make_host_list(const membership& self, bool only_recent, millis now);

} // namespace briarbarrow

#endif

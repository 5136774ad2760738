// Membership of the spray domain: failure detection by heartbeats, without a consensus group.
//
// Every host has a few *monitors* among the other hosts: all of them in a small domain; in a large
// one the three that follow it in the order of identifiers, so that the cost for a host does not
// grow with the domain. A host and its monitors exchange heartbeats. Each heartbeat echoes the
// newest sequence number received, which tells the sender how recently it was received for certain.
//
// A monitor that has received nothing from a host for `heartbeat_timeout`, or no echo of its own
// heartbeats for `echo_timeout`, suspects the host and says so in its heartbeats. A host is
// declared `gone` once a majority of its monitors suspects it, never by one monitor alone.
//
// A host holds a *quorum lease* while so many of its monitors are known to have received it within
// the last `quorum_lease_duration` that the others are no majority. That duration is shorter than
// heartbeat_timeout, so a host loses its lease before it can be declared gone: a host that was
// paused or partitioned knows, before it does anything else, that others may have taken over.
//
// A host also has no lease while half of the known hosts or more are gone, since its side may then
// be the minority of a partitioned domain. Absent hosts are forgotten after
// `absent_host_retention`, but a side without a lease never forgets hosts that were declared gone.
//
// A host that learns that it was declared gone takes a higher incarnation and joins again.
//
// When too many monitors are unreachable for a majority, an unresponsive host stays `suspected`.
// After `isolation_timeout` the views leave it out all the same, and each side of a partitioned
// domain goes on serving by itself, without leases.
//
// Invariants: quorum_lease_duration < heartbeat_timeout; a state is only replaced by one of a
// higher incarnation or, within one incarnation, by one that is later in host_state.
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
// A host is suspected when no heartbeat from it has arrived for this long.
constexpr millis heartbeat_timeout{500};
constexpr millis quorum_lease_duration{450};
// A host is also suspected when its heartbeats arrive but have not echoed a recent one of ours for
// this long: the link works in one direction only.
constexpr millis echo_timeout{1'000};
// A joining host becomes live after join_delay, or only after lone_join_delay while it knows other
// hosts but receives none of them or has no quorum lease.
constexpr millis join_delay{1'500};
constexpr millis lone_join_delay{3'000};
// A host without a quorum lease serves by itself, and views leave out a suspected host, after this.
constexpr millis isolation_timeout{3'000};
// Hosts that are gone or have left are remembered for this long.
constexpr millis absent_host_retention{60'000};
// A received suspicion counts for this long unless it is repeated.
constexpr millis suspicion_lifetime{500};

static_assert(quorum_lease_duration < heartbeat_timeout);

// A monitor's suspicion of a host, as received in the monitor's latest heartbeat.
struct received_suspicion
{
    host_id monitor = host_id::none;
    std::uint64_t incarnation = 0;
    millis last_received;
};

// This host's knowledge of another host.
struct member
{
    host_info info;
    host_state state = host_state::unheard;
    millis state_since;
    // When its latest heartbeat was received.
    millis last_received{-1'000'000};
    // When the newest of our heartbeats that it has echoed was sent: it received us after that.
    millis echoed_send_time{-1'000'000};
    // The newest sequence number received from it, which our heartbeats to it echo.
    std::uint32_t received_sequence = 0;
    // Digest of the view for which it last reported that both owners have all of its records.
    std::uint32_t synced_view = 0;
    // True while this host, as one of its monitors, suspects it.
    bool suspected = false;
    millis suspected_since;
    millis last_list_sent{-1'000'000};
    std::vector<received_suspicion> received_suspicions;
};

// Sequence number and send time of a heartbeat of ours, to turn an echo into a time.
struct sent_heartbeat
{
    std::uint32_t sequence = 0;
    millis sent;
};

// Messages that the caller of the functions below has to send, and events to report. The caller
// empties it.
struct membership_output
{
    // Hosts to send a heartbeat to.
    std::vector<host_id> heartbeat_targets;
    // Hosts to send our host list to: only recent changes, or all of it.
    std::vector<host_id> recent_list_targets;
    std::vector<host_id> full_list_targets;
    // State changes, for the log and the event trace.
    std::vector<std::string> events;
};

// This host's own state and its knowledge of all other hosts.
struct membership
{
    host_info self;
    host_state state = host_state::joining;
    millis state_since;
    std::map<host_id, member> others;
    // Sequence number of our newest heartbeat.
    std::uint32_t sequence = 0;
    // Our latest heartbeats, by sequence number modulo the size.
    std::array<sent_heartbeat, 16> sent{};
    millis next_heartbeat;
    // When the quorum lease was last lost or regained, or when this host started.
    millis lease_changed_at;
    // The quorum lease holds up to and including this time.
    millis lease_until{-1};
    // True if the host held the quorum lease at the latest update.
    bool has_lease = true;
    // Grows each time that the lease is regained. A choice made without a lease is valid only in
    // the epoch in which it was made.
    std::uint8_t lease_epoch = 0;
    // Grows whenever the set of hosts that can be record owners may have changed.
    std::uint64_t changes = 0;
    // Digest of the incarnations and states of all hosts, to notice that two hosts' lists differ.
    std::uint32_t hosts_digest = 0;
    // Identifiers of the present hosts in rising order, this one included.
    std::vector<host_id> ring;
    // The last time at which a host was suspected or gone, or this host had no quorum lease.
    millis last_degraded{-1'000'000};
    membership_output output;
};

// Starts this host as a joining one.
void start_membership(membership& self, const host_info& info, millis now);

// Merges the state of a host as reported by the platform, the settings or another host. Joins again
// with a higher incarnation if the report says that this host itself is gone or has left, or has a
// newer incarnation.
void apply_reported_host(membership& self, const reported_host& report, millis now);

// Updates a host from its heartbeat. A heartbeat of an unknown host, of an old incarnation or of a
// host that was declared gone does not count; the latter two get our full host list in reply.
void handle_heartbeat(membership& self, host_id sender, const heartbeat& beat, millis now);

// Does the periodic work: heartbeats, suspicions, declaring hosts gone, the lease, forgetting.
void tick_membership(membership& self, millis now);

// Starts a planned shutdown, which can't be undone within one incarnation.
void begin_leaving(membership& self, millis now);

// Announces that this host stops now.
void announce_stop(membership& self, millis now);

// The monitors of a host, as far as this host knows.
std::vector<host_id> monitors_of(const membership& self, host_id monitored);

// True while this host holds a quorum lease.
bool has_quorum_lease(const membership& self, millis now);

// True when this host has been without a quorum lease for so long that it serves by itself.
bool is_isolated(const membership& self, millis now);

// True when a host may be a record owner, as far as this host knows.
bool can_be_owner(const membership& self, host_id host, millis now);

// True for a present host that has not been suspected for longer than isolation_timeout, so packets
// sent to it may arrive.
bool is_reachable(const membership& self, host_id host, millis now);

// The hosts to send heartbeats to: the monitors of this host and the hosts that it monitors.
std::vector<host_id> heartbeat_peers(const membership& self);

// The heartbeat to send to a host now. The caller fills in the configuration revision and digest
// and the synced view.
heartbeat make_heartbeat(const membership& self, host_id receiver);

// The list of all hosts, or of those whose state changed recently; always includes this host.
host_list make_host_list(const membership& self, bool only_recent, millis now);

} // namespace briarbarrow

#endif

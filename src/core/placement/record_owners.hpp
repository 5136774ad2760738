// Selection of the hosts that own the flow records of a service, and the history of host views.
//
// Every service has two record owners among the hosts of the spray domain: a *primary*, which
// handles all opening packets and chooses the backend server, and a *standby*, in another
// availability zone where there is one. Each host computes both from the service's name and the set
// of hosts by rendezvous hashing. Hence no messages are needed to agree on them, and a host that
// joins or leaves moves only the services that it owns.
//
// Hosts that were declared gone recently still take part in the ranking and are then skipped. As a
// result the standby becomes the primary when the primary dies.
//
// Hosts learn of a membership change at different times. For `view_overlap_window` after a change,
// an opening packet therefore also visits the owners of the earlier views. Any two hosts whose
// views are one change apart then have an owner in common, and a record found there takes
// precedence over a new choice. Views stay in the history for longer than that, to find the hosts
// to search for a flow that the current owners do not know.
#ifndef BRIARBARROW_CORE_PLACEMENT_RECORD_OWNERS_HPP
#define BRIARBARROW_CORE_PLACEMENT_RECORD_OWNERS_HPP

#include <cstdint>
#include <deque>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/members/membership.hpp"

namespace briarbarrow
{

// How long opening packets still visit the owners of a superseded view.
constexpr millis view_overlap_window{3'000};

// Maximum length of the view history, the newest view included.
constexpr std::size_t max_views = 8;

// A host as it was when the view was made.
struct view_host
{
    host_id id = host_id::none;
    std::uint64_t zone = 0;
    std::uint64_t incarnation = 0;
    // False for a host that can't be an owner, such as one that was declared gone recently: it is
    // ranked, then skipped.
    bool eligible = false;

    friend bool operator==(const view_host&, const view_host&) = default;
};

// The set of hosts between two membership changes, as seen by this host.
struct view
{
    std::uint64_t number = 0;
    // When the next view replaced this one; unset for the newest view.
    millis superseded_at;
    // When this view became the newest one.
    millis since;
    std::uint32_t digest = 0;
    std::size_t eligible_count = 0;
    // True once every record of all hosts was at both of its owners in this view.
    bool synced = false;
    std::vector<view_host> hosts;
};

// The two record owners of a service. `standby` is none in a domain of one host; both are none when
// no host is eligible.
struct owner_pair
{
    host_id primary = host_id::none;
    host_id standby = host_id::none;

    friend bool operator==(const owner_pair&, const owner_pair&) = default;
};

// The most recent views, newest first. Never empty after the first update.
struct view_history
{
    std::deque<view> views;
    std::uint64_t next_number = 1;
    // The value of membership::changes that the newest view takes into account.
    std::uint64_t seen_changes = 0;
    millis next_check;
};

// Adds a view if the membership has changed since the newest one. Returns true when it did.
bool update_views(view_history& history, const membership& hosts, millis now);

// The record owners of a service in a view.
owner_pair owners_in(const view& hosts, service_id service);

// The other owner of the pair that `self` belongs to; none when it does not belong to the pair.
host_id other_owner(const owner_pair& pair, host_id self);

// True when `self` is the primary or the standby of the pair.
bool is_owner(const owner_pair& pair, host_id self);

} // namespace briarbarrow

#endif

// Which hosts keep the flow records of a service.
//
// Every service has two keepers among the hosts of the spray domain: a *primary*, which sees all
// opening packets and picks the backend server, and a *standby* in another availability zone where
// there is one. Both follow from the service's name and the set of hosts by rendezvous hashing, so
// that nobody has to be told, and a host that joins or leaves moves only the services it keeps.
//
// Hosts that were counted out lately still take part in the ranking and are then passed over.
// Thereby the standby follows the primary when the primary dies.
//
// Hosts learn of a change at different times. A packet that opens a flow therefore visits, for
// `overlap_span` after a change, the keepers of the views before it too; any two hosts whose views
// are one change apart then have a keeper in common, and a record found there goes before a new
// choice. Views stay in the history longer, to know whom to ask for a flow that nobody knows.
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

// How long the keepers of a superseded view are still visited by opening packets.
constexpr millis view_overlap_window{3'000};

// Most views that are remembered.
constexpr std::size_t max_views = 8;

// A host in a view.
struct view_host
{
    host_id id = host_id::none;
    std::uint64_t zone = 0;
    std::uint64_t incarnation = 0;
    // False for a host that was counted out lately: it is ranked, then passed over.
    bool eligible = false;

    friend bool operator==(const view_host&, const view_host&) = default;
};

// The hosts at one time.
struct view
{
    std::uint64_t number = 0;
    // When the next view took its place; unset for the current one.
    millis superseded_at;
    millis since;
    std::uint32_t digest = 0;
    std::size_t eligible_count = 0;
    // True once all hosts had every record with both keepers of this view.
    bool synced = false;
    std::vector<view_host> hosts;
};

// The two keepers of a service. `standby` is none in a domain of one host, both are none when no
// host can be a keeper.
struct owner_pair
{
    host_id primary = host_id::none;
    host_id standby = host_id::none;

    friend bool operator==(const owner_pair&, const owner_pair&) = default;
};

// Views, newest first. Never empty after the first update.
struct view_history
{
    std::deque<view> views;
    std::uint64_t next_number = 1;
    std::uint64_t seen_changes = 0;
    millis next_check;
};

// Brings the history up to date with the membership. Returns true when there is a new view.
bool update_views(view_history& history, const membership& hosts, millis now);

// The keepers of a service in one view.
owner_pair owners_in(const view& hosts, service_id service);

// The other one of a pair, as seen by a host; none when the host is in neither place.
host_id other_owner(const owner_pair& pair, host_id self);

// True when a host is one of the pair.
bool is_owner(const owner_pair& pair, host_id self);

} // namespace briarbarrow

#endif

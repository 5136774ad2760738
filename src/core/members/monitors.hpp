// Assignment of monitors to hosts, and the quorum lease. For membership's own files only.
#ifndef BRIARBARROW_CORE_MEMBERS_MONITORS_HPP
#define BRIARBARROW_CORE_MEMBERS_MONITORS_HPP

#include "core/members/membership.hpp"

namespace briarbarrow
{

// True for a state in which a host runs: joining, live or leaving.
bool is_present(host_state state);

// The smallest number that is a majority of so many monitors.
std::size_t majority(std::size_t monitors);

// Has to be called after the set of hosts or a host's state changed: recomputes the ring and the
// digest.
void refresh_derived_state(membership& self);

// The hosts that this one monitors: those before it in the ring.
std::vector<host_id> monitored_hosts(const membership& self);

// Computes until when the quorum lease holds: quorum_lease_duration after the send time of the
// echoed heartbeat that completes the quorum.
void compute_lease_end(membership& self);

// Recomputes the lease and records whether it was lost or regained.
void update_lease(membership& self, millis now);

} // namespace briarbarrow

#endif

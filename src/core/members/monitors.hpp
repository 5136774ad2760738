// Who watches whom, and what follows from it: the grant. For membership's own files only.
#ifndef BRIARBARROW_CORE_MEMBERS_MONITORS_HPP
#define BRIARBARROW_CORE_MEMBERS_MONITORS_HPP

#include "core/members/membership.hpp"

namespace briarbarrow
{

// True for a host that is there by what is known.
bool is_present(host_state state);

// How many monitors have to agree.
std::size_t majority(std::size_t monitors);

// Notes that the set of hosts or their states changed: orders the present ones by identifier and
// renews the digest.
void refresh_derived_state(membership& self);

// The hosts that this one watches: those that it follows in the ring.
std::vector<host_id> monitored_hosts(const membership& self);

// Works out until when the grant holds: it ends when the last of the monitors that are needed for
// it was proven too long ago.
void compute_lease_end(membership& self);

// Notes that the grant came or went.
void update_lease(membership& self, millis now);

} // namespace briarbarrow

#endif

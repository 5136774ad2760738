// Estimates the load of all daemons from that of this one.
//
// The load it is made for: a standing overload that tens or hundreds of daemons admit flows to at
// the same time. Each sees only its own flows, and what it hears of the others is seconds old,
// while a request takes some tens of milliseconds. So a daemon doesn't ask how many flows the
// others have, but which share of the new flows is its own: shares change slowly, since the network
// spreads flows by hash. With a share of s, one flow of its own stands for 1 / s flows of the
// fleet. Daemons that refuse by this estimate leave each the same share of its callers waiting,
// whatever zone they are in: one that refuses more sees its callers come back, and its share grows.
//
// A flow keeps the weight that it got at its placement: the daemon that is first after a power loss
// has the flows of the whole fleet, and they must not count many times over once the others return.
#ifndef BRIARBARROW_TAGGED_FLEET_LOAD_HPP
#define BRIARBARROW_TAGGED_FLEET_LOAD_HPP

#include <vector>

#include "tagged/wait_estimate.hpp"

namespace briarbarrow
{

// Another daemon's rate of new flows relative to this one's counts with at most this factor, up or
// down, so that one wrong report doesn't decide.
constexpr double max_relative_rate = 10;

// This daemon's share of all new flows, from the others' rates relative to its own
// (peer_table.hpp).
double compute_fleet_share(const std::vector<double>& relative_rates);

// Expected wait of a new flow behind the flows of all daemons, in milliseconds.
//
// The measured wait of answered requests bounds it: an estimate far above what callers see is
// wrong, for example since the share is that of a fleet that has just been cut in two. The bound
// is loose, since a wait is measured when it is over: a queue that grows is longer than what the
// last answers show.
double estimate_fleet_wait_ms(const service_load& load, const wait_evidence& waits,
                              double uncontended_ms);

} // namespace briarbarrow

#endif

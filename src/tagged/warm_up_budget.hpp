// Limits the requests that a backend server gets while it is cold, for services whose configuration
// sets such a limit.
//
// The load it is made for: a zone's backend servers that return together, each of which bears a few
// requests a second for some seconds, and tens of daemons that would all prefer the idle ones at
// the same moment. Only the feeders of a cold backend server place flows there: the daemons of its
// own zone with the highest rendezvous hash. Each one has an equal share of the limit in any
// sliding second, so the sum holds without messages. A daemon whose list of peers may be incomplete
// is no feeder.
#ifndef BRIARBARROW_TAGGED_WARM_UP_BUDGET_HPP
#define BRIARBARROW_TAGGED_WARM_UP_BUDGET_HPP

#include <cstdint>
#include <vector>

#include "core/clock.hpp"

namespace briarbarrow
{

// Feeders of a cold backend server. With two, one daemon that wrongly takes itself for a feeder
// adds half of the limit, which the users' bound of 1.5 times the limit allows.
constexpr std::size_t feeders_per_backend = 2;
// A daemon that has just started or was paused is no feeder for this long: three gossip rounds, in
// which it hears of the other daemons of its zone.
constexpr millis feeder_settle_time{1'200};

// A service's limit for its cold backend servers.
struct warm_up_limit
{
    // How long a backend server is cold after its start.
    millis duration;
    // Requests per second that it bears while it is cold. Greater than 0.
    double requests_per_s = 0;

    friend bool operator==(const warm_up_limit&, const warm_up_limit&) = default;
};

// The daemons among which feeders are chosen.
struct feeder_view
{
    // Number of this daemon, and of the live daemons of its zone, this one included.
    std::uint64_t self = 0;
    std::vector<std::uint64_t> zone_daemons;
    // This daemon may be a feeder from this time on.
    millis settled_at;
};

// Times of the flows that this daemon has placed on a cold backend server, the oldest first.
using cold_placements = std::vector<millis>;

// True when this daemon is a feeder of the backend server with this tag, in its own zone.
bool is_feeder(const feeder_view& view, std::uint32_t tag, millis now);

// The earliest time at which this daemon may place a further flow; in the past if it may now.
millis next_cold_placement(const cold_placements& placed, const warm_up_limit& limit);

// Records a placement. True when it was the last one for now.
bool record_cold_placement(cold_placements& placed, const warm_up_limit& limit, millis now);

} // namespace briarbarrow

#endif

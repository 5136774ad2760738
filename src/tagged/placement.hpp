// Chooses the backend server of a new flow.
//
// The load it is made for: short requests at about a third of capacity, in every availability zone
// at once, with times at which a zone has lost half of its backend servers or receives half of
// another zone's callers. Each candidate gets a cost in milliseconds, and the lowest one is chosen:
//
//  - the expected wait for a slot, from the flows that this daemon has in flight there;
//  - a fraction of a service time that grows with the occupied slots, since other daemons, whose
//    flows are not visible here, use the same backend server;
//  - by how much its flows are slower than those of its service, from this daemon's flows and from
//    what the daemons have learned together (backend_pace.hpp), and its warm-up;
//  - for another availability zone, the cost of depending on the link between the zones;
//  - for a backend server that is demoted because its requests fail, what a failure costs a caller;
//  - for a suspected backend server, more than any of these, so that it is the last resort.
//
// Equal costs are resolved by rendezvous hashing of the flow, so that daemons with the same view
// do not all send to the same backend server.
#ifndef BRIARBARROW_TAGGED_PLACEMENT_HPP
#define BRIARBARROW_TAGGED_PLACEMENT_HPP

#include <cstdint>
#include <optional>
#include <string_view>

#include "tagged/backend_directory.hpp"
#include "tagged/suspicion.hpp"
#include "tagged/wait_estimate.hpp"

namespace briarbarrow
{

// Weights of the costs. A service time is the smoothed lifetime of the service's flows.
struct placement_weights
{
    // Service time that is assumed for a service until one has been measured. Unit: milliseconds.
    double default_service_ms = 25;
    // Bounds of a service time, so that flows that are kept open for long don't count as long
    // processing. Unit: milliseconds.
    double min_service_ms = 2;
    double max_service_ms = 200;
    // Cost of a backend server whose slots are all occupied, as a fraction of a service time for
    // each daemon of the zone; proportionally less for fewer occupied slots.
    double sharing_factor = 0.15;
    // Cost of one flow more in flight there over the last seconds, likewise. It is small, so that
    // it decides between backend servers that are alike at the moment.
    double steady_load_factor = 0.03;
    // Additional processing time of a backend server in warm-up, as a fraction of a service time.
    double warm_up_factor = 0.6;
    // A backend server counts as slow only if its flows last longer than this many service times;
    // less than that is random variation.
    double slowness_tolerance = 1.4;
    // For another availability zone: four times the round-trip time between zones of one region.
    double cross_zone_cost_ms = 4;
    // For a backend server whose entry may have expired while most of its service's are listed.
    double expired_cost_ms = 300;
    // For a demoted backend server: a caller that retries needs about one objective longer.
    double demoted_cost_ms = 150;
    // For a backend server that does not respond to opening packets.
    double suspected_cost_ms = 1'000;
    // For one in an evacuated zone that is the last resort: between those two.
    double last_resort_cost_ms = 500;
};

// Conditions that hold for at least half of a service's slots and therefore don't distinguish one
// backend server from another.
struct service_conditions
{
    // Their entries disappeared within the last `expiry_grace_period`. A store looks like that when
    // it has just come back: the backend servers are alive and register again one by one, and the
    // first ones must not get the load of all.
    bool is_mass_expiry = false;
    // They are demoted for failed requests; the cause is then the service or the requests.
    bool is_mass_failure = false;
};

// Determines the conditions of a service.
service_conditions assess_service(const backend_directory& directory, service_id service,
                                  millis now);

// A new flow to place.
struct placement_request
{
    service_id service = service_id::none;
    std::string_view own_zone;
    // Hash of the flow.
    std::uint64_t flow = 0;
    // A backend server that did not answer this flow's earlier opening.
    backend_index avoided = no_backend;
    // Smoothed lifetime of the service's flows. Unit: milliseconds; 0 before the first one.
    double service_ms = 0;
    // Status of the zones; backend servers of an unreachable one count as suspected. May be null.
    const zone_status_list* zones = nullptr;
    // Daemons in the own zone, which send to the same backend servers.
    std::size_t zone_daemons = 1;
    // From `assess_service`.
    service_conditions conditions;
    // The service's limit for cold backend servers, and the daemons that feed them. May be null.
    const warm_up_limit* warm_up = nullptr;
    const feeder_view* feeders = nullptr;
    // Set if the flow may probe a slow backend server (backend_pace.hpp).
    const pace_limits* probes = nullptr;
    // An evacuated zone whose backend servers may be used if there are no others; empty for none.
    std::string_view last_resort_zone;
};

// A chosen backend server.
struct placement
{
    backend_index backend = no_backend;
    double cost_ms = 0;
    // Expected wait for a slot behind the open flows of this daemon, without the other costs. Unit:
    // milliseconds.
    double wait_ms = 0;
    bool is_probe = false;
};

// Expected wait for a slot behind the given number of flows. Unit: milliseconds.
double expected_wait_ms(const known_backend& candidate, std::uint32_t flows, double service_ms);

// Sums up the load of the service's responsive backend servers that take new flows without a limit:
// those that are serving or, during a mass expiry, recently unlisted.
service_load compute_service_load(const backend_directory& directory,
                                  const placement_request& request, millis now);

// Why no backend server of a service takes a flow, though some are registered.
enum class placement_obstacle : std::uint8_t
{
    none,
    // The zones of all of them are evacuated.
    evacuated,
    // They are cold, and have as many flows as they bear for now.
    cold
};

// Determines the obstacle to a request that found no backend server.
placement_obstacle find_obstacle(const backend_directory& directory,
                                 const placement_request& request, millis now);

// The earliest time at which a cold backend server of the service takes a flow from this daemon:
// when its budget allows one, or its warm-up ends; no value if none is cold.
std::optional<millis> next_warm_up_time(const backend_directory& directory,
                                        const placement_request& request, millis now);

// True when a backend server is cold and its service limits the flows that it gets.
bool is_limited_by_warm_up(const known_backend& backend, const warm_up_limit* limit, millis now);

// Cost of placing a flow on a candidate; no value if the candidate must not be used.
std::optional<double> cost_ms(const known_backend& candidate, const placement_request& request,
                              const placement_weights& weights, millis now);

// Chooses the backend server of the service with the lowest cost; no value if none can be used.
std::optional<placement> place_flow(const backend_directory& directory,
                                    const placement_request& request,
                                    const placement_weights& weights, millis now);

} // namespace briarbarrow

#endif

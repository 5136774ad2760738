// Which backend server a new flow goes to.
//
// The load pattern it answers: short requests at about a third of capacity, in every availability
// zone at once, with moments at which a zone has lost half of its backend servers or gained half of
// another zone's callers. Each candidate is given a cost in milliseconds, and the lowest one wins:
//
//  - the expected wait for a slot, from the flows that this daemon has open there;
//  - a part of a service time for each flow that is open below the slots, since other daemons,
//    whose flows are not seen here, share the backend server;
//  - how much slower its flows are than those of its service, and its warm-up;
//  - for another availability zone, what it costs to depend on the link between them;
//  - for one that was set aside since its requests fail, what a failure costs its caller;
//  - for a backend server under doubt, more than any of these, so that it is the last resort.
//
// Equals are told apart by the flow's own hash, so that daemons which see the same picture do not
// all send to the same backend server.
#ifndef BRIARBARROW_TAGGED_PLACEMENT_HPP
#define BRIARBARROW_TAGGED_PLACEMENT_HPP

#include <cstdint>
#include <optional>
#include <string_view>

#include "tagged/backend_directory.hpp"
#include "tagged/suspicion.hpp"

namespace briarbarrow
{

// Weights of the costs. A service time is the smoothed life of the service's flows.
struct placement_weights
{
    // Service time taken for a service until one was measured. Unit: milliseconds.
    double default_service_ms = 25;
    // Bounds of a service time, so that flows kept open for long do not pass for long work.
    double min_service_ms = 2;
    double max_service_ms = 200;
    // Part of a service time for each flow below the slots.
    double sharing_factor = 0.15;
    // A backend server in warm-up works this much longer, as a part of a service time.
    double warm_up_factor = 0.6;
    // Flows that live up to this many service times are not slower than others but by chance.
    double slowness_tolerance = 1.4;
    // Another availability zone: four times the round trip between zones of one region.
    double cross_zone_cost_ms = 4;
    // An entry that is not there and may have lapsed, while most of its service's are there.
    double expired_cost_ms = 300;
    // Set aside for its answers: a caller that asks again takes about an objective more.
    double demoted_cost_ms = 150;
    // No answer to openings.
    double suspected_cost_ms = 1'000;
};

// What holds for half of a service's capacity or more, and so says nothing of one backend server.
struct service_conditions
{
    // Entries are gone since `lapse_span` at most. That is how a store looks that has just come
    // back: the backend servers live and list themselves again one by one. Those that are first
    // must not be given the load of all.
    bool is_mass_expiry = false;
    // Set aside for their answers: then it is the service or the requests.
    bool is_mass_failure = false;
};

service_conditions assess_service(const backend_directory& known, service_id service, millis now);

// One who asks for a place.
struct placement_request
{
    service_id service = service_id::none;
    std::string_view own_zone;
    // Hash of the flow.
    std::uint64_t flow = 0;
    // A backend server that did not answer this flow's earlier opening.
    backend_index avoided = no_backend;
    // Smoothed life of the service's flows; 0 when none was measured.
    double service_ms = 0;
    // Zones as a whole; those out of reach count as silent.
    const zone_status_list* zones = nullptr;
    // Daemons in the own zone, which send to the same backend servers.
    std::size_t zone_daemons = 1;
    // What was found of the service as a whole.
    service_conditions conditions;
};

// A chosen backend server.
struct placement
{
    backend_index backend = no_backend;
    double cost_ms = 0;
    // Wait for a slot behind the flows that this daemon knows to be open, without the other costs.
    double wait_ms = 0;
};

// Expected wait for a slot behind so many flows. Unit: milliseconds.
double expected_wait_ms(const known_backend& candidate, std::uint32_t flows, double service_ms);

// Slots and open flows of a service's backend servers that answer and are listed, or have lapsed
// together.
struct service_load
{
    double slots = 0;
    double open_flows = 0;
};

service_load compute_service_load(const backend_directory& known, service_id service,
                                  const service_conditions& conditions, millis now);

// Wait that a new flow of a service finds when other daemons have so many flows open there. Unit:
// milliseconds.
double service_wait_ms(const service_load& load, double peer_open_flows, double uncontended_ms);

// The cost of a candidate; nothing when it must not be used at all.
std::optional<double> cost_ms(const known_backend& candidate, const placement_request& request,
                              const placement_weights& weights, millis now);

// The cheapest backend server of the service; nothing when none can be used.
std::optional<placement> place_flow(const backend_directory& known,
                                    const placement_request& request,
                                    const placement_weights& weights, millis now);

} // namespace briarbarrow

#endif

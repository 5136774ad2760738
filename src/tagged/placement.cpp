#include "tagged/placement.hpp"

#include <algorithm>

namespace briarbarrow
{

namespace
{

double bounded_service_ms(const placement_request& request, const placement_weights& weights)
{
    const double measured =
        request.service_ms > 0 ? request.service_ms : weights.default_service_ms;
    return std::clamp(measured, weights.min_service_ms, weights.max_service_ms);
}

// By how much a backend server's flows outlast those of its service, beyond the tolerance. Unit:
// milliseconds.
double slowness_ms(const known_backend& candidate, double service_ms,
                   const placement_weights& weights)
{
    const double usual_ms = std::max(candidate.evidence.flow_lifetime_ms,
                                     candidate.evidence.slowness_factor * service_ms);
    return std::max(0.0, usual_ms - weights.slowness_tolerance * service_ms);
}

// True for a candidate that is suspected, or in an unreachable zone.
bool is_suspect(const known_backend& candidate, const placement_request& request)
{
    return candidate.evidence.is_suspected ||
           (request.zones != nullptr &&
            is_unreachable(*request.zones, candidate.registration.zone));
}

// True for a candidate that its entry in the store makes available.
bool is_available(const known_backend& candidate, millis now)
{
    switch (candidate.phase)
    {
    case backend_phase::serving:
        return true;
    case backend_phase::unlisted:
        return now < candidate.phase_since + expiry_grace_period;
    case backend_phase::draining:
        return false;
    }
    return false;
}

// False for a candidate that must not get a new flow, whatever the others cost.
bool is_usable(const known_backend& candidate, const placement_request& request, millis now)
{
    const bool is_last_resort =
        candidate.is_evacuated && candidate.registration.zone == request.last_resort_zone;
    return is_available(candidate, now) && (!candidate.is_evacuated || is_last_resort);
}

// True when this daemon may place flows on a cold backend server, which it is a feeder of.
bool is_fed_here(const known_backend& candidate, const placement_request& request, millis now)
{
    return request.feeders != nullptr && candidate.registration.zone == request.own_zone &&
           is_feeder(*request.feeders, candidate.tag, now);
}

// True when the flow should try a slow backend server again, for which this daemon is a prober.
bool is_probe(const known_backend& candidate, const placement_request& request, millis now)
{
    return request.probes != nullptr && candidate.evidence.slowness_factor > 1 &&
           is_probe_due(candidate.evidence.pace, *request.probes, now) &&
           is_fed_here(candidate, request, now) && !is_suspect(candidate, request) &&
           !candidate.evidence.answers.is_demoted;
}

// True when a cold backend server takes no flow from this daemon now.
bool is_budget_spent(const known_backend& candidate, const placement_request& request, millis now)
{
    if (!is_limited_by_warm_up(candidate, request.warm_up, now))
    {
        return false;
    }
    return !is_fed_here(candidate, request, now) ||
           now < next_cold_placement(candidate.cold_placed, *request.warm_up);
}

} // namespace

double expected_wait_ms(const known_backend& candidate, std::uint32_t flows, double service_ms)
{
    const double slots = std::max<std::uint32_t>(1, candidate.registration.slots);
    const double backend_service_ms = std::max({service_ms, candidate.evidence.flow_lifetime_ms,
                                                candidate.evidence.slowness_factor * service_ms});
    const double ahead = flows + 1.0 - slots;
    return std::max(0.0, ahead) * backend_service_ms / slots;
}

service_conditions assess_service(const backend_directory& directory, service_id service,
                                  millis now)
{
    std::uint32_t all = 0;
    std::uint32_t expired = 0;
    std::uint32_t demoted = 0;
    for (const backend_index index : backends_of(directory, service))
    {
        const known_backend& backend = directory.entries[index];
        if (is_available(backend, now) && !backend.is_evacuated)
        {
            const std::uint32_t slots = backend.registration.slots;
            all += slots;
            expired += backend.phase == backend_phase::unlisted ? slots : 0;
            demoted += backend.evidence.answers.is_demoted ? slots : 0;
        }
    }
    return service_conditions{expired > 0 && expired * 2 >= all, demoted > 0 && demoted * 2 >= all};
}

service_load compute_service_load(const backend_directory& directory,
                                  const placement_request& request, millis now)
{
    service_load load;
    for (const backend_index index : backends_of(directory, request.service))
    {
        const known_backend& backend = directory.entries[index];
        const bool is_counted =
            backend.phase == backend_phase::serving || request.conditions.is_mass_expiry;
        if (is_counted && is_usable(backend, request, now) && !backend.evidence.is_suspected &&
            !is_limited_by_warm_up(backend, request.warm_up, now))
        {
            load.slots += backend.registration.slots;
            load.open_flows += backend.evidence.open_flows;
            load.fleet_flows += backend.evidence.fleet_flows;
        }
    }
    return load;
}

bool is_limited_by_warm_up(const known_backend& backend, const warm_up_limit* limit, millis now)
{
    return limit != nullptr && now < backend.warm_until;
}

placement_obstacle find_obstacle(const backend_directory& directory,
                                 const placement_request& request, millis now)
{
    placement_obstacle obstacle = placement_obstacle::none;
    for (const backend_index index : backends_of(directory, request.service))
    {
        const known_backend& backend = directory.entries[index];
        if (is_usable(backend, request, now))
        {
            return is_budget_spent(backend, request, now) ? placement_obstacle::cold
                                                          : placement_obstacle::none;
        }
        if (backend.is_evacuated && backend.phase == backend_phase::serving)
        {
            obstacle = placement_obstacle::evacuated;
        }
    }
    return obstacle;
}

std::optional<millis> next_warm_up_time(const backend_directory& directory,
                                        const placement_request& request, millis now)
{
    std::optional<millis> earliest;
    for (const backend_index index : backends_of(directory, request.service))
    {
        const known_backend& backend = directory.entries[index];
        if (!is_usable(backend, request, now) ||
            !is_limited_by_warm_up(backend, request.warm_up, now))
        {
            continue;
        }
        const millis budget_free = is_fed_here(backend, request, now)
                                       ? next_cold_placement(backend.cold_placed, *request.warm_up)
                                       : backend.warm_until;
        const millis free_at = std::min(budget_free, backend.warm_until);
        earliest = earliest ? std::min(*earliest, free_at) : free_at;
    }
    return earliest;
}

std::optional<double> cost_ms(const known_backend& candidate, const placement_request& request,
                              const placement_weights& weights, millis now)
{
    if (!is_usable(candidate, request, now) || is_budget_spent(candidate, request, now))
    {
        return std::nullopt;
    }
    const double service_ms = bounded_service_ms(request, weights);
    const double slots = std::max<std::uint32_t>(1, candidate.registration.slots);
    const double below_slots = std::min<double>(candidate.evidence.in_flight, slots);
    double cost = expected_wait_ms(candidate, candidate.evidence.in_flight, service_ms);
    cost += weights.sharing_factor * service_ms * static_cast<double>(request.zone_daemons) *
            below_slots / slots;
    cost += weights.steady_load_factor * service_ms * static_cast<double>(request.zone_daemons) *
            candidate.evidence.smoothed_in_flight / slots;
    cost += slowness_ms(candidate, service_ms, weights);
    cost += now < candidate.warm_until ? weights.warm_up_factor * service_ms : 0;
    cost += candidate.registration.zone == request.own_zone ? 0 : weights.cross_zone_cost_ms;
    const bool has_expired =
        candidate.phase == backend_phase::unlisted && !request.conditions.is_mass_expiry;
    cost += has_expired ? weights.expired_cost_ms : 0;
    const bool is_demoted =
        candidate.evidence.answers.is_demoted && !request.conditions.is_mass_failure;
    cost += is_demoted ? weights.demoted_cost_ms : 0;
    cost += is_suspect(candidate, request) ? weights.suspected_cost_ms : 0;
    cost += candidate.is_evacuated ? weights.last_resort_cost_ms : 0;
    return cost;
}

std::optional<placement> place_flow(const backend_directory& directory,
                                    const placement_request& request,
                                    const placement_weights& weights, millis now)
{
    std::optional<placement> best;
    std::uint64_t best_tie = 0;
    for (const backend_index index : backends_of(directory, request.service))
    {
        const known_backend& candidate = directory.entries[index];
        // A backend server that doesn't own its tag can't be addressed by later packets.
        const std::optional<backend_index> owner =
            find_by_tag(directory, candidate.service, candidate.tag);
        const std::optional<double> cost = cost_ms(candidate, request, weights, now);
        if (!cost || owner != index)
        {
            continue;
        }
        const bool probes = index != request.avoided && is_probe(candidate, request, now);
        const double regular_cost =
            *cost + (index == request.avoided ? weights.suspected_cost_ms : 0);
        const double total_cost = probes ? 0 : regular_cost;
        const std::uint64_t tie = mix(request.flow, candidate.tag);
        if (!best || total_cost < best->cost_ms || (total_cost == best->cost_ms && tie > best_tie))
        {
            const double wait = expected_wait_ms(candidate, candidate.evidence.open_flows,
                                                 bounded_service_ms(request, weights));
            best = placement{index, total_cost, probes ? 0 : wait, probes};
            best_tie = tie;
        }
    }
    return best;
}

} // namespace briarbarrow

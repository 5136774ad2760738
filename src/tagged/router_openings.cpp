// The part of the router that handles opening packets: it places new flows, or defers or refuses
// them.
#include <algorithm>
#include <cmath>
#include <optional>

#include "tagged/router_parts.hpp"

namespace briarbarrow
{

namespace
{

// True when a service has backend servers in other zones, and none of those zones is in reach.
bool is_cut_off(const router_state& state, service_id service)
{
    bool has_others = false;
    for (const backend_index index : backends_of(state.backends, service))
    {
        const known_backend& backend = state.backends.entries[index];
        if (backend.registration.zone != state.settings.own_zone)
        {
            has_others = true;
            if (!is_unreachable(state.zones, backend.registration.zone))
            {
                return false;
            }
        }
    }
    return has_others;
}

// The own zone, if it is evacuated, no other zone is in reach, and it isn't known any more whether
// the order still holds: a zone that is cut off serves what it can. Empty otherwise.
std::string_view find_last_resort_zone(const router_state& state, service_id service, millis now)
{
    const std::string& own_zone = state.settings.own_zone;
    const bool is_last_resort = !has_fresh_lists(state, now) &&
                                is_evacuated(state.backends.evacuated, own_zone) &&
                                is_cut_off(state, service);
    return is_last_resort ? std::string_view(own_zone) : std::string_view();
}

// Counts a placement on a cold backend server whose service limits them.
void observe_cold_placement(router_state& state, backend_index index, millis now)
{
    known_backend& backend = state.backends.entries[index];
    const warm_up_limit* limit = find_warm_up_limit(state.routes, backend.service);
    if (!is_limited_by_warm_up(backend, limit, now))
    {
        return;
    }
    ++state.cold_placements_total;
    if (record_cold_placement(backend.cold_placed, *limit, now))
    {
        state.state_changes.push_back(
            {state_change_kind::warm_up_budget_spent,
             index,
             {},
             "placed=" + std::to_string(backend.cold_placed.size()) +
                 " warm_in_ms=" + std::to_string((backend.warm_until - now).count)});
    }
}

placement_request make_placement_request(const router_state& state, const known_route& known,
                                         const flow_key& key, backend_index avoided, millis now)
{
    placement_request request;
    request.service = pick_service(known.current, key.high);
    request.own_zone = state.settings.own_zone;
    request.flow = key.low;
    request.avoided = avoided;
    request.service_ms = service_time(state, request.service);
    request.zones = &state.zones;
    request.zone_daemons = state.zone_daemons;
    request.conditions = assess_service(state.backends, request.service, now);
    request.warm_up = find_warm_up_limit(state.routes, request.service);
    request.feeders = &state.feeders;
    // A probe may be late, so it is a request that may be repeated.
    request.probes = state.settings.learns_pace && known.current.kind != request_kind::at_most_once
                         ? &state.settings.pace
                         : nullptr;
    request.last_resort_zone = find_last_resort_zone(state, request.service, now);
    return request;
}

// Time until a caller sends an opening packet again; no value if it won't. Unit: milliseconds.
std::optional<double> time_to_retransmission(const tagged_packet& packet)
{
    return packet.retransmissions < opening_retransmission_ms.size()
               ? std::optional<double>(opening_retransmission_ms[packet.retransmissions])
               : std::nullopt;
}

// The part of the time between two transmissions of an opening packet that a backend server has for
// its answer.
millis answer_reserve(router_state& state, backend_index backend, std::uint32_t interval_ms)
{
    const std::string& zone = state.backends.entries[backend].registration.zone;
    return std::min(answer_timeout_for(state.zones, zone, state.settings.suspicion),
                    millis{interval_ms / 2});
}

// True when the caller may send the next copy of an opening packet before a backend server has
// answered this one. That copy may go through another daemon and to another backend server.
bool is_overtaken(router_state& state, const tagged_packet& packet, backend_index backend)
{
    if (packet.retransmissions >= opening_retransmission_ms.size())
    {
        return false;
    }
    const std::uint32_t interval_ms = opening_retransmission_ms[packet.retransmissions];
    return packet.waited + answer_reserve(state, backend, interval_ms) > millis{interval_ms};
}

// True when a backend server has had the time to answer the copy of an opening packet before this
// one. The network may deliver both together.
bool had_time_to_answer(router_state& state, const remembered_flow& flow,
                        const tagged_packet& packet, millis now)
{
    const std::size_t previous = std::min<std::size_t>(std::max(packet.retransmissions, 1U) - 1,
                                                       opening_retransmission_ms.size() - 1);
    return now >= flow.last_packet +
                      answer_reserve(state, flow.backend, opening_retransmission_ms[previous]);
}

// Forwards an opening packet to a backend server and starts waiting for the response.
packet_decision send_opening(router_state& state, const flow_key& key, remembered_flow& flow,
                             const placement& chosen, verdict_reason reason, millis now)
{
    flow.is_contested =
        flow.is_contested || (flow.backend != no_backend && flow.backend != chosen.backend);
    attach_flow(state.backends, flow, chosen.backend);
    observe_cold_placement(state, chosen.backend, now);
    if (chosen.is_probe)
    {
        state.backends.entries[chosen.backend].evidence.pace.probed_at = now;
        ++state.probes_total;
    }
    flow.last_packet = now;
    flow.last_progress = now;
    ++flow.openings;
    state.pending.push_back(pending_opening{key, chosen.backend, now});
    packet_decision decision = decide_forward(flow, reason);
    decision.wait_ms = chosen.wait_ms;
    return decision;
}

// Decides about a new flow that no backend server takes.
packet_decision decide_unplaceable(const router_state& state, const placement_request& request,
                                   const tagged_packet& packet, millis now)
{
    switch (find_obstacle(state.backends, request, now))
    {
    case placement_obstacle::evacuated:
        // Until the operator takes the order back, no wait makes this flow servable.
        return decide_reset(packet, verdict_reason::zone_evacuated);
    case placement_obstacle::cold:
    {
        const std::optional<millis> free_at = next_warm_up_time(state.backends, request, now);
        const std::optional<double> retransmission_ms = time_to_retransmission(packet);
        const bool is_free_in_time =
            free_at && retransmission_ms &&
            static_cast<double>((*free_at - now).count) <= *retransmission_ms;
        return is_free_in_time ? decide(packet_verdict::drop, verdict_reason::warm_up_limit_reached)
                               : decide_reset(packet, verdict_reason::warm_up_limit_reached);
    }
    case placement_obstacle::none:
        break;
    }
    return has_fresh_lists(state, now) ? decide_reset(packet, verdict_reason::no_backend)
                                       : decide(packet_verdict::drop, verdict_reason::no_backend);
}

// Decides about a new flow that is not admitted.
packet_decision decide_unadmitted(admission_verdict verdict, const tagged_packet& packet)
{
    switch (verdict)
    {
    case admission_verdict::refuse:
        return decide_reset(packet, verdict_reason::standing_queue);
    case admission_verdict::refuse_hopeless:
        return decide_reset(packet, verdict_reason::wait_too_long);
    case admission_verdict::admit:
    case admission_verdict::defer:
        break;
    }
    return decide(packet_verdict::drop, verdict_reason::deferred);
}

// Expected wait for a slot of the service, behind the flows of all daemons. Unit: milliseconds.
double expected_service_wait_ms(const router_state& state, const wait_evidence& waits,
                                const service_load& load, double uncontended_ms, millis now)
{
    if (now < state.backlog_until)
    {
        // The backlog of callers that waited during a pause is this daemon's alone.
        return estimate_wait_ms(load.open_flows, load.slots, uncontended_ms);
    }
    return state.settings.estimates_fleet_load
               ? estimate_fleet_wait_ms(load, waits, uncontended_ms)
               : estimate_wait_ms(load.open_flows * waits.load_factor, load.slots, uncontended_ms);
}

// Places a new flow, or refuses it.
packet_decision place_new_flow(router_state& state, const known_route& known, const flow_key& key,
                               const tagged_packet& packet, bool replaces_contested, millis now)
{
    ++state.openings_in_interval;
    const placement_request request = make_placement_request(state, known, key, no_backend, now);
    std::optional<placement> chosen =
        place_flow(state.backends, request, state.settings.weights, now);
    if (!chosen)
    {
        return decide_unplaceable(state, request, packet, now);
    }
    if (is_overtaken(state, packet, chosen->backend))
    {
        return decide(packet_verdict::drop, verdict_reason::overtaken);
    }
    service_queue& queue = state.queues[request.service];
    const double uncontended_ms = queue.waits.uncontended_ms > 0
                                      ? queue.waits.uncontended_ms
                                      : state.settings.weights.default_service_ms;
    const service_load load = compute_service_load(state.backends, request, now);
    chosen->wait_ms = std::max(
        chosen->wait_ms, expected_service_wait_ms(state, queue.waits, load, uncontended_ms, now));
    const admission_request asked{chosen->wait_ms, queue.waits.measured_at,
                                  time_to_retransmission(packet), state.resumed_at};
    const admission_verdict verdict =
        admit_flow(queue.history, known.current, asked, state.settings.admission, now);
    ++state.admissions[std::min(known.current.priority, max_counted_priority)]
                      [static_cast<std::size_t>(verdict)];
    if (verdict != admission_verdict::admit)
    {
        packet_decision decision = decide_unadmitted(verdict, packet);
        decision.wait_ms = chosen->wait_ms;
        return decision;
    }
    remembered_flow opened_at;
    opened_at.tuple = packet.tuple;
    opened_at.kind = known.current.kind;
    opened_at.timeout = known.current.timeout;
    opened_at.opening_sequence = packet.sequence;
    // The copies before this one went through another daemon, or were lost. Other daemons take the
    // flow for the contested one that had its addresses before, unless they are told otherwise.
    opened_at.is_contested = packet.retransmissions > 0 || replaces_contested;
    opened_at.data_end = packet.sequence + 1;
    opened_at.first_seen = now;
    opened_at.last_packet = now;
    opened_at.expected_wait_ms = chosen->wait_ms;
    opened_at.load_lifetime = load_lifetime(chosen->wait_ms, uncontended_ms);
    opened_at.fleet_weight = 1 / state.fleet_share;
    remembered_flow* flow = remember_flow(state.flows, key, opened_at, now);
    if (flow == nullptr)
    {
        packet_decision decision = decide(packet_verdict::forward, verdict_reason::placed);
        decision.backend = chosen->backend;
        decision.tag = state.backends.entries[chosen->backend].tag;
        return decision;
    }
    return send_opening(state, key, *flow, *chosen, verdict_reason::placed, now);
}

// Handles a retransmitted opening packet.
packet_decision place_retransmission(router_state& state, const known_route& known,
                                     const flow_key& key, remembered_flow& flow,
                                     const tagged_packet& packet, millis now)
{
    if (flow.stage != flow_stage::open && is_overtaken(state, packet, flow.backend))
    {
        return decide(packet_verdict::drop, verdict_reason::overtaken);
    }
    const known_backend& previous = state.backends.entries[flow.backend];
    const bool is_responsive = !previous.evidence.is_suspected &&
                               previous.phase == backend_phase::serving && !previous.is_evacuated &&
                               previous.evidence.last_response > flow.last_packet;
    if (flow.stage == flow_stage::open || is_responsive ||
        !had_time_to_answer(state, flow, packet, now))
    {
        flow.last_packet = now;
        return decide_forward(flow, verdict_reason::resent_to_same_backend);
    }
    const placement_request request = make_placement_request(state, known, key, flow.backend, now);
    const std::optional<placement> chosen =
        place_flow(state.backends, request, state.settings.weights, now);
    if (!chosen)
    {
        flow.last_packet = now;
        return decide_forward(flow, verdict_reason::resent_to_same_backend);
    }
    return send_opening(state, key, flow, *chosen, verdict_reason::rerouted, now);
}

} // namespace

// True when an opening packet belongs to no new flow, as far as this daemon knows: its addresses
// are those of an open flow that is making progress.
bool is_tuple_in_use(const router_state& state, const remembered_flow& flow, millis now)
{
    if (flow.stage != flow_stage::open || flow.backend == no_backend)
    {
        return false;
    }
    const known_backend& backend = state.backends.entries[flow.backend];
    return now < flow.last_progress + tuple_reuse_delay &&
           backend.phase == backend_phase::serving && !backend.is_evacuated &&
           !backend.evidence.is_suspected;
}

// The next copy is what counts: if it went through another daemon, the flow may be open by now.
bool is_obsolete(const tagged_packet& packet)
{
    const bool has_next = packet.retransmissions < opening_retransmission_ms.size();
    const millis lifetime =
        has_next ? millis{opening_retransmission_ms[packet.retransmissions]} : opening_give_up_time;
    return packet.waited >= lifetime;
}

packet_decision route_opening(router_state& state, const known_route& known, const flow_key& key,
                              const tagged_packet& packet, millis now)
{
    if (is_known_to_be_open(state.contested, key, packet.sequence, state.settings.max_flow_age,
                            now))
    {
        // A copy that the network has delayed.
        return decide(packet_verdict::drop, verdict_reason::overtaken);
    }
    remembered_flow* flow = find_flow(state, key);
    const bool is_retransmission = flow != nullptr && flow->backend != no_backend &&
                                   flow->stage != flow_stage::closed &&
                                   flow->opening_sequence == packet.sequence;
    if (is_retransmission)
    {
        return place_retransmission(state, known, key, *flow, packet, now);
    }
    if (flow != nullptr && is_tuple_in_use(state, *flow, now))
    {
        return decide_forward(*flow, verdict_reason::tuple_in_use);
    }
    forget_flow(state, key);
    const bool replaces_contested = remove_contested_flow(state.contested, key);
    return place_new_flow(state, known, key, packet, replaces_contested, now);
}

} // namespace briarbarrow

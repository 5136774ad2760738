#include "tagged/router_parts.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace briarbarrow
{

namespace
{

// Weight of one flow in the smoothed flow lifetime (EWMA) of a service and of a backend server.
constexpr double service_smoothing = 0.03;
constexpr double backend_smoothing = 0.1;
// Bound of a service's load factor, as a multiple of what this daemon's share of all new flows
// implies; if the fleet's load is estimated from that share, of this estimate.
constexpr double max_load_factor = 4;

// True when sequence number `left` comes after `right`, with wraparound.
bool is_sequence_after(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) > 0;
}

// Records evidence that a backend server responds.
void record_response(router_state& state, backend_index backend, millis now)
{
    note_return(state, state.backends.entries[backend], now);
    if (observe_response(state.backends.entries[backend], now))
    {
        state.state_changes.push_back(
            {state_change_kind::backend_responsive, backend, {}, "by=caller"});
    }
}

// Updates the smoothed lifetimes and the measured wait with the time that a request took, which
// began at `begun`: the lifetime of its flow, or, of a flow with many requests, the time to its
// answer.
void observe_request_time(router_state& state, const remembered_flow& flow, millis begun,
                          millis now)
{
    if (begun < state.resumed_at)
    {
        // The time includes a pause of this process.
        return;
    }
    known_backend& backend = state.backends.entries[flow.backend];
    const auto lifetime_ms = static_cast<double>((now - begun).count);
    double& service_lifetime_ms = state.service_ms[backend.service];
    service_lifetime_ms += service_lifetime_ms > 0
                               ? service_smoothing * (lifetime_ms - service_lifetime_ms)
                               : lifetime_ms;
    const double known_share = state.settings.estimates_fleet_load ? 1 : state.opening_share;
    observe_answered_flow(state.queues[backend.service].waits, {lifetime_ms, flow.expected_wait_ms},
                          max_load_factor / known_share, now);
    if (state.settings.learns_pace)
    {
        std::optional<double>& usual = state.queues[backend.service].log_request_ms;
        const double log_ms = std::log(std::max(1.0, lifetime_ms));
        usual = usual ? *usual + service_smoothing * (log_ms - *usual) : log_ms;
        observe_pace(backend.evidence.pace, lifetime_ms, *usual, state.settings.pace, now);
    }
    double& backend_lifetime_ms = backend.evidence.flow_lifetime_ms;
    backend_lifetime_ms = backend_lifetime_ms > 0 ? backend_lifetime_ms : service_lifetime_ms;
    backend_lifetime_ms += backend_smoothing * (lifetime_ms - backend_lifetime_ms);
}

// Remembers a flow whose opening packet this daemon did not see.
remembered_flow* remember_unseen_flow(router_state& state, const known_route& known,
                                      const flow_key& key, const tagged_packet& packet, millis now)
{
    remembered_flow opened_at;
    opened_at.tuple = packet.tuple;
    opened_at.stage = flow_stage::unknown;
    opened_at.kind = known.current.kind;
    opened_at.timeout = known.current.timeout;
    opened_at.data_end = packet.sequence;
    opened_at.acknowledgement = packet.acknowledgement;
    opened_at.first_seen = now;
    opened_at.opened = now;
    opened_at.last_packet = now;
    opened_at.last_progress = now;
    return remember_flow(state.flows, key, opened_at, now);
}

// Handles a packet whose tag shows no backend server that it may go to. It is dropped until it is
// certain that the backend server does not exist, and reset from then on.
packet_decision route_unknown_tag(router_state& state, remembered_flow& flow,
                                  const tagged_packet& packet, const flow_location& location,
                                  millis now)
{
    flow.last_packet = now;
    const bool is_certain =
        !location.may_be_alive && has_fresh_lists(state, now) &&
        now > flow.first_seen + unknown_tag_timeout &&
        state.lists_fresh_since + unknown_tag_timeout + expiry_grace_period < now;
    return is_certain ? decide_reset(packet, verdict_reason::dead_tag)
                      : decide(packet_verdict::drop, verdict_reason::tag_not_known);
}

// Handles new data from the caller. It is the flow's next request if the last one was answered.
void observe_request(router_state& state, remembered_flow& flow, millis now)
{
    const bool is_answered =
        flow.has_request && is_sequence_after(flow.acknowledgement, flow.answer_begin);
    if (is_answered)
    {
        record_request_outcome(state, flow, now);
        flow.is_outcome_pending = flow.openings > 0;
        flow.answer_begin = flow.acknowledgement;
    }
    if (is_answered || flow.requests == 0)
    {
        ++flow.requests;
        flow.request_begun = now;
        flow.has_answer = false;
    }
}

// Handles the first bytes of an answer that the caller acknowledges.
void observe_answer_begin(router_state& state, remembered_flow& flow, millis now)
{
    const bool is_begin = flow.requests > 0 && !flow.has_answer &&
                          is_sequence_after(flow.acknowledgement, flow.answer_begin);
    if (!is_begin)
    {
        return;
    }
    flow.has_answer = true;
    // The first request of a flow is measured at its end, unless the flow goes on.
    if (flow.requests > 1 && flow.openings > 0)
    {
        observe_request_time(state, flow, flow.request_begun, now);
    }
}

// Updates a flow's progress from a packet's sequence numbers.
void observe_progress(router_state& state, remembered_flow& flow, const tagged_packet& packet,
                      millis now)
{
    const std::uint32_t end = packet.sequence + packet.payload_bytes;
    const bool has_new_data = packet.payload_bytes > 0 && is_sequence_after(end, flow.data_end);
    const bool has_new_ack =
        packet.has_ack && is_sequence_after(packet.acknowledgement, flow.acknowledgement);
    if (has_new_ack)
    {
        flow.acknowledgement = packet.acknowledgement;
        record_response(state, flow.backend, now);
        observe_answer_begin(state, flow, now);
    }
    if (has_new_data)
    {
        flow.data_end = end;
        observe_request(state, flow, now);
    }
    if (has_new_data || has_new_ack)
    {
        flow.last_progress = now;
        flow.is_retransmitting = false;
        return;
    }
    flow.is_retransmitting = flow.is_retransmitting || packet.payload_bytes > 0;
}

// Handles the caller's first packet after its opening packet: the flow is open at the backend
// server whose answer it acknowledges.
void open_flow(router_state& state, remembered_flow& flow, std::optional<backend_index> tagged,
               const tagged_packet& packet, millis now)
{
    if (tagged && *tagged != flow.backend)
    {
        // Another daemon has placed the flow as well.
        flow.is_contested = true;
        attach_flow(state.backends, flow, *tagged);
    }
    else if (flow.openings == 1)
    {
        observe_answer_time(state.zones, state.backends.entries[flow.backend].registration.zone,
                            now - flow.last_packet);
    }
    flow.stage = flow_stage::open;
    count_flow(state.backends, flow);
    flow.opened = now;
    flow.acknowledgement = packet.acknowledgement;
    flow.answer_begin = packet.acknowledgement;
    flow.is_outcome_pending = true;
    flow.last_progress = now;
    record_response(state, flow.backend, now);
    if (flow.is_contested)
    {
        const contested_flow opened{flow_key_of(flow.tuple), flow.opening_sequence, flow.tag};
        add_contested_flow(state.contested, opened, now);
        state.newly_contested.push_back(opened);
    }
}

// Routes a packet of a flow whose backend server is known.
packet_decision route_established(router_state& state, remembered_flow& flow,
                                  const tagged_packet& packet, verdict_reason reason, millis now)
{
    observe_progress(state, flow, packet, now);
    flow.last_packet = now;
    if (flow.stage == flow_stage::open)
    {
        count_flow(state.backends, flow);
    }
    if (should_reset_flow(state, flow, now))
    {
        close_flow(state, flow);
        return decide_reset(packet, verdict_reason::dead_backend);
    }
    packet_decision decision = decide_forward(flow, reason);
    const bool ends = packet.closes || packet.is_reset;
    if (ends && flow.stage == flow_stage::open)
    {
        const std::optional<answer_class> answer =
            flow.has_request ? record_request_outcome(state, flow, now) : std::nullopt;
        if (packet.closes && flow.openings > 0)
        {
            decision.flow_lifetime = now - flow.opened;
        }
        // A refusal or an error takes no processing time, so it doesn't show what requests take.
        if (decision.flow_lifetime && flow.requests <= 1 &&
            answer.value_or(answer_class::complete) == answer_class::complete)
        {
            observe_request_time(state, flow, flow.opened, flow.last_progress);
        }
        close_flow(state, flow);
    }
    // Packets of one request may arrive out of order; the first is the one that begins the stream.
    const bool begins_stream = flow.openings == 0 || packet.sequence == flow.opening_sequence + 1;
    decision.is_first_request = packet.payload_bytes > 0 && begins_stream && !flow.has_request;
    flow.has_request = flow.has_request || decision.is_first_request;
    if (decision.is_first_request)
    {
        state.flows.busy_reviews.push_back(
            flow_review{now + busy_review_interval, flow_key_of(flow.tuple)});
    }
    return decision;
}

// Forwards a packet of a flow that can't be remembered.
packet_decision route_unremembered(const router_state& state, std::optional<backend_index> backend)
{
    packet_decision decision = decide(packet_verdict::drop, verdict_reason::tag_not_known);
    if (backend)
    {
        decision = decide(packet_verdict::forward, verdict_reason::tagged);
        decision.backend = *backend;
        decision.tag = state.backends.entries[*backend].tag;
    }
    return decision;
}

// Decides about a packet whose tag doesn't show where its flow is open. Returns nothing if the
// packet follows its tag.
std::optional<packet_decision> route_doubtful(router_state& state, const flow_key& key,
                                              const tagged_packet& packet, const tag_claim& claim,
                                              lookup_need need, millis now)
{
    if (need == lookup_need::confirmation && state.flows.flows.size() >= max_remembered_flows)
    {
        // The answer would have to be asked for again with each packet.
        return std::nullopt;
    }
    const std::uint32_t sequence = claim.opening_sequence.value_or(packet.sequence);
    if (look_up(state.lookups, key, need, sequence, now) == lookup_verdict::hold)
    {
        return decide(packet_verdict::hold, verdict_reason::looked_up);
    }
    return need == lookup_need::confirmation
               ? std::nullopt
               : std::optional(decide(packet_verdict::drop, verdict_reason::location_not_known));
}

// Routes a packet that is not an opening packet.
packet_decision route_subsequent(router_state& state, const known_route& known, const flow_key& key,
                                 const tagged_packet& packet, millis now)
{
    const tag_claim claim = read_claim(state, known, packet);
    const flow_location location = locate_flow(state, known, key, packet, claim, now);
    remembered_flow* flow = find_flow(state, key);
    const flow_relation relation = flow == nullptr
                                       ? flow_relation::of_flow
                                       : relate_to_flow(state, known, *flow, packet, claim, now);
    if (relation == flow_relation::of_earlier_flow)
    {
        return route_unremembered(state, location.backend);
    }
    if (relation == flow_relation::of_later_flow)
    {
        forget_flow(state, key);
        flow = nullptr;
    }
    // A flow that has gone on elsewhere isn't opening here.
    const bool has_opened_elsewhere = flow != nullptr && flow->stage == flow_stage::opening &&
                                      location.doubt == lookup_need::location;
    if (location.doubt && (has_opened_elsewhere || flow == nullptr))
    {
        const std::optional<packet_decision> decision =
            route_doubtful(state, key, packet, claim, *location.doubt, now);
        if (decision)
        {
            return *decision;
        }
    }
    verdict_reason reason = verdict_reason::remembered;
    if (flow == nullptr)
    {
        reason = location.is_contested ? verdict_reason::contested : verdict_reason::tagged;
        flow = remember_unseen_flow(state, known, key, packet, now);
    }
    if (flow == nullptr)
    {
        return route_unremembered(state, location.backend);
    }
    std::optional<millis> answer_time;
    if (flow->stage == flow_stage::opening)
    {
        answer_time = now - flow->last_packet;
        open_flow(state, *flow, location.backend, packet, now);
    }
    else if (flow->stage == flow_stage::unknown && location.backend)
    {
        attach_flow(state.backends, *flow, *location.backend);
        flow->stage = flow_stage::open;
    }
    packet_decision decision = flow->backend == no_backend
                                   ? route_unknown_tag(state, *flow, packet, location, now)
                                   : route_established(state, *flow, packet, reason, now);
    decision.answer_time = answer_time;
    return decision;
}

// True when the lists are proof that an address has no route: they are fresh, and were confirmed
// since the last pause.
bool can_refuse_unknown_routes(const router_state& state, millis now)
{
    return has_fresh_lists(state, now) && state.lists_confirmed_at >= state.resumed_at;
}

packet_decision decide_packet(router_state& state, const tagged_packet& packet, millis now)
{
    if (!is_router_ready(state))
    {
        return decide(packet_verdict::drop, verdict_reason::routes_not_known);
    }
    if (packet.opens && is_obsolete(packet))
    {
        return decide(packet_verdict::drop, verdict_reason::overtaken);
    }
    const endpoint destination{packet.tuple.destination, packet.tuple.destination_port};
    const known_route* known = find_route(state.routes, destination);
    if (known == nullptr && packet.is_reset)
    {
        return decide(packet_verdict::drop, verdict_reason::no_route);
    }
    if (known == nullptr)
    {
        // Fresh lists may still lack a route that was added a moment ago, and an open flow has a
        // route somewhere, so it is reset only if this daemon saw the route's removal.
        const bool is_removed = packet.opens ? can_refuse_unknown_routes(state, now)
                                             : was_route_removed(state.routes, destination);
        return is_removed ? decide_reset(packet, verdict_reason::no_route)
                          : decide(packet_verdict::drop, verdict_reason::route_not_fresh);
    }
    const flow_key key = flow_key_of(packet.tuple);
    return packet.opens ? route_opening(state, *known, key, packet, now)
                        : route_subsequent(state, *known, key, packet, now);
}

} // namespace

packet_decision decide(packet_verdict verdict, verdict_reason reason)
{
    packet_decision decision;
    decision.verdict = verdict;
    decision.reason = reason;
    return decision;
}

packet_decision decide_forward(const remembered_flow& flow, verdict_reason reason)
{
    packet_decision decision = decide(packet_verdict::forward, reason);
    decision.backend = flow.backend;
    decision.tag = flow.tag;
    return decision;
}

packet_decision decide_reset(const tagged_packet& packet, verdict_reason reason)
{
    packet_decision decision = decide(packet_verdict::reset, reason);
    decision.reset_sequence = packet.acknowledgement;
    return decision;
}

packet_decision route_packet(router_state& state, const tagged_packet& packet, millis now)
{
    notice_pause(state, now);
    packet_decision decision = decide_packet(state, packet, now);
    if (decision.verdict == packet_verdict::forward && state.writes_tag_forms)
    {
        decision.tag = packet.opens ? make_opening_tag(decision.tag, packet.sequence)
                                    : make_open_tag(decision.tag);
    }
    ++state.reasons[static_cast<std::size_t>(decision.reason)];
    return decision;
}

} // namespace briarbarrow

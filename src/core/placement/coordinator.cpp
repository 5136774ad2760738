// Ways 2 to 5 of a packet: what keepers do.
#include <algorithm>

#include "core/placement/choice.hpp"
#include "core/step_parts.hpp"

namespace briarbarrow
{

namespace
{

// After this many forwards the holder coordinates, whatever its view says.
constexpr std::uint8_t max_forwards = 3;
void place_flow(step_context& step, const routed_packet& routed)
{
    core_state& state = step.state;
    const service_runtime& service = state.known.services[routed.service_slot];
    if (!service.configured)
    {
        ++state.counters[counter::dropped_unknown_service];
        return;
    }
    const auto backend_slot = choose_backend(state.known, service, routed.key);
    if (!backend_slot)
    {
        // Nothing of this flow was sent on: the refusal is true.
        ++state.counters[counter::openings_refused];
        send_reset(step, routed.packet);
        return;
    }
    ++state.counters[counter::flows_opened];
    ++state.known.backends[*backend_slot].opened;
    flow_entry& entry = add_record(step, routed.key, routed.service_slot, *backend_slot);
    const bool granted = has_grant(state.hosts, step.now);
    entry.rank = granted ? flow_rank::choice : flow_rank::provisional_choice;
    send_through_owners(step, routed, entry);
}

// True when this host may choose a backend server now.
bool may_place(step_context& step, const routed_packet& routed)
{
    core_state& state = step.state;
    const bool granted = has_grant(state.hosts, step.now);
    const bool alone = is_cut_off(state.hosts, step.now);
    const bool live = state.hosts.state == host_state::live;
    const bool last = state.hosts.state == host_state::leaving &&
                      current_owners(state, routed.service_slot).primary == host_id::none;
    if (!live && !last)
    {
        ++state.counters[counter::dropped_no_keeper];
        return false;
    }
    const bool strict = state.known.services[routed.service_slot].at_most_once &&
                        routed.packet.tuple.protocol == transport::udp;
    if (!granted && (!alone || strict))
    {
        ++state.counters[counter::dropped_no_grant];
        return false;
    }
    return true;
}

void reopen(step_context& step, const routed_packet& routed, flow_entry& entry)
{
    switch (decide_reuse(step, routed, entry))
    {
    case reuse_decision::drop:
        ++step.state.counters[counter::dropped_quarantine];
        return;
    case reuse_decision::replace:
        ++step.state.counters[counter::flows_replaced];
        if (may_place(step, routed))
        {
            place_flow(step, routed);
        }
        return;
    case reuse_decision::keep:
        break;
    }
    if (entry.phase != flow_phase::open)
    {
        ++step.state.counters[counter::flows_reopened];
        change_phase(step.state, entry, flow_phase::open);
        entry.rank = is_provisional(entry.rank) ? flow_rank::provisional_opened : flow_rank::opened;
    }
    entry.opened_at = stamp_of(step.now);
    entry.last_seen = stamp_of(step.now);
    send_through_owners(step, routed, entry);
}

bool take_search_token(step_context& step)
{
    core_state& state = step.state;
    if (step.now - state.search_tokens_refilled_at >= millis{1'000})
    {
        state.search_tokens = searches_per_second;
        state.search_tokens_refilled_at = step.now;
    }
    if (state.search_tokens <= 0)
    {
        ++state.counters[counter::dropped_search_limit];
        return false;
    }
    --state.search_tokens;
    return true;
}

bool is_barred(core_state& state, const flow_key& key)
{
    const flow_entry* entry = state.flows.find(key);
    return entry != nullptr && entry->blocked;
}

// Drops a datagram that may have been sent to a backend server before, and remembers its flow: as
// long as the caller repeats it, it is never placed anew.
void bar_flow(step_context& step, const routed_packet& routed)
{
    core_state& state = step.state;
    ++state.counters[counter::dropped_uncertain];
    flow_entry* entry = state.flows.find(routed.key);
    if (entry == nullptr)
    {
        entry = &state.flows.insert(routed.key);
        entry->role = flow_role::record;
        entry->phase = flow_phase::ended;
        entry->blocked = true;
        entry->service_slot = routed.service_slot;
        entry->backend_slot = no_backend_slot;
        entry->opened_at = stamp_of(step.now);
    }
    entry->last_seen = stamp_of(step.now);
}

// The last word on a packet whose flow no reachable host knows.
void settle_unknown(step_context& step, const routed_packet& routed, bool complete)
{
    core_state& state = step.state;
    if (routed.packet.tuple.protocol == transport::tcp)
    {
        if (complete)
        {
            send_reset(step, routed.packet);
            return;
        }
        ++state.counters[counter::dropped_incomplete_search];
        return;
    }
    const bool strict = state.known.services[routed.service_slot].at_most_once;
    if (strict && !complete)
    {
        // A host out of reach may know it. The caller's next try asks again.
        ++state.counters[counter::dropped_uncertain];
        return;
    }
    flow_entry* remembered = state.flows.find(routed.key);
    const bool sent_before = strict && remembered != nullptr && !remembered->blocked &&
                             remembered->rank >= flow_rank::opened;
    if (sent_before)
    {
        // Nobody has the record any more, but this host knows where the flow went.
        promote_hint(state, *remembered);
        send_through_owners(step, routed, *remembered);
        return;
    }
    const bool lost = lost_both_owners(step, routed.service_slot);
    if (strict && (lost || is_barred(state, routed.key)))
    {
        // Its record may be lost for good: to place the datagram could run it twice.
        bar_flow(step, routed);
        return;
    }
    if (may_place(step, routed))
    {
        place_flow(step, routed);
    }
}

void search(step_context& step, const routed_packet& routed)
{
    const service_runtime& service = step.state.known.services[routed.service_slot];
    const host_path path = make_search_path(step, routed.service_slot, service.idle_timeout);
    const bool complete = is_search_complete(step);
    if (path.empty())
    {
        settle_unknown(step, routed, complete);
        return;
    }
    if (!take_search_token(step))
    {
        return;
    }
    relay_header header = make_relay_header(step, routed, relay_kind::search);
    header.coordinator = step.state.hosts.self.id;
    header.search_complete = complete;
    header.path = path;
    forward_along_path(step, header, routed);
}

// True when a datagram of an unknown flow may belong to one that other hosts have records of.
bool may_be_known_elsewhere(const step_context& step, std::uint32_t service_slot)
{
    const core_state& state = step.state;
    const service_runtime& service = state.known.services[service_slot];
    const auto& views = state.views.views;
    const bool grew_up_lately = step.now - state.hosts.state_since < service.idle_timeout;
    const bool changed_lately =
        views.size() > 1 && step.now - views[1].superseded < service.idle_timeout;
    // An oldest view that is still young hides whatever came before it.
    const bool history_full =
        views.size() == max_views && step.now - views.back().superseded < service.idle_timeout;
    return grew_up_lately || changed_lately || history_full || !is_search_complete(step);
}

void coordinate_unknown(step_context& step, const routed_packet& routed)
{
    const bool datagram = routed.packet.tuple.protocol == transport::udp;
    const bool opening = routed.packet.role == packet_role::opening ||
                         (datagram && !may_be_known_elsewhere(step, routed.service_slot));
    if (!opening)
    {
        search(step, routed);
        return;
    }
    if (may_place(step, routed))
    {
        place_flow(step, routed);
    }
}

void take_search(step_context& step, routed_packet& routed, const relay_header& header)
{
    core_state& state = step.state;
    flow_entry* entry = state.flows.find(routed.key);
    const bool hint = entry != nullptr && entry->role == flow_role::hint;
    const bool fresh_hint =
        hint && since(entry->refreshed_at, step.now) < hint_retention(state, *entry);
    // A hint of a choice made during a cut is no proof.
    const bool proven_hint = fresh_hint && !is_provisional(entry->rank);
    const bool knows = entry != nullptr && !entry->blocked && (!hint || proven_hint);
    if (knows)
    {
        observe_packet(step, *entry, routed.packet);
        send_through_owners(step, routed, *entry);
        return;
    }
    relay_header onward = header;
    onward.hops = static_cast<std::uint8_t>(routed.hops + 1);
    if (entry != nullptr && entry->blocked)
    {
        // Its flow may have run before: no other host may place it as one that nobody knows.
        entry->last_seen = stamp_of(step.now);
        onward.search_complete = false;
    }
    if (onward.path.empty())
    {
        onward.kind = relay_kind::absent;
        onward.path.push_back(header.coordinator);
    }
    forward_along_path(step, onward, routed);
}

void take_absent(step_context& step, routed_packet& routed, const relay_header& header)
{
    // The flow may have become known while the packet was on its way.
    const flow_entry* entry = find_record(step.state, routed.key);
    if (entry != nullptr && !entry->blocked)
    {
        coordinate(step, routed);
        return;
    }
    settle_unknown(step, routed, header.search_complete && is_search_complete(step));
}

void take_forward(step_context& step, routed_packet& routed)
{
    core_state& state = step.state;
    const host_id self = state.hosts.self.id;
    const keeper_pair keepers = current_owners(state, routed.service_slot);
    const bool known = find_record(state, routed.key) != nullptr && is_keeper(keepers, self);
    const bool settle = routed.hops >= max_forwards || keepers.primary == host_id::none;
    if (known || settle || keepers.primary == self)
    {
        coordinate(step, routed);
        return;
    }
    relay_header header = make_relay_header(step, routed, relay_kind::forward);
    send_relay(step, keepers.primary, header, routed.packet);
}

} // namespace

namespace
{

// True for a record that must not be followed without asking the other side: it is left over from
// an earlier cut, or nothing is known to have been sent by it although the caller goes on.
bool is_doubtful(const core_state& state, const flow_entry& entry, const packet_view& packet)
{
    const bool left_over = is_provisional(entry.rank) && !is_from_current_partition(state, entry);
    const bool unsent = certainty(entry.rank) < certainty(flow_rank::opened);
    return left_over || (unsent && packet.role != packet_role::opening);
}

} // namespace

void coordinate(step_context& step, const routed_packet& routed)
{
    flow_entry* entry = find_record(step.state, routed.key);
    if (entry != nullptr && entry->blocked)
    {
        search(step, routed);
        return;
    }
    if (entry == nullptr)
    {
        coordinate_unknown(step, routed);
        return;
    }
    if (!has_grant(step.state.hosts, step.now) && is_doubtful(step.state, *entry, routed.packet))
    {
        // The other side can't be asked now.
        ++step.state.counters[counter::dropped_incomplete_search];
        return;
    }
    if (routed.packet.role == packet_role::opening)
    {
        reopen(step, routed, *entry);
        return;
    }
    observe_packet(step, *entry, routed.packet);
    if (!needs_reconciliation(step.state, *entry, routed.packet, step.now))
    {
        observe_progress(*entry, routed.packet);
    }
    send_through_owners(step, routed, *entry);
}

void handle_relayed_packet(step_context& step, const relay_header& header,
                           std::span<const std::uint8_t> bytes)
{
    core_state& state = step.state;
    const auto parsed = parse_and_count(step, bytes);
    if (!parsed)
    {
        return;
    }
    const packet_view& packet = *parsed;
    const auto by_name = find_service(state.known, header.service);
    const auto by_address = find_service(state.known, packet.tuple);
    const bool named = header.kind == relay_kind::deposit;
    if (!by_name && (named || !by_address))
    {
        ++state.counters[counter::dropped_unknown_service];
        return;
    }
    const std::uint32_t service_slot = by_name ? *by_name : *by_address;
    routed_packet routed{packet,         flow_key_of(packet.tuple), service_slot,
                         header.ingress, header.coordinator,        header.hops};
    switch (header.kind)
    {
    case relay_kind::forward:
        take_forward(step, routed);
        break;
    case relay_kind::deposit:
        handle_replication(step, routed, header);
        break;
    case relay_kind::search:
        take_search(step, routed, header);
        break;
    case relay_kind::absent:
        take_absent(step, routed, header);
        break;
    }
}

} // namespace briarbarrow

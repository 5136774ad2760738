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
void place_flow(step_context& step, const packet_in_hand& hand)
{
    core_state& state = step.state;
    const service_runtime& service = state.known.services[hand.service_slot];
    if (!service.configured)
    {
        ++state.counters[counter::dropped_unknown_service];
        return;
    }
    const auto backend_slot = choose_backend(state.known, service, hand.key);
    if (!backend_slot)
    {
        // Nothing of this flow was sent on: the refusal is true.
        ++state.counters[counter::openings_refused];
        send_reset(step, hand.packet);
        return;
    }
    ++state.counters[counter::flows_opened];
    ++state.known.backends[*backend_slot].opened;
    flow_entry& entry = add_record(step, hand.key, hand.service_slot, *backend_slot);
    const bool granted = has_grant(state.hosts, step.now);
    entry.rank = granted ? flow_rank::choice : flow_rank::provisional_choice;
    send_through_keepers(step, hand, entry);
}

// True when this host may choose a backend server now.
bool may_place(step_context& step, const packet_in_hand& hand)
{
    core_state& state = step.state;
    const bool granted = has_grant(state.hosts, step.now);
    const bool alone = is_cut_off(state.hosts, step.now);
    const bool live = state.hosts.state == host_state::live;
    const bool last = state.hosts.state == host_state::leaving &&
                      current_keepers(state, hand.service_slot).primary == host_id::none;
    if (!live && !last)
    {
        ++state.counters[counter::dropped_no_keeper];
        return false;
    }
    const bool strict = state.known.services[hand.service_slot].at_most_once &&
                        hand.packet.tuple.protocol == transport::udp;
    if (!granted && (!alone || strict))
    {
        ++state.counters[counter::dropped_no_grant];
        return false;
    }
    return true;
}

void reopen(step_context& step, const packet_in_hand& hand, flow_entry& entry)
{
    switch (judge_reuse(step, hand, entry))
    {
    case reuse::drop:
        ++step.state.counters[counter::dropped_quarantine];
        return;
    case reuse::replace:
        ++step.state.counters[counter::flows_replaced];
        if (may_place(step, hand))
        {
            place_flow(step, hand);
        }
        return;
    case reuse::keep:
        break;
    }
    if (entry.phase != flow_phase::open)
    {
        ++step.state.counters[counter::flows_reopened];
        change_phase(step.state, entry, flow_phase::open);
        entry.rank = is_provisional(entry.rank) ? flow_rank::provisional_opened : flow_rank::opened;
    }
    entry.created = stamp_of(step.now);
    entry.last_seen = stamp_of(step.now);
    send_through_keepers(step, hand, entry);
}

bool take_search_token(step_context& step)
{
    core_state& state = step.state;
    if (step.now - state.search_tokens_since >= millis{1'000})
    {
        state.search_tokens = searches_per_second;
        state.search_tokens_since = step.now;
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
    return entry != nullptr && entry->barred;
}

// Drops a datagram that may have been sent to a backend server before, and remembers its flow: as
// long as the caller repeats it, it is never placed anew.
void bar_flow(step_context& step, const packet_in_hand& hand)
{
    core_state& state = step.state;
    ++state.counters[counter::dropped_uncertain];
    flow_entry* entry = state.flows.find(hand.key);
    if (entry == nullptr)
    {
        entry = &state.flows.insert(hand.key);
        entry->role = flow_role::record;
        entry->phase = flow_phase::ended;
        entry->barred = true;
        entry->service_slot = hand.service_slot;
        entry->backend_slot = no_backend_slot;
        entry->created = stamp_of(step.now);
    }
    entry->last_seen = stamp_of(step.now);
}

// The last word on a packet whose flow no reachable host knows.
void settle_unknown(step_context& step, const packet_in_hand& hand, bool complete)
{
    core_state& state = step.state;
    if (hand.packet.tuple.protocol == transport::tcp)
    {
        if (complete)
        {
            send_reset(step, hand.packet);
            return;
        }
        ++state.counters[counter::dropped_incomplete_search];
        return;
    }
    const bool strict = state.known.services[hand.service_slot].at_most_once;
    if (strict && !complete)
    {
        // A host out of reach may know it. The caller's next try asks again.
        ++state.counters[counter::dropped_uncertain];
        return;
    }
    flow_entry* remembered = state.flows.find(hand.key);
    const bool sent_before = strict && remembered != nullptr && !remembered->barred &&
                             remembered->rank >= flow_rank::opened;
    if (sent_before)
    {
        // Nobody has the record any more, but this host knows where the flow went.
        promote_hint(state, *remembered);
        send_through_keepers(step, hand, *remembered);
        return;
    }
    const bool lost = lost_both_keepers(step, hand.service_slot);
    if (strict && (lost || is_barred(state, hand.key)))
    {
        // Its record may be lost for good: to place the datagram could run it twice.
        bar_flow(step, hand);
        return;
    }
    if (may_place(step, hand))
    {
        place_flow(step, hand);
    }
}

void search(step_context& step, const packet_in_hand& hand)
{
    const service_runtime& service = step.state.known.services[hand.service_slot];
    const host_path path = search_path_of(step, hand.service_slot, service.idle_timeout);
    const bool complete = is_search_complete(step);
    if (path.empty())
    {
        settle_unknown(step, hand, complete);
        return;
    }
    if (!take_search_token(step))
    {
        return;
    }
    relay_header header = make_header(step, hand, relay_kind::search);
    header.coordinator = step.state.hosts.self.id;
    header.is_path_complete = complete;
    header.path = path;
    pass_along(step, header, hand);
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

void coordinate_unknown(step_context& step, const packet_in_hand& hand)
{
    const bool datagram = hand.packet.tuple.protocol == transport::udp;
    const bool opening = hand.packet.role == packet_role::opening ||
                         (datagram && !may_be_known_elsewhere(step, hand.service_slot));
    if (!opening)
    {
        search(step, hand);
        return;
    }
    if (may_place(step, hand))
    {
        place_flow(step, hand);
    }
}

void take_search(step_context& step, packet_in_hand& hand, const relay_header& header)
{
    core_state& state = step.state;
    flow_entry* entry = state.flows.find(hand.key);
    const bool hint = entry != nullptr && entry->role == flow_role::hint;
    const bool fresh_hint = hint && since(entry->refreshed, step.now) < hint_memory(state, *entry);
    // A hint of a choice made during a cut is no proof.
    const bool proven_hint = fresh_hint && !is_provisional(entry->rank);
    const bool knows = entry != nullptr && !entry->barred && (!hint || proven_hint);
    if (knows)
    {
        note_packet(step, *entry, hand.packet);
        send_through_keepers(step, hand, *entry);
        return;
    }
    relay_header onward = header;
    onward.hops = static_cast<std::uint8_t>(hand.hops + 1);
    if (entry != nullptr && entry->barred)
    {
        // Its flow may have run before: no other host may place it as one that nobody knows.
        entry->last_seen = stamp_of(step.now);
        onward.is_path_complete = false;
    }
    if (onward.path.empty())
    {
        onward.kind = relay_kind::not_found;
        onward.path.push_back(header.coordinator);
    }
    pass_along(step, onward, hand);
}

void take_absent(step_context& step, packet_in_hand& hand, const relay_header& header)
{
    // The flow may have become known while the packet was on its way.
    const flow_entry* entry = find_record(step.state, hand.key);
    if (entry != nullptr && !entry->barred)
    {
        coordinate(step, hand);
        return;
    }
    settle_unknown(step, hand, header.is_path_complete && is_search_complete(step));
}

void take_forward(step_context& step, packet_in_hand& hand)
{
    core_state& state = step.state;
    const host_id self = state.hosts.self.id;
    const keeper_pair keepers = current_keepers(state, hand.service_slot);
    const bool known = find_record(state, hand.key) != nullptr && is_keeper(keepers, self);
    const bool settle = hand.hops >= max_forwards || keepers.primary == host_id::none;
    if (known || settle || keepers.primary == self)
    {
        coordinate(step, hand);
        return;
    }
    relay_header header = make_header(step, hand, relay_kind::forward);
    send_relay(step, keepers.primary, header, hand.packet);
}

} // namespace

namespace
{

// True for a record that must not be followed without asking the other side: it is left over from
// an earlier cut, or nothing is known to have been sent by it although the caller goes on.
bool is_doubtful(const core_state& state, const flow_entry& entry, const packet_view& packet)
{
    const bool left_over = is_provisional(entry.rank) && !is_of_this_cut(state, entry);
    const bool unsent = certainty(entry.rank) < certainty(flow_rank::opened);
    return left_over || (unsent && packet.role != packet_role::opening);
}

} // namespace

void coordinate(step_context& step, const packet_in_hand& hand)
{
    flow_entry* entry = find_record(step.state, hand.key);
    if (entry != nullptr && entry->barred)
    {
        search(step, hand);
        return;
    }
    if (entry == nullptr)
    {
        coordinate_unknown(step, hand);
        return;
    }
    if (!has_grant(step.state.hosts, step.now) && is_doubtful(step.state, *entry, hand.packet))
    {
        // The other side can't be asked now.
        ++step.state.counters[counter::dropped_incomplete_search];
        return;
    }
    if (hand.packet.role == packet_role::opening)
    {
        reopen(step, hand, *entry);
        return;
    }
    note_packet(step, *entry, hand.packet);
    if (!needs_settling(step.state, *entry, hand.packet, step.now))
    {
        note_progress(*entry, hand.packet);
    }
    send_through_keepers(step, hand, *entry);
}

void take_relay(step_context& step, const relay_header& header, std::span<const std::uint8_t> bytes)
{
    core_state& state = step.state;
    const auto parsed = parse_counted(step, bytes);
    if (!parsed)
    {
        return;
    }
    const packet_view& packet = *parsed;
    const auto by_name = find_service(state.known, header.service);
    const auto by_address = find_service(state.known, packet.tuple);
    const bool named = header.kind == relay_kind::replicate;
    if (!by_name && (named || !by_address))
    {
        ++state.counters[counter::dropped_unknown_service];
        return;
    }
    const std::uint32_t service_slot = by_name ? *by_name : *by_address;
    packet_in_hand hand{packet,         flow_key_of(packet.tuple), service_slot,
                        header.ingress, header.coordinator,        header.hops};
    switch (header.kind)
    {
    case relay_kind::forward:
        take_forward(step, hand);
        break;
    case relay_kind::replicate:
        take_deposit(step, hand, header);
        break;
    case relay_kind::search:
        take_search(step, hand, header);
        break;
    case relay_kind::not_found:
        take_absent(step, hand, header);
        break;
    }
}

} // namespace briarbarrow

// Deposits: how a record travels to the other keepers inside the flow's own packets, and which of
// two records stays.
#include <algorithm>

#include "core/step_parts.hpp"

namespace briarbarrow
{

namespace
{

// The ingress is told where a flow goes from this many passes on; short flows are not worth it.
constexpr std::uint8_t passes_before_hint = 3;
// A choice this young is under way to its backend server.
constexpr millis fresh_choice_span{1'000};
// A confirmation this old is asked for again.
constexpr millis refresh_after{4'000};

// True when this host is a keeper of a service, or may still be one in another host's view. Other
// hosts on a packet's path only say what they know.
bool keeps_records_of(step_context& step, std::uint32_t service_slot)
{
    core_state& state = step.state;
    const host_id self = state.hosts.self.id;
    if (is_keeper(current_keepers(state, service_slot), self))
    {
        return true;
    }
    const auto& views = state.views.views;
    for (std::size_t i = 1; i < views.size() && step.now - views[i].superseded <= overlap_span; ++i)
    {
        if (is_keeper(keepers_in(views[i], state.known.services[service_slot].id), self))
        {
            return true;
        }
    }
    return false;
}

// The record that a deposit leaves here: the one that was here already, or the header's.
flow_entry* record_of_deposit(step_context& step, const packet_in_hand& hand,
                              const relay_header& header, std::uint32_t backend_slot)
{
    core_state& state = step.state;
    flow_entry* entry = find_record(state, hand.key);
    const bool opening = hand.packet.role == packet_role::opening;
    if (entry == nullptr && !keeps_records_of(step, hand.service_slot))
    {
        return nullptr;
    }
    if (entry == nullptr)
    {
        ++state.counters[counter::records_taken];
        flow_entry& added = add_record(step, hand.key, hand.service_slot, backend_slot);
        added.rank = header.rank;
        added.created = stamp_of(step.now - header.age);
        return &added;
    }
    if (entry->backend_slot == backend_slot)
    {
        entry->rank = std::max(entry->rank, header.rank);
        if (opening)
        {
            entry->created = stamp_of(step.now);
        }
        const bool over = entry->phase != flow_phase::open;
        if (over && opening)
        {
            change_phase(state, *entry, flow_phase::open);
        }
        return entry;
    }
    const bool outlived = opening && judge_reuse(step, hand, *entry) != reuse::keep;
    if (outlived || is_outranked(step, *entry, {header.rank, header.age, header.backend}))
    {
        flow_entry& replaced = add_record(step, hand.key, hand.service_slot, backend_slot);
        replaced.rank = header.rank;
        replaced.created = stamp_of(step.now - header.age);
        return &replaced;
    }
    ++state.counters[counter::choices_overridden];
    return entry;
}

void update_from_deposit(step_context& step, flow_entry& entry, const packet_in_hand& hand,
                         const relay_header& header)
{
    note_packet(step, entry, hand.packet);
    entry.passes += entry.passes < max_passes ? 1 : 0;
    entry.refreshed = stamp_of(step.now);
    entry.confirmed = true;
    entry.partner_slot = host_slot(step.state, header.coordinator);
}

void finish_deposit(step_context& step, const packet_in_hand& hand, const relay_header& header,
                    flow_entry& entry)
{
    entry.rank = raise_rank(entry.rank, flow_rank::opened);
    note_progress(entry, hand.packet);
    send_to_backend(step, entry.backend_slot, hand.packet);
    const bool overridden = step.state.known.backends[entry.backend_slot].id != header.backend;
    if (header.wants_confirmation || overridden)
    {
        queue_hint(step, header.coordinator, entry);
    }
    const bool worth = entry.passes >= passes_before_hint;
    if (worth && header.ingress != header.coordinator && hand.packet.role == packet_role::mid_flow)
    {
        queue_hint(step, header.ingress, entry);
    }
}

} // namespace

flow_entry* find_record(core_state& state, const flow_key& key)
{
    flow_entry* entry = state.flows.find(key);
    const bool is_record = entry != nullptr && entry->role == flow_role::record;
    return is_record ? entry : nullptr;
}

reuse judge_reuse(const step_context& step, const packet_in_hand& hand, const flow_entry& entry)
{
    const backend_runtime& backend = step.state.known.backends[entry.backend_slot];
    const bool same_service = entry.service_slot == hand.service_slot;
    const bool young = since(entry.created, step.now) < racing_span;
    if (same_service && (backend.takes_flows || (young && entry.phase == flow_phase::open)))
    {
        return reuse::keep;
    }
    // The old backend server gets no new work. Hints to it may be left for a while.
    const bool hints_gone = since(entry.last_seen, step.now) >= hint_lifetime;
    return hints_gone ? reuse::replace : reuse::drop;
}

bool needs_settling(const core_state& state, const flow_entry& entry, const packet_view& packet,
                    millis now)
{
    if (is_provisional(entry.rank))
    {
        return has_grant(state.hosts, now);
    }
    const bool trouble = now - state.hosts.last_trouble < settling_span;
    if (packet.role == packet_role::opening)
    {
        const bool fresh = since(entry.created, now) < fresh_choice_span;
        return entry.rank < flow_rank::opened && !fresh;
    }
    // While hosts could not reach each other, the caller may have gone on with another choice.
    const bool datagram = packet.tuple.protocol == transport::udp;
    const flow_rank sure = trouble && !datagram ? flow_rank::established : flow_rank::opened;
    return worth_of(entry) < sure;
}

void send_through_keepers(step_context& step, const packet_in_hand& hand, flow_entry& entry)
{
    entry.passes += entry.passes < max_passes ? 1 : 0;
    const bool settles = needs_settling(step.state, entry, hand.packet, step.now);
    const host_path chain =
        chain_of(step, hand.service_slot, settles ? settling_span : overlap_span);
    if (chain.empty())
    {
        entry.confirmed = true;
        entry.rank = raise_rank(entry.rank, flow_rank::opened);
        entry.partner_slot = no_host_slot;
        entry.refreshed = stamp_of(step.now);
        send_to_backend(step, entry.backend_slot, hand.packet);
        return;
    }
    const backend_runtime& backend = step.state.known.backends[entry.backend_slot];
    relay_header header = make_header(step, hand, relay_kind::replicate);
    header.coordinator = step.state.hosts.self.id;
    const bool stale = since(entry.refreshed, step.now) >= refresh_after;
    header.wants_confirmation = stale || settles || !is_confirmed(step.state, entry);
    header.rank = worth_of(entry);
    header.age = since(entry.created, step.now);
    header.service = step.state.known.services[entry.service_slot].id;
    header.backend = backend.id;
    header.backend_packet_endpoint = backend.packets;
    header.path = chain;
    pass_along(step, header, hand);
}

void take_deposit(step_context& step, packet_in_hand& hand, const relay_header& header)
{
    core_state& state = step.state;
    const std::uint32_t named = learn_backend(state.known, header.backend, hand.service_slot,
                                              header.backend_packet_endpoint);
    if (state.known.backends[named].service_slot != hand.service_slot)
    {
        // A backend server of another service: never send there.
        ++state.counters[counter::dropped_unknown_backend];
        return;
    }
    flow_entry* entry = record_of_deposit(step, hand, header, named);
    relay_header onward = header;
    onward.hops = static_cast<std::uint8_t>(hand.hops + 1);
    if (entry != nullptr)
    {
        update_from_deposit(step, *entry, hand, header);
        onward.rank = worth_of(*entry);
        onward.age = since(entry->created, step.now);
        onward.backend = state.known.backends[entry->backend_slot].id;
        onward.backend_packet_endpoint = state.known.backends[entry->backend_slot].packets;
    }
    if (!header.path.empty())
    {
        pass_along(step, onward, hand);
        return;
    }
    flow_entry passing;
    if (entry == nullptr)
    {
        // The last host is no keeper: it passes the packet on and keeps nothing.
        passing.key = hand.key;
        passing.service_slot = hand.service_slot;
        passing.backend_slot = named;
        passing.rank = header.rank;
        entry = &passing;
    }
    finish_deposit(step, hand, header, *entry);
}

} // namespace briarbarrow

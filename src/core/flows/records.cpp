#include "core/step_parts.hpp"

#include <algorithm>

namespace briarbarrow
{

namespace
{

constexpr std::size_t max_host_slot = 0xffff;

bool is_in_flight(const flow_entry& entry)
{
    // A closing flow is not counted: nearly all callers that have sent FIN have their response.
    return entry.role == flow_role::record && entry.phase == flow_phase::open;
}

void decrement_in_flight(core_state& state, const flow_entry& entry)
{
    std::uint32_t& in_flight = state.known.backends[entry.backend_slot].in_flight;
    in_flight -= in_flight > 0 ? 1 : 0;
}

void increment_in_flight(core_state& state, const flow_entry& entry)
{
    ++state.known.backends[entry.backend_slot].in_flight;
}

} // namespace

owner_pair current_owners(core_state& state, std::uint32_t service_slot)
{
    service_runtime& service = state.known.services[service_slot];
    const view& newest = state.views.views.front();
    if (service.owners_view != newest.number)
    {
        service.owners = owners_in(newest, service.id);
        service.owners_view = newest.number;
        const host_id other = other_owner(service.owners, state.hosts.self.id);
        service.partner_slot = host_slot(state, other);
    }
    return service.owners;
}

bool is_replicated(core_state& state, const flow_entry& entry)
{
    current_owners(state, entry.service_slot);
    const service_runtime& service = state.known.services[entry.service_slot];
    return entry.confirmed && entry.confirmed_by_slot == service.partner_slot;
}

std::uint16_t host_slot(core_state& state, host_id host)
{
    if (host == host_id::none)
    {
        return no_host_slot;
    }
    const auto known = state.hosts.others.find(host);
    const std::uint64_t incarnation =
        known == state.hosts.others.end() ? 0 : known->second.info.incarnation;
    const auto found = state.slot_of_host.find(host);
    if (found != state.slot_of_host.end() &&
        state.host_slots[found->second].incarnation == incarnation)
    {
        return found->second;
    }
    std::size_t slot = state.host_slots.size();
    if (slot > max_host_slot)
    {
        // Slots are reused in the order of their assignment. After 65,535 further assignments no
        // entry refers to the old host any more.
        slot = 1 + state.reused_host_slots++ % max_host_slot;
        state.host_slots[slot] = {};
    }
    else
    {
        state.host_slots.emplace_back();
    }
    state.host_slots[slot] = host_instance{host, incarnation};
    state.slot_of_host[host] = static_cast<std::uint16_t>(slot);
    return static_cast<std::uint16_t>(slot);
}

flow_entry& add_record(step_context& step, const flow_key& key, std::uint32_t service_slot,
                       std::uint32_t backend_slot)
{
    flow_entry* entry = step.state.flows.find(key);
    if (entry == nullptr)
    {
        entry = &step.state.flows.insert(key);
    }
    else if (is_in_flight(*entry))
    {
        decrement_in_flight(step.state, *entry);
    }
    *entry = flow_entry{};
    entry->key = key;
    entry->role = flow_role::record;
    entry->service_slot = service_slot;
    entry->backend_slot = backend_slot;
    entry->opened_at = stamp_of(step.now);
    entry->last_seen = entry->opened_at;
    entry->refreshed_at = entry->opened_at;
    const bool partitioned = !has_quorum_lease(step.state.hosts, step.now);
    entry->partition_epoch =
        static_cast<std::uint8_t>(step.state.hosts.lease_epoch - (partitioned ? 0 : 1));
    increment_in_flight(step.state, *entry);
    return *entry;
}

bool is_outranked(const step_context& step, const flow_entry& entry, const record_claim& claim)
{
    // No packet was seen since the other record's flow began: this record belongs to an earlier
    // flow.
    const bool is_older_flow = since(entry.last_seen, step.now) > claim.age + age_tolerance;
    if (entry.blocked || is_older_flow)
    {
        return true;
    }
    const flow_rank own_rank = effective_rank(entry);
    const int own_certainty = certainty(own_rank);
    const int claimed_certainty = certainty(claim.rank);
    if (own_certainty != claimed_certainty)
    {
        return claimed_certainty > own_certainty;
    }
    if (own_certainty == certainty(flow_rank::opened))
    {
        // The caller continues with the last opening packet that reached a backend server.
        return claim.age < since(entry.opened_at, step.now);
    }
    if (own_rank != claim.rank || own_certainty == certainty(flow_rank::established))
    {
        return claim.rank > own_rank;
    }
    const backend_id chosen = step.state.known.backends[entry.backend_slot].id;
    const auto score = [&entry](backend_id backend)
    {
        return mix(entry.key.low, static_cast<std::uint64_t>(backend));
    };
    return score(claim.backend) > score(chosen);
}

void change_backend(core_state& state, flow_entry& entry, std::uint32_t backend_slot)
{
    if (is_in_flight(entry))
    {
        decrement_in_flight(state, entry);
    }
    entry.backend_slot = backend_slot;
    if (is_in_flight(entry))
    {
        increment_in_flight(state, entry);
    }
}

void change_phase(core_state& state, flow_entry& entry, flow_phase phase)
{
    const bool before = is_in_flight(entry);
    entry.phase = phase;
    const bool after = is_in_flight(entry);
    if (before && !after)
    {
        decrement_in_flight(state, entry);
        ++state.counters[counter::flows_ended];
    }
    if (!before && after)
    {
        increment_in_flight(state, entry);
    }
}

millis hint_retention(const core_state& state, const flow_entry& entry)
{
    const service_runtime& service = state.known.services[entry.service_slot];
    const bool strict = service.at_most_once && service.protocol == transport::udp;
    return strict ? std::max(service.idle_timeout, hint_lifetime) : hint_lifetime;
}

void promote_hint(core_state& state, flow_entry& entry)
{
    entry.role = flow_role::record;
    entry.phase = flow_phase::open;
    entry.confirmed = false;
    increment_in_flight(state, entry);
}

void demote_record(core_state& state, flow_entry& entry)
{
    if (is_in_flight(entry))
    {
        decrement_in_flight(state, entry);
    }
    entry.role = flow_role::hint;
}

bool is_from_current_partition(const core_state& state, const flow_entry& entry)
{
    constexpr unsigned epoch_mask = 0xf;
    return entry.partition_epoch == (state.hosts.lease_epoch & epoch_mask);
}

void observe_progress(flow_entry& entry, const packet_view& packet)
{
    if (packet.role == packet_role::mid_flow)
    {
        entry.rank = raise_rank(entry.rank, flow_rank::established);
    }
}

void observe_packet(step_context& step, flow_entry& entry, const packet_view& packet)
{
    entry.last_seen = stamp_of(step.now);
    if (packet.is_reset)
    {
        change_phase(step.state, entry, flow_phase::ended);
        return;
    }
    if (packet.role == packet_role::closing && entry.phase == flow_phase::open)
    {
        change_phase(step.state, entry, flow_phase::closing);
    }
}

} // namespace briarbarrow

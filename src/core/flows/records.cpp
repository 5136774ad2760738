#include "core/step_parts.hpp"

#include <algorithm>

namespace briarbarrow
{

namespace
{

constexpr std::size_t max_host_slot = 0xffff;

bool is_counted(const flow_entry& entry)
{
    // A caller that has sent FIN has, but for a few, what it wanted.
    return entry.role == flow_role::record && entry.phase == flow_phase::open;
}

void count_out(core_state& state, const flow_entry& entry)
{
    std::uint32_t& in_flight = state.known.backends[entry.backend_slot].in_flight;
    in_flight -= in_flight > 0 ? 1 : 0;
}

void count_in(core_state& state, const flow_entry& entry)
{
    ++state.known.backends[entry.backend_slot].in_flight;
}

} // namespace

keeper_pair current_keepers(core_state& state, std::uint32_t service_slot)
{
    service_runtime& service = state.known.services[service_slot];
    const view& newest = state.views.views.front();
    if (service.keepers_view != newest.number)
    {
        service.keepers = keepers_in(newest, service.id);
        service.keepers_view = newest.number;
        const host_id partner = partner_in(service.keepers, state.hosts.self.id);
        service.partner_slot = host_slot(state, partner);
    }
    return service.keepers;
}

bool is_confirmed(core_state& state, const flow_entry& entry)
{
    current_keepers(state, entry.service_slot);
    const service_runtime& service = state.known.services[entry.service_slot];
    return entry.confirmed && entry.partner_slot == service.partner_slot;
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
        // So many starts ago that no entry refers to the first ones any more.
        slot = 1 + state.reused_host_slots++ % max_host_slot;
        state.host_slots[slot] = {};
    }
    else
    {
        state.host_slots.emplace_back();
    }
    state.host_slots[slot] = host_slot_entry{host, incarnation};
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
    else if (is_counted(*entry))
    {
        count_out(step.state, *entry);
    }
    *entry = flow_entry{};
    entry->key = key;
    entry->role = flow_role::record;
    entry->service_slot = service_slot;
    entry->backend_slot = backend_slot;
    entry->created = stamp_of(step.now);
    entry->last_seen = entry->created;
    entry->refreshed = entry->created;
    const bool cut_off = !has_grant(step.state.hosts, step.now);
    entry->cut = static_cast<std::uint8_t>(step.state.hosts.cuts - (cut_off ? 0 : 1));
    count_in(step.state, *entry);
    return *entry;
}

bool is_outranked(const step_context& step, const flow_entry& entry, const record_claim& claim)
{
    // Nothing was heard of it since the other flow began: it is of an earlier flow.
    const bool outlived = since(entry.last_seen, step.now) > claim.age + clock_tolerance;
    if (entry.barred || outlived)
    {
        return true;
    }
    const flow_rank worth = worth_of(entry);
    const int own = certainty(worth);
    const int told = certainty(claim.rank);
    if (own != told)
    {
        return told > own;
    }
    if (own == certainty(flow_rank::opened))
    {
        // The caller answers the last opening that reached a backend server.
        return claim.age < since(entry.created, step.now);
    }
    if (worth != claim.rank || own == certainty(flow_rank::established))
    {
        return claim.rank > worth;
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
    if (is_counted(entry))
    {
        count_out(state, entry);
    }
    entry.backend_slot = backend_slot;
    if (is_counted(entry))
    {
        count_in(state, entry);
    }
}

void change_phase(core_state& state, flow_entry& entry, flow_phase phase)
{
    const bool before = is_counted(entry);
    entry.phase = phase;
    const bool after = is_counted(entry);
    if (before && !after)
    {
        count_out(state, entry);
        ++state.counters[counter::flows_ended];
    }
    if (!before && after)
    {
        count_in(state, entry);
    }
}

millis hint_memory(const core_state& state, const flow_entry& entry)
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
    count_in(state, entry);
}

void demote_record(core_state& state, flow_entry& entry)
{
    if (is_counted(entry))
    {
        count_out(state, entry);
    }
    entry.role = flow_role::hint;
}

bool is_of_this_cut(const core_state& state, const flow_entry& entry)
{
    constexpr unsigned cut_mask = 0xf;
    return entry.cut == (state.hosts.cuts & cut_mask);
}

void note_progress(flow_entry& entry, const packet_view& packet)
{
    if (packet.role == packet_role::mid_flow)
    {
        entry.rank = raise_rank(entry.rank, flow_rank::established);
    }
}

void note_packet(step_context& step, flow_entry& entry, const packet_view& packet)
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

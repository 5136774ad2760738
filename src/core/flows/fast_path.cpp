// The fast path (path 1 in core.hpp): the ingress sends the packet straight to the backend server.
// Nothing here allocates.
#include "core/step_parts.hpp"

namespace briarbarrow
{

namespace
{

// True when an entry may be used without visiting the record owners.
bool is_usable(core_state& state, const flow_entry& entry, const packet_view& packet, millis now)
{
    const bool fresh = since(entry.refreshed_at, now) < hint_lifetime;
    // A choice made during a partition is reconciled with the other side after the partition ends.
    const bool may_reconcile =
        has_quorum_lease(state.hosts, now) || !is_from_current_partition(state, entry);
    const bool unreconciled = is_provisional(entry.rank) && may_reconcile;
    if (packet.role != packet_role::mid_flow || !fresh || unreconciled)
    {
        return false;
    }
    if (entry.role == flow_role::hint)
    {
        return true;
    }
    // The other current owner must have the record; otherwise this packet has to carry it there.
    return is_replicated(state, entry) && !needs_reconciliation(state, entry, packet, now);
}

void forward_to_primary(step_context& step, const routed_packet& routed, host_id primary)
{
    relay_header header;
    header.kind = relay_kind::forward;
    header.hops = 1;
    header.ingress = routed.ingress;
    header.service = step.state.known.services[routed.service_slot].id;
    send_relay(step, primary, header, routed.packet);
}

void send_to_coordinator(step_context& step, const routed_packet& routed, const flow_entry* entry)
{
    const host_id self = step.state.hosts.self.id;
    const owner_pair owners = current_owners(step.state, routed.service_slot);
    const bool owned_here =
        entry != nullptr && entry->role == flow_role::record && is_owner(owners, self);
    const bool alone = owners.primary == host_id::none;
    if (owned_here || alone || owners.primary == self)
    {
        coordinate(step, routed);
        return;
    }
    forward_to_primary(step, routed, owners.primary);
}

} // namespace

std::optional<packet_view> parse_and_count(step_context& step, std::span<const std::uint8_t> bytes)
{
    const auto parsed = parse_packet(bytes);
    if (!parsed)
    {
        const auto reason = static_cast<std::size_t>(parsed.error());
        ++step.state.counters[counter_after(counter::bad_packet_truncated, reason)];
        return std::nullopt;
    }
    return parsed.value();
}

void handle_fabric_packet(step_context& step, std::span<const std::uint8_t> bytes)
{
    core_state& state = step.state;
    const auto parsed = parse_and_count(step, bytes);
    if (!parsed)
    {
        return;
    }
    const packet_view& packet = *parsed;
    ++state.counters[counter::packets_from_fabric];
    const flow_key key = flow_key_of(packet.tuple);
    flow_entry* entry = state.flows.find(key);
    if (entry != nullptr && is_usable(state, *entry, packet, step.now))
    {
        entry->last_seen = stamp_of(step.now);
        observe_progress(*entry, packet);
        send_to_backend(step, entry->backend_slot, packet);
        return;
    }
    const auto service_slot = find_service(state.known, packet.tuple);
    if (!service_slot)
    {
        ++state.counters[counter::dropped_unknown_service];
        return;
    }
    const routed_packet routed{packet, key, *service_slot, state.hosts.self.id, host_id::none, 0};
    if (entry != nullptr && entry->role == flow_role::hint && packet.role != packet_role::mid_flow)
    {
        // Record owners handle opening and closing packets; the flow of this hint may have ended.
        state.flows.erase(key);
        entry = nullptr;
    }
    send_to_coordinator(step, routed, entry);
}

} // namespace briarbarrow

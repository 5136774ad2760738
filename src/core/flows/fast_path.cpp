// Way 1 of a packet: the ingress knows where it goes. Nothing here allocates.
#include "core/step_parts.hpp"

namespace briarbarrow
{

namespace
{

// True when an entry may be used without asking the keepers.
bool is_usable(core_state& state, const flow_entry& entry, const packet_view& packet, millis now)
{
    const bool fresh = since(entry.refreshed, now) < hint_lifetime;
    // A choice made during a cut is settled with the other side once it is reached again.
    const bool settling = has_grant(state.hosts, now) || !is_of_this_cut(state, entry);
    const bool unsettled = is_provisional(entry.rank) && settling;
    if (packet.role != packet_role::mid_flow || !fresh || unsettled)
    {
        return false;
    }
    if (entry.role == flow_role::hint)
    {
        return true;
    }
    // A record must be with its other keeper of today, or the packet has to take it there.
    return is_confirmed(state, entry) && !needs_settling(state, entry, packet, now);
}

void forward_to_primary(step_context& step, const packet_in_hand& hand, host_id primary)
{
    relay_header header;
    header.kind = relay_kind::forward;
    header.hops = 1;
    header.ingress = hand.ingress;
    header.service = step.state.known.services[hand.service_slot].id;
    send_relay(step, primary, header, hand.packet);
}

void pass_to_keepers(step_context& step, const packet_in_hand& hand, const flow_entry* entry)
{
    const host_id self = step.state.hosts.self.id;
    const keeper_pair keepers = current_keepers(step.state, hand.service_slot);
    const bool kept_here =
        entry != nullptr && entry->role == flow_role::record && is_keeper(keepers, self);
    const bool alone = keepers.primary == host_id::none;
    if (kept_here || alone || keepers.primary == self)
    {
        coordinate(step, hand);
        return;
    }
    forward_to_primary(step, hand, keepers.primary);
}

} // namespace

std::optional<packet_view> parse_counted(step_context& step, std::span<const std::uint8_t> bytes)
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

void take_fabric_packet(step_context& step, std::span<const std::uint8_t> bytes)
{
    core_state& state = step.state;
    const auto parsed = parse_counted(step, bytes);
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
        note_progress(*entry, packet);
        send_to_backend(step, entry->backend_slot, packet);
        return;
    }
    const auto service_slot = find_service(state.known, packet.tuple);
    if (!service_slot)
    {
        ++state.counters[counter::dropped_unknown_service];
        return;
    }
    const packet_in_hand hand{packet, key, *service_slot, state.hosts.self.id, host_id::none, 0};
    if (entry != nullptr && entry->role == flow_role::hint && packet.role != packet_role::mid_flow)
    {
        // Openings and closings are the keepers' to judge; what was known here may be over.
        state.flows.erase(key);
        entry = nullptr;
    }
    pass_to_keepers(step, hand, entry);
}

} // namespace briarbarrow

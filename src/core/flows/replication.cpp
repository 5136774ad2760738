// Replicates a record to the other owners inside the flow's own packets, and decides which of two
// conflicting records stays.
#include <algorithm>

#include "core/step_parts.hpp"

namespace briarbarrow
{

namespace
{

// The ingress gets a hint once this many packets of a flow took the slow path; shorter flows do not
// repay the cost.
constexpr std::uint8_t min_packets_before_hint = 3;
// A choice younger than this may still be in transit to its backend server.
constexpr millis in_transit_window{1'000};
// The coordinator requests a new confirmation after this time.
constexpr millis refresh_interval{4'000};

// True when this host owns a service's records, or may still own them in another host's view. Other
// hosts on a packet's path only report a record that they have.
bool may_own_records_of(step_context& step, std::uint32_t service_slot)
{
    core_state& state = step.state;
    const host_id self = state.hosts.self.id;
    if (is_owner(current_owners(state, service_slot), self))
    {
        return true;
    }
    const auto& views = state.views.views;
    for (std::size_t i = 1;
         i < views.size() && step.now - views[i].superseded_at <= view_overlap_window; ++i)
    {
        if (is_owner(owners_in(views[i], state.known.services[service_slot].id), self))
        {
            return true;
        }
    }
    return false;
}

// Returns the record to keep on this host, which is either the existing one or the one from the
// header. Null if there is none here and this host owns no records of the service.
flow_entry* store_replicated_record(step_context& step, const routed_packet& routed,
                                    const relay_header& header, std::uint32_t backend_slot)
{
    core_state& state = step.state;
    flow_entry* entry = find_record(state, routed.key);
    const bool opening = routed.packet.role == packet_role::opening;
    if (entry == nullptr && !may_own_records_of(step, routed.service_slot))
    {
        return nullptr;
    }
    if (entry == nullptr)
    {
        ++state.counters[counter::records_taken];
        flow_entry& added = add_record(step, routed.key, routed.service_slot, backend_slot);
        added.rank = header.rank;
        added.opened_at = stamp_of(step.now - header.age);
        return &added;
    }
    if (entry->backend_slot == backend_slot)
    {
        entry->rank = std::max(entry->rank, header.rank);
        if (opening)
        {
            entry->opened_at = stamp_of(step.now);
        }
        const bool is_closed = entry->phase != flow_phase::open;
        if (is_closed && opening)
        {
            change_phase(state, *entry, flow_phase::open);
        }
        return entry;
    }
    const bool is_replaceable =
        opening && decide_reuse(step, routed, *entry) != reuse_decision::keep;
    if (is_replaceable || is_outranked(step, *entry, {header.rank, header.age, header.backend}))
    {
        flow_entry& replaced = add_record(step, routed.key, routed.service_slot, backend_slot);
        replaced.rank = header.rank;
        replaced.opened_at = stamp_of(step.now - header.age);
        return &replaced;
    }
    ++state.counters[counter::choices_overridden];
    return entry;
}

void refresh_replicated_record(step_context& step, flow_entry& entry, const routed_packet& routed,
                               const relay_header& header)
{
    observe_packet(step, entry, routed.packet);
    entry.slow_path_packets += entry.slow_path_packets < max_slow_path_packets ? 1 : 0;
    entry.refreshed_at = stamp_of(step.now);
    entry.confirmed = true;
    entry.confirmed_by_slot = host_slot(step.state, header.coordinator);
}

void deliver_to_backend(step_context& step, const routed_packet& routed, const relay_header& header,
                        flow_entry& entry)
{
    entry.rank = raise_rank(entry.rank, flow_rank::opened);
    observe_progress(entry, routed.packet);
    send_to_backend(step, entry.backend_slot, routed.packet);
    const bool overridden = step.state.known.backends[entry.backend_slot].id != header.backend;
    if (header.wants_confirmation || overridden)
    {
        queue_hint(step, header.coordinator, entry);
    }
    const bool is_long_enough = entry.slow_path_packets >= min_packets_before_hint;
    if (is_long_enough && header.ingress != header.coordinator &&
        routed.packet.role == packet_role::mid_flow)
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

reuse_decision decide_reuse(const step_context& step, const routed_packet& routed,
                            const flow_entry& entry)
{
    const backend_runtime& backend = step.state.known.backends[entry.backend_slot];
    const bool same_service = entry.service_slot == routed.service_slot;
    const bool young = since(entry.opened_at, step.now) < concurrent_choice_window;
    if (same_service && (backend.accepts_flows || (young && entry.phase == flow_phase::open)))
    {
        return reuse_decision::keep;
    }
    // The old backend server gets no new flows, but hints to it may exist for up to hint_lifetime.
    const bool hints_gone = since(entry.last_seen, step.now) >= hint_lifetime;
    return hints_gone ? reuse_decision::replace : reuse_decision::drop;
}

bool needs_reconciliation(const core_state& state, const flow_entry& entry,
                          const packet_view& packet, millis now)
{
    if (is_provisional(entry.rank))
    {
        return has_quorum_lease(state.hosts, now);
    }
    const bool recent_partition = now - state.hosts.last_degraded < reconciliation_window;
    if (packet.role == packet_role::opening)
    {
        const bool fresh = since(entry.opened_at, now) < in_transit_window;
        return entry.rank < flow_rank::opened && !fresh;
    }
    // During a partition, the caller may have continued with another host's choice.
    const bool datagram = packet.tuple.protocol == transport::udp;
    const flow_rank required_rank =
        recent_partition && !datagram ? flow_rank::established : flow_rank::opened;
    return effective_rank(entry) < required_rank;
}

void send_through_owners(step_context& step, const routed_packet& routed, flow_entry& entry)
{
    entry.slow_path_packets += entry.slow_path_packets < max_slow_path_packets ? 1 : 0;
    const bool reconciles = needs_reconciliation(step.state, entry, routed.packet, step.now);
    const host_path path = make_replication_path(
        step, routed.service_slot, reconciles ? reconciliation_window : view_overlap_window);
    if (path.empty())
    {
        entry.confirmed = true;
        entry.rank = raise_rank(entry.rank, flow_rank::opened);
        entry.confirmed_by_slot = no_host_slot;
        entry.refreshed_at = stamp_of(step.now);
        send_to_backend(step, entry.backend_slot, routed.packet);
        return;
    }
    const backend_runtime& backend = step.state.known.backends[entry.backend_slot];
    relay_header header = make_relay_header(step, routed, relay_kind::replicate);
    header.coordinator = step.state.hosts.self.id;
    const bool stale = since(entry.refreshed_at, step.now) >= refresh_interval;
    header.wants_confirmation = stale || reconciles || !is_replicated(step.state, entry);
    header.rank = effective_rank(entry);
    header.age = since(entry.opened_at, step.now);
    header.service = step.state.known.services[entry.service_slot].id;
    header.backend = backend.id;
    header.backend_packet_endpoint = backend.packets;
    header.path = path;
    forward_along_path(step, header, routed);
}

void handle_replication(step_context& step, routed_packet& routed, const relay_header& header)
{
    core_state& state = step.state;
    const std::uint32_t header_backend = find_or_add_backend(
        state.known, header.backend, routed.service_slot, header.backend_packet_endpoint);
    if (state.known.backends[header_backend].service_slot != routed.service_slot)
    {
        // A packet must never reach a backend server of another service.
        ++state.counters[counter::dropped_unknown_backend];
        return;
    }
    flow_entry* entry = store_replicated_record(step, routed, header, header_backend);
    relay_header onward = header;
    onward.hops = static_cast<std::uint8_t>(routed.hops + 1);
    if (entry != nullptr)
    {
        refresh_replicated_record(step, *entry, routed, header);
        onward.rank = effective_rank(*entry);
        onward.age = since(entry->opened_at, step.now);
        onward.backend = state.known.backends[entry->backend_slot].id;
        onward.backend_packet_endpoint = state.known.backends[entry->backend_slot].packets;
    }
    if (!header.path.empty())
    {
        forward_along_path(step, onward, routed);
        return;
    }
    flow_entry transient;
    if (entry == nullptr)
    {
        // The last host on the path is not an owner: it forwards the packet and stores nothing.
        transient.key = routed.key;
        transient.service_slot = routed.service_slot;
        transient.backend_slot = header_backend;
        transient.rank = header.rank;
        entry = &transient;
    }
    deliver_to_backend(step, routed, header, *entry);
}

} // namespace briarbarrow

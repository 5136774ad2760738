// The coordinator's part in handling a packet: steps 2 to 5 of the packet path in core.hpp. It
// places new flows on backend servers, follows records of known flows and searches other hosts for
// flows that it does not know.
#include <algorithm>

#include "core/placement/choice.hpp"
#include "core/step_parts.hpp"

namespace briarbarrow
{

namespace
{

// Hosts whose views differ may each name another primary. After this many forwards, the host that
// has the packet coordinates it whatever its own view says.
constexpr std::uint8_t max_forwards = 3;

// Chooses a backend server for a new flow, writes the record and sends the packet to the backend
// server through the other owners.
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
        // No packet of this flow has reached a backend server, so refusing it is safe.
        ++state.counters[counter::openings_refused];
        send_reset(step, routed.packet);
        return;
    }
    ++state.counters[counter::flows_opened];
    ++state.known.backends[*backend_slot].opened;
    flow_entry& entry = add_record(step, routed.key, routed.service_slot, *backend_slot);
    const bool has_lease = has_quorum_lease(state.hosts, step.now);
    entry.rank = has_lease ? flow_rank::choice : flow_rank::provisional_choice;
    send_through_owners(step, routed, entry);
}

// True when this host may choose a backend server for a new flow now; counts the reason otherwise.
// It has to be live, or be leaving with no other host to take over. It also needs a quorum lease,
// or has to be isolated for so long that it serves alone; an isolated host still never places
// datagrams of at-most-once services, which the other side of the partition may have run.
bool can_place_flow(step_context& step, const routed_packet& routed)
{
    core_state& state = step.state;
    const bool has_lease = has_quorum_lease(state.hosts, step.now);
    const bool isolated = is_isolated(state.hosts, step.now);
    const bool live = state.hosts.state == host_state::live;
    const bool last_host = state.hosts.state == host_state::leaving &&
                           current_owners(state, routed.service_slot).primary == host_id::none;
    if (!live && !last_host)
    {
        ++state.counters[counter::dropped_no_keeper];
        return false;
    }
    const bool at_most_once_datagram = state.known.services[routed.service_slot].at_most_once &&
                                       routed.packet.tuple.protocol == transport::udp;
    if (!has_lease && (!isolated || at_most_once_datagram))
    {
        ++state.counters[counter::dropped_no_grant];
        return false;
    }
    return true;
}

// Handles an opening packet whose flow has a record: a retransmission, a new connection from the
// same address and port, or a packet that has to be dropped while the old flow is quarantined.
void reopen_flow(step_context& step, const routed_packet& routed, flow_entry& entry)
{
    switch (decide_reuse(step, routed, entry))
    {
    case reuse_decision::drop:
        ++step.state.counters[counter::dropped_quarantine];
        return;
    case reuse_decision::replace:
        ++step.state.counters[counter::flows_replaced];
        if (can_place_flow(step, routed))
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

// Takes a token from the search rate limit; counts the drop and returns false when there is none.
bool consume_search_token(step_context& step)
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

// True when a flow is remembered as one that must not be placed again; see block_flow.
bool is_blocked(core_state& state, const flow_key& key)
{
    const flow_entry* entry = state.flows.find(key);
    return entry != nullptr && entry->blocked;
}

// Drops a datagram that may have reached a backend server before, and remembers its flow in an
// entry without a backend server. Each retransmission refreshes the entry, so the datagram is not
// placed again as long as the caller repeats it.
void block_flow(step_context& step, const routed_packet& routed)
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

// Decides about a packet whose flow no reachable host knows. `complete` is true when no host that
// may know the flow was unreachable. A TCP packet gets a reset, or is dropped after an incomplete
// search. A datagram is placed as a new flow; for an at-most-once service only when no earlier
// transmission can have reached a backend server.
void resolve_unknown_flow(step_context& step, const routed_packet& routed, bool complete)
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
    const bool at_most_once = state.known.services[routed.service_slot].at_most_once;
    if (at_most_once && !complete)
    {
        // An unreachable host may have the record. The caller's retransmission searches again.
        ++state.counters[counter::dropped_uncertain];
        return;
    }
    flow_entry* remembered = state.flows.find(routed.key);
    const bool sent_before = at_most_once && remembered != nullptr && !remembered->blocked &&
                             remembered->rank >= flow_rank::opened;
    if (sent_before)
    {
        // The records are lost, but this host's hint still says where the flow went.
        promote_hint(state, *remembered);
        send_through_owners(step, routed, *remembered);
        return;
    }
    const bool records_lost = lost_both_owners(step, routed.service_slot);
    if (at_most_once && (records_lost || is_blocked(state, routed.key)))
    {
        // The record may be lost with its owners, so placing the datagram could run it twice.
        block_flow(step, routed);
        return;
    }
    if (can_place_flow(step, routed))
    {
        place_flow(step, routed);
    }
}

// Sends a packet of an unknown flow along the hosts that may know the flow.
void start_search(step_context& step, const routed_packet& routed)
{
    const service_runtime& service = step.state.known.services[routed.service_slot];
    const host_path path = make_search_path(step, routed.service_slot, service.idle_timeout);
    const bool complete = is_search_complete(step);
    if (path.empty())
    {
        resolve_unknown_flow(step, routed, complete);
        return;
    }
    if (!consume_search_token(step))
    {
        return;
    }
    relay_header header = make_relay_header(step, routed, relay_kind::search);
    header.coordinator = step.state.hosts.self.id;
    header.is_path_complete = complete;
    header.path = path;
    forward_along_path(step, header, routed);
}

// True when a datagram of an unknown flow may belong to a flow that other hosts have records of:
// this host or the views changed within the service's idle timeout, or a host that may know the
// flow can't be reached.
bool may_be_known_elsewhere(const step_context& step, std::uint32_t service_slot)
{
    const core_state& state = step.state;
    const service_runtime& service = state.known.services[service_slot];
    const auto& views = state.views.views;
    const bool state_changed_recently = step.now - state.hosts.state_since < service.idle_timeout;
    const bool view_changed_recently =
        views.size() > 1 && step.now - views[1].superseded_at < service.idle_timeout;
    // With a full history, older views that still matter may have been dropped from it.
    const bool history_full =
        views.size() == max_views && step.now - views.back().superseded_at < service.idle_timeout;
    return state_changed_recently || view_changed_recently || history_full ||
           !is_search_complete(step);
}

// Handles a packet without a record here: places a flow that is new for certain, or else searches.
void coordinate_unknown(step_context& step, const routed_packet& routed)
{
    const bool datagram = routed.packet.tuple.protocol == transport::udp;
    const bool opening = routed.packet.role == packet_role::opening ||
                         (datagram && !may_be_known_elsewhere(step, routed.service_slot));
    if (!opening)
    {
        start_search(step, routed);
        return;
    }
    if (can_place_flow(step, routed))
    {
        place_flow(step, routed);
    }
}

// Handles a packet that is searching for its flow's record: follows the record if this host has
// one, otherwise passes the packet to the next host, or back to its coordinator from the last one.
void handle_search(step_context& step, routed_packet& routed, const relay_header& header)
{
    core_state& state = step.state;
    flow_entry* entry = state.flows.find(routed.key);
    const bool hint = entry != nullptr && entry->role == flow_role::hint;
    const bool fresh_hint =
        hint && since(entry->refreshed_at, step.now) < hint_retention(state, *entry);
    // A choice made during a partition is provisional, so a hint of it proves nothing.
    const bool reliable_hint = fresh_hint && !is_provisional(entry->rank);
    const bool knows = entry != nullptr && !entry->blocked && (!hint || reliable_hint);
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
        // The flow may have run before, so the coordinator must not place it as an unknown one.
        entry->last_seen = stamp_of(step.now);
        onward.is_path_complete = false;
    }
    if (onward.path.empty())
    {
        onward.kind = relay_kind::not_found;
        onward.path.push_back(header.coordinator);
    }
    forward_along_path(step, onward, routed);
}

// Handles a packet that comes back to its coordinator because no host on the path knew the flow.
void handle_absent(step_context& step, routed_packet& routed, const relay_header& header)
{
    // A record may have arrived while the packet was searching.
    const flow_entry* entry = find_record(step.state, routed.key);
    if (entry != nullptr && !entry->blocked)
    {
        coordinate(step, routed);
        return;
    }
    resolve_unknown_flow(step, routed, header.is_path_complete && is_search_complete(step));
}

// Handles a packet that another host forwarded to this one as the service's primary: coordinates
// it, or forwards it on if this host's view names another primary and the limit is not reached.
void handle_forward(step_context& step, routed_packet& routed)
{
    core_state& state = step.state;
    const host_id self = state.hosts.self.id;
    const owner_pair owners = current_owners(state, routed.service_slot);
    const bool known = find_record(state, routed.key) != nullptr && is_owner(owners, self);
    const bool must_coordinate = routed.hops >= max_forwards || owners.primary == host_id::none;
    if (known || must_coordinate || owners.primary == self)
    {
        coordinate(step, routed);
        return;
    }
    relay_header header = make_relay_header(step, routed, relay_kind::forward);
    send_relay(step, owners.primary, header, routed.packet);
}

} // namespace

namespace
{

// True for a record that must not be followed without asking the other side of the partition: it
// was made in an earlier partition, or the caller is past its opening packet although the record
// does not say that a packet was sent by it.
bool needs_reconciling(const core_state& state, const flow_entry& entry, const packet_view& packet)
{
    const bool left_over = is_provisional(entry.rank) && !is_from_current_partition(state, entry);
    const bool not_sent = certainty(entry.rank) < certainty(flow_rank::opened);
    return left_over || (not_sent && packet.role != packet_role::opening);
}

} // namespace

void coordinate(step_context& step, const routed_packet& routed)
{
    flow_entry* entry = find_record(step.state, routed.key);
    if (entry != nullptr && entry->blocked)
    {
        start_search(step, routed);
        return;
    }
    if (entry == nullptr)
    {
        coordinate_unknown(step, routed);
        return;
    }
    if (!has_quorum_lease(step.state.hosts, step.now) &&
        needs_reconciling(step.state, *entry, routed.packet))
    {
        // Without a lease this host can't ask the other side of the partition.
        ++step.state.counters[counter::dropped_incomplete_search];
        return;
    }
    if (routed.packet.role == packet_role::opening)
    {
        reopen_flow(step, routed, *entry);
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
    const bool named = header.kind == relay_kind::replicate;
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
        handle_forward(step, routed);
        break;
    case relay_kind::replicate:
        handle_replication(step, routed, header);
        break;
    case relay_kind::search:
        handle_search(step, routed, header);
        break;
    case relay_kind::not_found:
        handle_absent(step, routed, header);
        break;
    }
}

} // namespace briarbarrow

// The background sweep of the flow table visits a few segments at each tick.
//
// It expires entries and syncs records. A record that this host owns is sent to the other owner if
// that one is not known to have it. A record that this host no longer owns is sent to the service's
// primary. Active flows sync through the replication in their own packets, so only idle flows cost
// control bytes. Batches are rate-limited by a token bucket, retransmitted until they are
// acknowledged, and abandoned when their receiver becomes unreachable.
#include <algorithm>

#include "core/step_parts.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::size_t segments_per_tick = 8;
constexpr std::size_t max_batch_records = 20;
constexpr std::size_t max_batches = 4;
constexpr millis batch_retransmit_timeout{600};
// Size of a record in a batch, including its share of the headers. Unit: bytes.
constexpr std::int64_t record_wire_bytes = 38;
// Capacity of the token bucket for record batches. Unit: bytes.
constexpr std::int64_t max_record_tokens = 1'000;

millis idle_timeout_of(const core_state& state, const flow_entry& entry)
{
    if (entry.role == flow_role::hint)
    {
        return hint_retention(state, entry);
    }
    if (entry.blocked)
    {
        return state.known.services[entry.service_slot].idle_timeout;
    }
    switch (entry.phase)
    {
    case flow_phase::open:
        return state.known.services[entry.service_slot].idle_timeout;
    case flow_phase::closing:
        return closing_timeout;
    case flow_phase::ended:
        break;
    }
    return quarantine_duration;
}

// Advances the phase of an entry that has been idle for too long. Returns true if the entry is to
// be erased.
bool expire_entry(step_context& step, flow_entry& entry)
{
    core_state& state = step.state;
    const bool is_hint = entry.role == flow_role::hint;
    const std::uint32_t stamp = is_hint ? entry.refreshed_at : entry.last_seen;
    if (since(stamp, step.now) < idle_timeout_of(state, entry))
    {
        return false;
    }
    if (!is_hint && entry.phase == flow_phase::closing)
    {
        change_phase(state, entry, flow_phase::ended);
        return false;
    }
    if (!is_hint && entry.phase == flow_phase::open)
    {
        change_phase(state, entry, flow_phase::ended);
        ++state.counters[counter::flows_expired];
        // Hints on other hosts may be younger than the record, so the quarantine starts now.
        entry.last_seen = stamp_of(step.now);
        return false;
    }
    return true;
}

// True when a current owner is known to have a record that this host no longer owns.
bool is_owned_elsewhere(core_state& state, const flow_entry& entry)
{
    const owner_pair owners = current_owners(state, entry.service_slot);
    const host_id confirming_host = state.host_slots[entry.confirmed_by_slot].id;
    // If that host was restarted, it has lost the record and has a different slot.
    const bool same_start = host_slot(state, confirming_host) == entry.confirmed_by_slot;
    return !is_owner(owners, state.hosts.self.id) && entry.confirmed && same_start &&
           is_owner(owners, confirming_host);
}

// The host that a record has to be sent to; none if it is already at its owners.
host_id sync_destination(core_state& state, const flow_entry& entry)
{
    const owner_pair owners = current_owners(state, entry.service_slot);
    const host_id self = state.hosts.self.id;
    if (!is_owner(owners, self))
    {
        return owners.primary;
    }
    const host_id other = other_owner(owners, self);
    return is_replicated(state, entry) ? host_id::none : other;
}

bool needs_sync(const flow_entry& entry, millis now)
{
    const bool has_ended = entry.phase == flow_phase::ended;
    return entry.role == flow_role::record && !entry.blocked &&
           !(has_ended && since(entry.last_seen, now) > hint_lifetime);
}

pending_batch* batch_for(step_context& step, host_id to)
{
    sweep_state& sweep = step.state.sweep;
    for (pending_batch& batch : sweep.pending_batches)
    {
        if (batch.to == to && batch.number == 0)
        {
            return batch.entries.size() < max_batch_records ? &batch : nullptr;
        }
    }
    if (sweep.pending_batches.size() >= max_batches)
    {
        return nullptr;
    }
    sweep.pending_batches.push_back(pending_batch{to, 0, step.now, {}});
    return &sweep.pending_batches.back();
}

bool is_pending(const sweep_state& sweep, const flow_key& key)
{
    const auto has_key = [&key](const transferred_record& moved)
    {
        return moved.key == key;
    };
    const auto in_batch = [&has_key](const pending_batch& batch)
    {
        return std::any_of(batch.entries.begin(), batch.entries.end(), has_key);
    };
    return std::any_of(sweep.pending_batches.begin(), sweep.pending_batches.end(), in_batch);
}

transferred_record make_moved_record(const step_context& step, const flow_entry& entry)
{
    const backend_runtime& backend = step.state.known.backends[entry.backend_slot];
    transferred_record moved;
    moved.key = entry.key;
    moved.backend = backend.id;
    moved.rank = effective_rank(entry);
    moved.age_ms = static_cast<std::uint32_t>(since(entry.opened_at, step.now).count);
    moved.phase = static_cast<std::uint8_t>(entry.phase);
    moved.idle_ms = static_cast<std::uint32_t>(since(entry.last_seen, step.now).count);
    return moved;
}

// True for a record of a flow that began in the newest view, on a host that owns no records of its
// service in that view. It came with a replication that reached the owners too, and no packet would
// tell this host that the flow has ended.
bool is_non_owner_copy(const step_context& step, const flow_entry& entry)
{
    core_state& state = step.state;
    const millis view_age = step.now - state.views.views.front().since;
    const millis age = since(entry.opened_at, step.now);
    const bool is_current_owner =
        is_owner(current_owners(state, entry.service_slot), state.hosts.self.id);
    return !is_current_owner && !is_provisional(entry.rank) && age <= view_age &&
           age > view_overlap_window;
}

void queue_if_unsynced(step_context& step, flow_entry& entry)
{
    sweep_state& sweep = step.state.sweep;
    if (entry.role == flow_role::record && !entry.blocked && is_non_owner_copy(step, entry))
    {
        demote_record(step.state, entry);
        return;
    }
    if (entry.role == flow_role::record && !entry.blocked && is_owned_elsewhere(step.state, entry))
    {
        // One owner has the record, but the other may not: keep this one as a surplus record until
        // all hosts have synced. A choice made during a partition stays until it is reconciled.
        if (sweep.others_synced && !is_provisional(entry.rank))
        {
            demote_record(step.state, entry);
        }
        return;
    }
    if (!needs_sync(entry, step.now))
    {
        return;
    }
    const host_id to = sync_destination(step.state, entry);
    if (to == host_id::none)
    {
        return;
    }
    // A flow that began in the newest view replicates its record with its own packets.
    const millis view_age = step.now - step.state.views.views.front().since;
    const bool older_than_view = since(entry.opened_at, step.now) > view_age;
    sweep.round_unsynced_records += older_than_view ? 1 : 0;
    const bool has_tokens = sweep.record_tokens >= record_wire_bytes;
    if (!has_tokens || is_pending(sweep, entry.key))
    {
        return;
    }
    pending_batch* batch = batch_for(step, to);
    if (batch != nullptr)
    {
        batch->entries.push_back(make_moved_record(step, entry));
        sweep.record_tokens -= record_wire_bytes;
    }
}

void visit_segment(step_context& step, std::size_t index)
{
    const auto visit = [&step](flow_entry& entry)
    {
        if (expire_entry(step, entry))
        {
            return true;
        }
        queue_if_unsynced(step, entry);
        return false;
    };
    step.state.flows.sweep_segment(index, visit);
}

void refill_tokens(step_context& step)
{
    sweep_state& sweep = step.state.sweep;
    const std::int64_t elapsed = (step.now - sweep.record_tokens_refilled_at).count;
    const std::int64_t earned = elapsed * record_bytes_per_second / 1000;
    if (earned <= 0)
    {
        return;
    }
    sweep.record_tokens_refilled_at = step.now;
    sweep.record_tokens = std::min(sweep.record_tokens + earned, max_record_tokens);
}

void send_batch(step_context& step, pending_batch& batch)
{
    // Refreshes the ages on every transmission, also on a retransmission.
    for (transferred_record& moved : batch.entries)
    {
        const flow_entry* entry = step.state.flows.find(moved.key);
        if (entry != nullptr && entry->role == flow_role::record)
        {
            moved = make_moved_record(step, *entry);
        }
    }
    const record_batch message{batch.number, batch.entries};
    send_control(step, batch.to, control_kind::records, encode_message(message));
    batch.sent = step.now;
}

void send_batches(step_context& step)
{
    sweep_state& sweep = step.state.sweep;
    const auto has_lost_receiver = [&step](const pending_batch& batch)
    {
        return !is_reachable(step.state.hosts, batch.to, step.now);
    };
    std::erase_if(sweep.pending_batches, has_lost_receiver);
    for (pending_batch& batch : sweep.pending_batches)
    {
        const bool is_new = batch.number == 0;
        const bool ready = batch.entries.size() >= max_batch_records ||
                           step.now - batch.sent >= heartbeat_interval;
        if (is_new && ready)
        {
            batch.number = sweep.next_batch++;
            send_batch(step, batch);
        }
        const bool unacked = !is_new && step.now - batch.sent >= batch_retransmit_timeout;
        const auto bytes = static_cast<std::int64_t>(batch.entries.size()) * record_wire_bytes;
        if (unacked && sweep.record_tokens >= bytes)
        {
            sweep.record_tokens -= bytes;
            send_batch(step, batch);
        }
    }
}

void finish_round(step_context& step)
{
    sweep_state& sweep = step.state.sweep;
    ++sweep.rounds;
    sweep.unsynced_records = sweep.round_unsynced_records;
    sweep.round_unsynced_records = 0;
    const view& newest = step.state.views.views.front();
    sweep.synced_view = sweep.unsynced_records == 0 ? newest.digest : 0;
}

// True when all live hosts that exchange heartbeats with this one report their records as synced in
// its newest view. If the view has further hosts, it must also have existed for
// `surplus_record_lifetime`.
bool are_others_synced(const step_context& step)
{
    const core_state& state = step.state;
    const view& newest = state.views.views.front();
    const auto peers = heartbeat_peers(state.hosts);
    std::size_t reporting_hosts = 0;
    for (const host_id peer : peers)
    {
        const member& other = state.hosts.others.at(peer);
        if (other.state != host_state::live)
        {
            continue;
        }
        ++reporting_hosts;
        if (other.synced_view != newest.digest)
        {
            return false;
        }
    }
    const bool self_eligible = state.hosts.state == host_state::live;
    const std::size_t others = newest.eligible_count - (self_eligible ? 1 : 0);
    return reporting_hosts >= others || step.now - newest.since >= surplus_record_lifetime;
}

// Applies one received record. Returns false if this host does not know its backend server yet or
// its phase is invalid.
bool apply_moved_record(step_context& step, host_id sender, const transferred_record& moved)
{
    core_state& state = step.state;
    const auto backend_slot = find_backend(state.known, moved.backend);
    const bool known_phase = moved.phase <= static_cast<std::uint8_t>(flow_phase::ended);
    if (!backend_slot || !known_phase)
    {
        return false;
    }
    flow_entry* entry = state.flows.find(moved.key);
    const bool is_record = entry != nullptr && entry->role == flow_role::record;
    const record_claim claim{moved.rank, millis{moved.age_ms}, moved.backend};
    const bool other_backend = is_record && entry->backend_slot != *backend_slot;
    const bool outranked = other_backend && is_outranked(step, *entry, claim);
    const bool keeps_own_record = is_record && !outranked;
    if (keeps_own_record && entry->backend_slot != *backend_slot)
    {
        // This host's own record takes precedence.
        return true;
    }
    if (!keeps_own_record)
    {
        const std::uint32_t service_slot = state.known.backends[*backend_slot].service_slot;
        entry = &add_record(step, moved.key, service_slot, *backend_slot);
        entry->rank = moved.rank;
        change_phase(state, *entry, static_cast<flow_phase>(moved.phase));
        entry->opened_at = stamp_of(step.now - millis{moved.age_ms});
        entry->last_seen = stamp_of(step.now - millis{moved.idle_ms});
        ++state.counters[counter::records_taken];
    }
    entry->confirmed = true;
    entry->refreshed_at = stamp_of(step.now);
    entry->confirmed_by_slot = host_slot(state, sender);
    return true;
}

void complete_sync(step_context& step, host_id receiver, const transferred_record& moved)
{
    core_state& state = step.state;
    flow_entry* entry = state.flows.find(moved.key);
    if (entry == nullptr || entry->role != flow_role::record)
    {
        return;
    }
    ++state.counters[counter::records_moved];
    entry->confirmed = true;
    entry->refreshed_at = stamp_of(step.now);
    entry->confirmed_by_slot = host_slot(state, receiver);
}

} // namespace

void sweep_flows(step_context& step)
{
    sweep_state& sweep = step.state.sweep;
    refill_tokens(step);
    for (std::size_t i = 0; i < segments_per_tick; ++i)
    {
        visit_segment(step, sweep.next_segment);
        ++sweep.next_segment;
        if (sweep.next_segment == flow_table::segment_count)
        {
            sweep.next_segment = 0;
            finish_round(step);
        }
    }
    send_batches(step);
    sweep.others_synced = are_others_synced(step);
    view& newest = step.state.views.views.front();
    newest.synced = newest.synced || (sweep.synced_view != 0 && sweep.others_synced);
}

void handle_records(step_context& step, host_id sender, const record_batch& batch)
{
    bool all_applied = true;
    for (const transferred_record& moved : batch.entries)
    {
        all_applied = apply_moved_record(step, sender, moved) && all_applied;
    }
    if (!all_applied)
    {
        return;
    }
    const record_batch_ack ack{batch.number};
    send_control(step, sender, control_kind::records_taken, encode_message(ack));
}

void handle_records_ack(step_context& step, host_id sender, const record_batch_ack& ack)
{
    sweep_state& sweep = step.state.sweep;
    const auto is_acked = [sender, &ack](const pending_batch& batch)
    {
        return batch.number == ack.number && batch.to == sender;
    };
    const auto found =
        std::find_if(sweep.pending_batches.begin(), sweep.pending_batches.end(), is_acked);
    if (found == sweep.pending_batches.end() || ack.number == 0)
    {
        return;
    }
    const pending_batch batch = *found;
    sweep.pending_batches.erase(found);
    for (const transferred_record& moved : batch.entries)
    {
        complete_sync(step, sender, moved);
    }
}

} // namespace briarbarrow

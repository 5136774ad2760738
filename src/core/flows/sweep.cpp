// The background visit of the flow table: a few segments at each tick.
//
// It forgets what is over, and it moves records: one that this host keeps goes to the other
// keeper when that one is not known to have it; one that this host does not keep any more goes to
// the service's primary. Flows that send packets move by themselves, through the deposits on their
// way, so that only silent flows cost control bytes. Batches are paced, repeated until they are
// answered, and given up when their receiver is gone.
#include <algorithm>

#include "core/step_parts.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::size_t segments_per_tick = 8;
constexpr std::size_t batch_records = 20;
constexpr std::size_t max_batches = 4;
constexpr millis batch_repeat{600};
// What a record takes in a batch, with its share of the headers. Unit: bytes.
constexpr std::int64_t record_wire_bytes = 38;
constexpr std::int64_t max_record_tokens = 1'000;

millis idle_limit(const core_state& state, const flow_entry& entry)
{
    if (entry.role == flow_role::hint)
    {
        return hint_memory(state, entry);
    }
    if (entry.barred)
    {
        return state.known.services[entry.service_slot].idle_timeout;
    }
    switch (entry.phase)
    {
    case flow_phase::open:
        return state.known.services[entry.service_slot].idle_timeout;
    case flow_phase::closing:
        return closing_span;
    case flow_phase::ended:
        break;
    }
    return quarantine_span;
}

// Moves an entry on by its age. Returns true when it is to be erased.
bool age_entry(step_context& step, flow_entry& entry)
{
    core_state& state = step.state;
    const bool is_hint = entry.role == flow_role::hint;
    const std::uint32_t stamp = is_hint ? entry.refreshed : entry.last_seen;
    if (since(stamp, step.now) < idle_limit(state, entry))
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
        // Hints elsewhere may be younger than the record; the quarantine covers them.
        entry.last_seen = stamp_of(step.now);
        return false;
    }
    return true;
}

// True when a keeper of today is known to have a record that this host does not keep any more.
bool is_kept_elsewhere(core_state& state, const flow_entry& entry)
{
    const keeper_pair keepers = current_keepers(state, entry.service_slot);
    const host_id partner = state.host_slots[entry.partner_slot].id;
    // A partner that was started again has another slot by now, and lost the record.
    const bool same_start = host_slot(state, partner) == entry.partner_slot;
    return !is_keeper(keepers, state.hosts.self.id) && entry.confirmed && same_start &&
           is_keeper(keepers, partner);
}

// Where a record has to go; none when it is where it belongs.
host_id destination_of(core_state& state, const flow_entry& entry)
{
    const keeper_pair keepers = current_keepers(state, entry.service_slot);
    const host_id self = state.hosts.self.id;
    if (!is_keeper(keepers, self))
    {
        return keepers.primary;
    }
    const host_id partner = partner_in(keepers, self);
    return is_confirmed(state, entry) ? host_id::none : partner;
}

bool is_worth_moving(const flow_entry& entry, millis now)
{
    const bool over = entry.phase == flow_phase::ended;
    return entry.role == flow_role::record && !entry.barred &&
           !(over && since(entry.last_seen, now) > hint_lifetime);
}

moving_batch* batch_for(step_context& step, host_id to)
{
    sweep_state& sweep = step.state.sweep;
    for (moving_batch& batch : sweep.moving)
    {
        if (batch.to == to && batch.number == 0)
        {
            return batch.entries.size() < batch_records ? &batch : nullptr;
        }
    }
    if (sweep.moving.size() >= max_batches)
    {
        return nullptr;
    }
    sweep.moving.push_back(moving_batch{to, 0, step.now, {}});
    return &sweep.moving.back();
}

bool is_moving(const sweep_state& sweep, const flow_key& key)
{
    const auto has_key = [&key](const transferred_record& moved)
    {
        return moved.key == key;
    };
    const auto in_batch = [&has_key](const moving_batch& batch)
    {
        return std::any_of(batch.entries.begin(), batch.entries.end(), has_key);
    };
    return std::any_of(sweep.moving.begin(), sweep.moving.end(), in_batch);
}

transferred_record make_moved(const step_context& step, const flow_entry& entry)
{
    const backend_runtime& backend = step.state.known.backends[entry.backend_slot];
    transferred_record moved;
    moved.key = entry.key;
    moved.backend = backend.id;
    moved.rank = worth_of(entry);
    moved.age_ms = static_cast<std::uint32_t>(since(entry.created, step.now).count);
    moved.phase = static_cast<std::uint8_t>(entry.phase);
    moved.idle_ms = static_cast<std::uint32_t>(since(entry.last_seen, step.now).count);
    return moved;
}

// True for a record of a flow that began in this view, at a host that is no keeper in it: it came
// along with a deposit that went to the keepers too, and nobody will tell when the flow ends.
bool is_bystander_copy(const step_context& step, const flow_entry& entry)
{
    core_state& state = step.state;
    const millis view_age = step.now - state.views.views.front().since;
    const millis age = since(entry.created, step.now);
    const bool keeper = is_keeper(current_keepers(state, entry.service_slot), state.hosts.self.id);
    return !keeper && !is_provisional(entry.rank) && age <= view_age && age > overlap_span;
}

void collect_move(step_context& step, flow_entry& entry)
{
    sweep_state& sweep = step.state.sweep;
    if (entry.role == flow_role::record && !entry.barred && is_bystander_copy(step, entry))
    {
        demote_record(step.state, entry);
        return;
    }
    if (entry.role == flow_role::record && !entry.barred && is_kept_elsewhere(step.state, entry))
    {
        // One keeper has it, but the other one may not yet: a spare until all have settled. A
        // choice made during a cut stays until it is settled itself.
        if (sweep.others_settled && !is_provisional(entry.rank))
        {
            demote_record(step.state, entry);
        }
        return;
    }
    if (!is_worth_moving(entry, step.now))
    {
        return;
    }
    const host_id to = destination_of(step.state, entry);
    if (to == host_id::none)
    {
        return;
    }
    // A flow that began in this view takes its record along by itself.
    const millis view_age = step.now - step.state.views.views.front().since;
    const bool older_than_view = since(entry.created, step.now) > view_age;
    sweep.unmoved += older_than_view ? 1 : 0;
    const bool affordable = sweep.record_tokens >= record_wire_bytes;
    if (!affordable || is_moving(sweep, entry.key))
    {
        return;
    }
    moving_batch* batch = batch_for(step, to);
    if (batch != nullptr)
    {
        batch->entries.push_back(make_moved(step, entry));
        sweep.record_tokens -= record_wire_bytes;
    }
}

void visit_segment(step_context& step, std::size_t index)
{
    const auto visit = [&step](flow_entry& entry)
    {
        if (age_entry(step, entry))
        {
            return true;
        }
        collect_move(step, entry);
        return false;
    };
    step.state.flows.sweep_segment(index, visit);
}

void refill_tokens(step_context& step)
{
    sweep_state& sweep = step.state.sweep;
    const std::int64_t elapsed = (step.now - sweep.tokens_since).count;
    const std::int64_t earned = elapsed * record_bytes_per_second / 1000;
    if (earned <= 0)
    {
        return;
    }
    sweep.tokens_since = step.now;
    sweep.record_tokens = std::min(sweep.record_tokens + earned, max_record_tokens);
}

void send_batch(step_context& step, moving_batch& batch)
{
    // Ages are those of now, also when the batch is sent again.
    for (transferred_record& moved : batch.entries)
    {
        const flow_entry* entry = step.state.flows.find(moved.key);
        if (entry != nullptr && entry->role == flow_role::record)
        {
            moved = make_moved(step, *entry);
        }
    }
    const record_batch message{batch.number, batch.entries};
    send_control(step, batch.to, control_kind::records, encode_message(message));
    batch.sent = step.now;
}

void send_batches(step_context& step)
{
    sweep_state& sweep = step.state.sweep;
    const auto is_hopeless = [&step](const moving_batch& batch)
    {
        return !is_reachable(step.state.hosts, batch.to, step.now);
    };
    std::erase_if(sweep.moving, is_hopeless);
    for (moving_batch& batch : sweep.moving)
    {
        const bool is_new = batch.number == 0;
        const bool ready =
            batch.entries.size() >= batch_records || step.now - batch.sent >= heartbeat_interval;
        if (is_new && ready)
        {
            batch.number = sweep.next_batch++;
            send_batch(step, batch);
        }
        const bool unanswered = !is_new && step.now - batch.sent >= batch_repeat;
        const auto bytes = static_cast<std::int64_t>(batch.entries.size()) * record_wire_bytes;
        if (unanswered && sweep.record_tokens >= bytes)
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
    sweep.unmoved_before = sweep.unmoved;
    sweep.unmoved = 0;
    const view& newest = step.state.views.views.front();
    sweep.synced_view = sweep.unmoved_before == 0 ? newest.digest : 0;
}

// True when all other hosts have said that their records are settled in this host's view, as far
// as heartbeats come from them; where there are more, time has to do.
bool are_others_settled(const step_context& step)
{
    const core_state& state = step.state;
    const view& newest = state.views.views.front();
    const auto partners = heartbeat_partners(state.hosts);
    std::size_t heard = 0;
    for (const host_id partner : partners)
    {
        const member& other = state.hosts.others.at(partner);
        if (other.state != host_state::live)
        {
            continue;
        }
        ++heard;
        if (other.synced_view != newest.digest)
        {
            return false;
        }
    }
    const bool self_eligible = state.hosts.state == host_state::live;
    const std::size_t others = newest.eligible_hosts - (self_eligible ? 1 : 0);
    return heard >= others || step.now - newest.since >= spare_span;
}

// Takes one record. False when its backend server is not known here yet.
bool take_moved(step_context& step, host_id sender, const transferred_record& moved)
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
    const bool have_record = is_record && !outranked;
    if (have_record && entry->backend_slot != *backend_slot)
    {
        // What is kept here goes before what is told.
        return true;
    }
    if (!have_record)
    {
        const std::uint32_t service_slot = state.known.backends[*backend_slot].service_slot;
        entry = &add_record(step, moved.key, service_slot, *backend_slot);
        entry->rank = moved.rank;
        change_phase(state, *entry, static_cast<flow_phase>(moved.phase));
        entry->created = stamp_of(step.now - millis{moved.age_ms});
        entry->last_seen = stamp_of(step.now - millis{moved.idle_ms});
        ++state.counters[counter::records_taken];
    }
    entry->confirmed = true;
    entry->refreshed = stamp_of(step.now);
    entry->partner_slot = host_slot(state, sender);
    return true;
}

void finish_move(step_context& step, host_id receiver, const transferred_record& moved)
{
    core_state& state = step.state;
    flow_entry* entry = state.flows.find(moved.key);
    if (entry == nullptr || entry->role != flow_role::record)
    {
        return;
    }
    ++state.counters[counter::records_moved];
    entry->confirmed = true;
    entry->refreshed = stamp_of(step.now);
    entry->partner_slot = host_slot(state, receiver);
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
    sweep.others_settled = are_others_settled(step);
    view& newest = step.state.views.views.front();
    newest.settled = newest.settled || (sweep.synced_view != 0 && sweep.others_settled);
}

void take_records(step_context& step, host_id sender, const record_batch& batch)
{
    bool all = true;
    for (const transferred_record& moved : batch.entries)
    {
        all = take_moved(step, sender, moved) && all;
    }
    if (!all)
    {
        return;
    }
    const record_batch_ack answer{batch.number};
    send_control(step, sender, control_kind::records_taken, encode_message(answer));
}

void take_records_taken(step_context& step, host_id sender, const record_batch_ack& answer)
{
    sweep_state& sweep = step.state.sweep;
    const auto is_answered = [sender, &answer](const moving_batch& batch)
    {
        return batch.number == answer.number && batch.to == sender;
    };
    const auto found = std::find_if(sweep.moving.begin(), sweep.moving.end(), is_answered);
    if (found == sweep.moving.end() || answer.number == 0)
    {
        return;
    }
    const moving_batch batch = *found;
    sweep.moving.erase(found);
    for (const transferred_record& moved : batch.entries)
    {
        finish_move(step, sender, moved);
    }
}

} // namespace briarbarrow

// Hints: how a host that is no keeper of a flow learns where the flow's packets go, and how a
// coordinator learns that the other keeper has the record.
//
// A hint waits for a packet that goes to its receiver anyhow and rides on it. Those that find none
// are sent in datagrams of their own within a small budget; the rest is dropped. Nothing depends on
// a hint but the number of hops.
#include <algorithm>

#include "core/step_parts.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::size_t hints_per_datagram = 16;
// What a hint takes in a datagram, with its share of the headers. Unit: bytes.
constexpr std::int64_t hint_wire_bytes = 34;
constexpr std::int64_t max_hint_tokens = 600;

hint_queue& queue_for(core_state& state, host_id to)
{
    const std::uint16_t slot = host_slot(state, to);
    if (slot >= state.hint_queues.size())
    {
        state.hint_queues.resize(std::size_t{slot} + 1);
    }
    return state.hint_queues[slot];
}

void refill_tokens(step_context& step)
{
    core_state& state = step.state;
    const std::int64_t elapsed = (step.now - state.hint_tokens_since).count;
    const std::int64_t earned = elapsed * hint_bytes_per_second / 1000;
    if (earned > 0)
    {
        state.hint_tokens = std::min(state.hint_tokens + earned, max_hint_tokens);
        state.hint_tokens_since = step.now;
    }
}

} // namespace

void queue_hint(step_context& step, host_id to, const flow_entry& entry)
{
    if (to == host_id::none || to == step.state.hosts.self.id)
    {
        return;
    }
    std::vector<hint>& waiting = queue_for(step.state, to).waiting;
    const auto same = [&entry](const hint& told)
    {
        return told.key == entry.key;
    };
    std::erase_if(waiting, same);
    if (waiting.size() >= max_waiting_hints)
    {
        waiting.erase(waiting.begin());
    }
    const backend_id backend = step.state.known.backends[entry.backend_slot].id;
    waiting.push_back(hint{entry.key, backend, entry.rank});
}

void load_hints(core_state& state, host_id to, relay_header& header)
{
    std::vector<hint>& waiting = queue_for(state, to).waiting;
    header.hints.clear();
    const std::size_t count = std::min(waiting.size(), hint_capacity(header.path.size()));
    for (std::size_t i = 0; i < count; ++i)
    {
        // The newest are the likeliest to be still of use.
        header.hints.push_back(waiting.back());
        waiting.pop_back();
    }
    state.counters[counter::hints_ridden] += count;
}

void send_waiting_hints(step_context& step)
{
    core_state& state = step.state;
    refill_tokens(step);
    for (std::size_t slot = 0; slot < state.hint_queues.size(); ++slot)
    {
        std::vector<hint>& waiting = state.hint_queues[slot].waiting;
        const std::size_t count = std::min(waiting.size(), hints_per_datagram);
        const auto bytes = static_cast<std::int64_t>(count) * hint_wire_bytes;
        if (count == 0 || state.hint_tokens < bytes)
        {
            continue;
        }
        state.hint_tokens -= bytes;
        const auto first = waiting.end() - static_cast<std::ptrdiff_t>(count);
        const hints message{std::vector<hint>(first, waiting.end())};
        waiting.clear();
        send_control(step, state.host_slots[slot].id, control_kind::hints, encode_message(message));
        state.counters[counter::hints_sent] += count;
    }
}

void take_hint(step_context& step, host_id sender, const hint& told)
{
    core_state& state = step.state;
    const auto backend_slot = find_backend(state.known, told.backend);
    if (!backend_slot)
    {
        ++state.counters[counter::dropped_unknown_backend];
        return;
    }
    ++state.counters[counter::hints_taken];
    flow_entry* entry = state.flows.find(told.key);
    const bool other_backend = entry != nullptr && entry->role == flow_role::record &&
                               !entry->barred && entry->backend_slot != *backend_slot;
    if (other_backend && told.rank <= worth_of(*entry))
    {
        // It has waited while something better became known here.
        return;
    }
    if (entry == nullptr)
    {
        entry = &state.flows.insert(told.key);
        entry->created = stamp_of(step.now);
    }
    // The hint comes from the end of a chain, where every other choice has been weighed.
    const bool same = entry->role == flow_role::record && entry->backend_slot == *backend_slot;
    entry->rank = same ? std::max(entry->rank, told.rank) : told.rank;
    const bool cut_off = !has_grant(state.hosts, step.now);
    entry->cut = static_cast<std::uint8_t>(state.hosts.cuts - (cut_off ? 0 : 1));
    entry->barred = false;
    if (entry->backend_slot != *backend_slot || entry->role == flow_role::hint)
    {
        change_backend(state, *entry, *backend_slot);
        entry->service_slot = state.known.backends[*backend_slot].service_slot;
    }
    entry->refreshed = stamp_of(step.now);
    entry->confirmed = true;
    entry->partner_slot = host_slot(state, sender);
}

} // namespace briarbarrow

// Hints report a flow's backend server to a host that does not own the flow's record, and confirm
// to a coordinator that the other owner has the record.
//
// A queued hint is piggybacked on the next packet to its receiver. The newest hints without such a
// packet are sent in separate datagrams under a bandwidth limit, and the rest are dropped. A lost
// hint only costs extra hops.
#include <algorithm>

#include "core/step_parts.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::size_t hints_per_datagram = 16;
// Size of a hint in a datagram, including its share of the headers. Unit: bytes.
constexpr std::int64_t hint_wire_bytes = 34;
// Capacity of the token bucket for hints in separate datagrams. Unit: bytes.
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
    const std::int64_t elapsed = (step.now - state.hint_tokens_refilled_at).count;
    const std::int64_t earned = elapsed * hint_bytes_per_second / 1000;
    if (earned > 0)
    {
        state.hint_tokens = std::min(state.hint_tokens + earned, max_hint_tokens);
        state.hint_tokens_refilled_at = step.now;
    }
}

} // namespace

void queue_hint(step_context& step, host_id to, const flow_entry& entry)
{
    if (to == host_id::none || to == step.state.hosts.self.id)
    {
        return;
    }
    std::vector<hint>& queued = queue_for(step.state, to).queued;
    const auto same_flow = [&entry](const hint& other)
    {
        return other.key == entry.key;
    };
    std::erase_if(queued, same_flow);
    if (queued.size() >= max_queued_hints)
    {
        queued.erase(queued.begin());
    }
    const backend_id backend = step.state.known.backends[entry.backend_slot].id;
    queued.push_back(hint{entry.key, backend, entry.rank});
}

void attach_hints(core_state& state, host_id to, relay_header& header)
{
    std::vector<hint>& queued = queue_for(state, to).queued;
    header.hints.clear();
    const std::size_t count = std::min(queued.size(), hint_capacity(header.path.size()));
    for (std::size_t i = 0; i < count; ++i)
    {
        // The newest hints are the most likely to be still useful.
        header.hints.push_back(queued.back());
        queued.pop_back();
    }
    state.counters[counter::hints_ridden] += count;
}

void send_queued_hints(step_context& step)
{
    core_state& state = step.state;
    refill_tokens(step);
    for (std::size_t slot = 0; slot < state.hint_queues.size(); ++slot)
    {
        std::vector<hint>& queued = state.hint_queues[slot].queued;
        const std::size_t count = std::min(queued.size(), hints_per_datagram);
        const auto bytes = static_cast<std::int64_t>(count) * hint_wire_bytes;
        if (count == 0 || state.hint_tokens < bytes)
        {
            continue;
        }
        state.hint_tokens -= bytes;
        const auto first = queued.end() - static_cast<std::ptrdiff_t>(count);
        const hints message{std::vector<hint>(first, queued.end())};
        queued.clear();
        send_control(step, state.host_slots[slot].id, control_kind::hints, encode_message(message));
        state.counters[counter::hints_sent] += count;
    }
}

void handle_hint(step_context& step, host_id sender, const hint& received)
{
    core_state& state = step.state;
    const auto backend_slot = find_backend(state.known, received.backend);
    if (!backend_slot)
    {
        ++state.counters[counter::dropped_unknown_backend];
        return;
    }
    ++state.counters[counter::hints_taken];
    flow_entry* entry = state.flows.find(received.key);
    const bool other_backend = entry != nullptr && entry->role == flow_role::record &&
                               !entry->blocked && entry->backend_slot != *backend_slot;
    if (other_backend && received.rank <= effective_rank(*entry))
    {
        // The hint was queued for a while, and this host has a record that is at least as good.
        return;
    }
    if (entry == nullptr)
    {
        entry = &state.flows.insert(received.key);
        entry->opened_at = stamp_of(step.now);
    }
    // The sender was the last host on the path, where all conflicting records were compared.
    const bool same_backend =
        entry->role == flow_role::record && entry->backend_slot == *backend_slot;
    entry->rank = same_backend ? std::max(entry->rank, received.rank) : received.rank;
    const bool partitioned = !has_quorum_lease(state.hosts, step.now);
    entry->partition_epoch =
        static_cast<std::uint8_t>(state.hosts.lease_epoch - (partitioned ? 0 : 1));
    entry->blocked = false;
    if (entry->backend_slot != *backend_slot || entry->role == flow_role::hint)
    {
        change_backend(state, *entry, *backend_slot);
        entry->service_slot = state.known.backends[*backend_slot].service_slot;
    }
    entry->refreshed_at = stamp_of(step.now);
    entry->confirmed = true;
    entry->confirmed_by_slot = host_slot(state, sender);
}

} // namespace briarbarrow

#include "core/placement/choice.hpp"

namespace briarbarrow
{

namespace
{

// True when left would have fewer flows for its weight than right, after one more flow each.
bool is_less_loaded(const backend_runtime& left, const backend_runtime& right)
{
    const std::uint64_t left_load = (std::uint64_t{left.in_flight} + 1) * right.weight;
    const std::uint64_t right_load = (std::uint64_t{right.in_flight} + 1) * left.weight;
    return left_load < right_load;
}

std::uint64_t rendezvous_score(const flow_key& key, const backend_runtime& backend)
{
    return mix(key.low, static_cast<std::uint64_t>(backend.id));
}

bool is_better(const backend_runtime& left, const backend_runtime& right, const flow_key& key)
{
    if (is_less_loaded(left, right))
    {
        return true;
    }
    if (is_less_loaded(right, left))
    {
        return false;
    }
    return rendezvous_score(key, left) > rendezvous_score(key, right);
}

} // namespace

bool has_capacity(const backend_runtime& backend)
{
    return backend.accepts_flows && backend.in_flight < backend.max_connections;
}

std::optional<std::uint32_t> choose_backend(const registry& known, const service_runtime& service,
                                            const flow_key& key)
{
    std::optional<std::uint32_t> best;
    for (const std::uint32_t slot : service.backends)
    {
        const backend_runtime& candidate = known.backends[slot];
        if (!has_capacity(candidate))
        {
            continue;
        }
        if (!best || is_better(candidate, known.backends[*best], key))
        {
            best = slot;
        }
    }
    return best;
}

} // namespace briarbarrow

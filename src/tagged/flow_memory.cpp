#include "tagged/flow_memory.hpp"

namespace briarbarrow
{

void attach_flow(backend_directory& directory, remembered_flow& flow, backend_index backend)
{
    detach_flow(directory, flow);
    flow.backend = backend;
    flow.tag = directory.entries[backend].tag;
    ++directory.entries[backend].remembered_flows;
    count_flow(directory, flow);
}

void detach_flow(backend_directory& directory, remembered_flow& flow)
{
    stop_counting_flow(directory, flow);
    if (flow.backend != no_backend)
    {
        --directory.entries[flow.backend].remembered_flows;
        flow.backend = no_backend;
    }
}

void stop_counting_flow(backend_directory& directory, remembered_flow& flow)
{
    if (flow.is_counted)
    {
        backend_evidence& evidence = directory.entries[flow.backend].evidence;
        --evidence.in_flight;
        evidence.open_flows -= flow.is_counted_open ? 1 : 0;
        evidence.fleet_flows -= flow.is_counted_open ? flow.fleet_weight : 0;
        // Rounding errors must not add up.
        evidence.fleet_flows = evidence.open_flows > 0 ? evidence.fleet_flows : 0;
        flow.is_counted = false;
        flow.is_counted_open = false;
    }
}

void count_flow(backend_directory& directory, remembered_flow& flow)
{
    if (flow.backend == no_backend)
    {
        return;
    }
    backend_evidence& evidence = directory.entries[flow.backend].evidence;
    evidence.in_flight += flow.is_counted ? 0 : 1;
    flow.is_counted = true;
    const bool opens_now = flow.stage == flow_stage::open && !flow.is_counted_open;
    evidence.open_flows += opens_now ? 1 : 0;
    evidence.fleet_flows += opens_now ? flow.fleet_weight : 0;
    flow.is_counted_open = flow.is_counted_open || opens_now;
}

remembered_flow* remember_flow(flow_memory& memory, const flow_key& key,
                               const remembered_flow& flow, millis now)
{
    if (memory.flows.size() >= max_remembered_flows)
    {
        return nullptr;
    }
    const auto [entry, is_new] = memory.flows.insert_or_assign(key, flow);
    if (is_new)
    {
        memory.reviews.push_back(flow_review{now + flow_review_interval, key});
    }
    return &entry->second;
}

bool is_flow_expired(const remembered_flow& flow, millis idle_timeout, millis now)
{
    switch (flow.stage)
    {
    case flow_stage::opening:
        return now > flow.last_packet + opening_retention;
    case flow_stage::closed:
        return now > flow.last_packet + closed_retention;
    case flow_stage::open:
    case flow_stage::unknown:
        return now > flow.last_packet + idle_timeout;
    }
    return true;
}

bool is_stalled(const remembered_flow& flow, millis stall_timeout, millis now)
{
    return flow.stage == flow_stage::open && now >= flow.last_progress + stall_timeout;
}

bool is_load_expired(const remembered_flow& flow, millis now)
{
    return flow.stage == flow_stage::open && now > flow.last_progress + flow.load_lifetime;
}

bool is_likely_abandoned(const remembered_flow& flow, millis now)
{
    return now > flow.last_packet + flow.timeout;
}

} // namespace briarbarrow

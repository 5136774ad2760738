// The part of the router that exchanges with other daemons where contested flows are open.
#include "tagged/router_parts.hpp"

namespace briarbarrow
{

void report_unopened_flow(router_state& state, const flow_key& key, const remembered_flow& flow)
{
    if (flow.is_contested && flow.stage == flow_stage::opening &&
        state.contested.flows.count(key) == 0)
    {
        state.newly_contested.push_back({key, flow.opening_sequence});
    }
}

void handle_contested_flows(router_state& state, const std::vector<contested_flow>& flows,
                            millis now)
{
    for (const contested_flow& flow : flows)
    {
        if (flow.tag != no_tag)
        {
            add_contested_flow(state.contested, flow, now);
            continue;
        }
        const remembered_flow* known = find_flow(state, flow.key);
        const bool is_open_here = known != nullptr && known->stage == flow_stage::open &&
                                  known->backend != no_backend &&
                                  is_of_flow(known->data_end, flow.opening_sequence);
        if (is_open_here && state.contested.flows.count(flow.key) == 0)
        {
            const contested_flow opened{flow.key, flow.opening_sequence, known->tag,
                                        now - known->opened};
            add_contested_flow(state.contested, opened, now);
            state.newly_contested.push_back(opened);
        }
    }
}

std::vector<contested_flow> known_contested_flows(const router_state& state, millis now)
{
    return list_contested_flows(state.contested, now);
}

} // namespace briarbarrow

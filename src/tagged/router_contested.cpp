// The part of the router that exchanges with other daemons and the store where contested flows are
// open.
#include "tagged/router_parts.hpp"

namespace briarbarrow
{

namespace
{

// The flow that another daemon asks for, if this one has seen it open.
std::optional<contested_flow> find_open_flow(const router_state& state,
                                             const contested_flow& question, millis now)
{
    const auto found = state.flows.flows.find(question.key);
    if (found == state.flows.flows.end())
    {
        return std::nullopt;
    }
    const remembered_flow& flow = found->second;
    const bool is_open = flow.stage == flow_stage::open && flow.backend != no_backend &&
                         is_of_flow(flow.data_end, question.opening_sequence);
    if (!is_open)
    {
        return std::nullopt;
    }
    const std::uint32_t opening_sequence =
        flow.openings > 0 ? flow.opening_sequence : question.opening_sequence;
    return contested_flow{question.key, opening_sequence, flow.tag, now - flow.opened};
}

std::optional<contested_flow> answer_question(router_state& state, const contested_flow& question,
                                              millis now)
{
    const known_contested_flow* entry =
        find_contested_flow(state.contested, question.key, state.settings.max_flow_age, now);
    if (entry != nullptr && is_of_flow(question.opening_sequence, entry->opening_sequence))
    {
        return contested_flow{question.key, entry->opening_sequence, entry->tag,
                              now - entry->opened};
    }
    const std::optional<contested_flow> open = find_open_flow(state, question, now);
    if (open)
    {
        add_contested_flow(state.contested, *open, now);
        state.newly_contested.push_back(*open);
    }
    return open;
}

} // namespace

void report_unopened_flow(router_state& state, const flow_key& key, const remembered_flow& flow)
{
    if (flow.is_contested && flow.stage == flow_stage::opening &&
        state.contested.flows.count(key) == 0)
    {
        state.newly_contested.push_back({key, flow.opening_sequence});
    }
}

std::vector<contested_flow>
handle_contested_flows(router_state& state, const std::vector<contested_flow>& flows, millis now)
{
    std::vector<contested_flow> answers;
    for (const contested_flow& flow : flows)
    {
        if (flow.tag != no_tag)
        {
            add_contested_flow(state.contested, flow, now);
            finish_lookup(state.lookups, flow.key, now);
            continue;
        }
        const std::optional<contested_flow> answer = answer_question(state, flow, now);
        if (answer)
        {
            answers.push_back(*answer);
        }
    }
    return answers;
}

std::vector<contested_flow> known_contested_flows(const router_state& state, millis now)
{
    return list_contested_flows(state.contested, now);
}

void handle_lookup_result(router_state& state, const flow_key& key, lookup_outcome outcome,
                          const std::optional<contested_flow>& recorded, millis now)
{
    if (recorded)
    {
        add_contested_flow(state.contested, *recorded, now);
    }
    handle_store_lookup(state.lookups, key, outcome, now);
}

} // namespace briarbarrow

#include "tagged/flow_lookups.hpp"

namespace briarbarrow
{

namespace
{

void set_stage(flow_lookup& lookup, lookup_stage stage, millis now)
{
    lookup.stage = stage;
    lookup.stage_since = now;
}

void ask_peers(flow_lookups& lookups, const flow_key& key, flow_lookup& lookup, millis now)
{
    set_stage(lookup, lookup_stage::peers_asked, now);
    lookups.peer_questions.push_back({key, lookup.sequence});
}

} // namespace

lookup_verdict look_up(flow_lookups& lookups, const flow_key& key, lookup_need need,
                       std::uint32_t sequence, millis now)
{
    const auto found = lookups.flows.find(key);
    if (found != lookups.flows.end())
    {
        flow_lookup& lookup = found->second;
        const bool is_finished = lookup.stage == lookup_stage::finished;
        const bool needs_more =
            need == lookup_need::location && lookup.need == lookup_need::confirmation;
        if (needs_more)
        {
            // Packets of both kinds may wait. The store's answer serves both.
            lookup.need = need;
            lookup.sequence = sequence;
            if (is_finished)
            {
                ask_peers(lookups, key, lookup, now);
            }
        }
        if (!is_finished || needs_more)
        {
            return lookup_verdict::hold;
        }
        if (now < lookup.stage_since + flow_lookup_repeat_interval)
        {
            return lookup_verdict::unknown;
        }
    }
    else if (lookups.flows.size() >= max_flow_lookups)
    {
        return lookup_verdict::unknown;
    }
    lookups.flows[key] = {need, lookup_stage::store_asked, sequence, now, now};
    lookups.store_requests.push_back({key, need});
    return lookup_verdict::hold;
}

bool is_looked_up(const flow_lookups& lookups, const flow_key& key)
{
    const auto found = lookups.flows.find(key);
    return found != lookups.flows.end() && found->second.stage != lookup_stage::finished;
}

void handle_store_lookup(flow_lookups& lookups, const flow_key& key, lookup_outcome outcome,
                         millis now)
{
    ++lookups.outcomes[static_cast<std::size_t>(outcome)];
    const auto found = lookups.flows.find(key);
    if (found == lookups.flows.end() || found->second.stage != lookup_stage::store_asked)
    {
        return;
    }
    flow_lookup& lookup = found->second;
    const bool is_enough =
        outcome == lookup_outcome::recorded ||
        (outcome == lookup_outcome::not_recorded && lookup.need == lookup_need::confirmation);
    if (is_enough)
    {
        set_stage(lookup, lookup_stage::finished, now);
    }
    else
    {
        ask_peers(lookups, key, lookup, now);
    }
}

void finish_lookup(flow_lookups& lookups, const flow_key& key, millis now)
{
    const auto found = lookups.flows.find(key);
    if (found != lookups.flows.end() && found->second.stage != lookup_stage::finished)
    {
        set_stage(found->second, lookup_stage::finished, now);
    }
}

void expire_lookups(flow_lookups& lookups, millis now)
{
    for (auto& [key, lookup] : lookups.flows)
    {
        if (lookup.stage == lookup_stage::store_asked && now >= lookup.begun + flow_lookup_timeout)
        {
            ask_peers(lookups, key, lookup, now);
        }
        else if (lookup.stage == lookup_stage::peers_asked &&
                 now >= lookup.stage_since + peer_lookup_timeout)
        {
            set_stage(lookup, lookup_stage::finished, now);
        }
    }
    std::erase_if(lookups.flows,
                  [now](const auto& entry)
                  {
                      return entry.second.stage == lookup_stage::finished &&
                             now > entry.second.stage_since + flow_lookup_retention;
                  });
}

} // namespace briarbarrow

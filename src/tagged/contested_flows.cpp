#include "tagged/contested_flows.hpp"

#include <algorithm>

namespace briarbarrow
{

namespace
{

// More than a caller sends in one flow. Unit: bytes.
constexpr std::uint32_t max_stream_bytes = 1U << 26U;

} // namespace

bool is_of_flow(std::uint32_t sequence, std::uint32_t opening_sequence)
{
    return sequence - opening_sequence <= max_stream_bytes;
}

void add_contested_flow(contested_flow_list& list, const contested_flow& flow, millis now)
{
    const millis opened = now - std::max(flow.age, millis{});
    const auto [entry, is_new] = list.flows.try_emplace(flow.key);
    if (is_new)
    {
        list.order.push_back(flow.key);
    }
    if (is_new || opened > entry->second.opened)
    {
        entry->second = {flow.opening_sequence, flow.tag, opened};
    }
    while (list.flows.size() > max_contested_flows)
    {
        list.flows.erase(list.order.front());
        list.order.pop_front();
    }
}

bool remove_contested_flow(contested_flow_list& list, const flow_key& key)
{
    if (list.flows.erase(key) == 0)
    {
        return false;
    }
    std::erase(list.order, key);
    return true;
}

bool is_known_to_be_open(const contested_flow_list& list, const flow_key& key,
                         std::uint32_t opening_sequence, millis max_age, millis now)
{
    const known_contested_flow* known = find_contested_flow(list, key, max_age, now);
    return known != nullptr && opening_sequence == known->opening_sequence;
}

const known_contested_flow* find_contested_flow(const contested_flow_list& list,
                                                const flow_key& key, millis max_age, millis now)
{
    const auto found = list.flows.find(key);
    return found != list.flows.end() && now <= found->second.opened + max_age ? &found->second
                                                                              : nullptr;
}

void expire_contested_flows(contested_flow_list& list, millis max_age, millis now)
{
    std::erase_if(list.order,
                  [&list, max_age, now](const flow_key& key)
                  {
                      const bool is_expired = now > list.flows[key].opened + max_age;
                      if (is_expired)
                      {
                          list.flows.erase(key);
                      }
                      return is_expired;
                  });
}

std::vector<contested_flow> list_contested_flows(const contested_flow_list& list, millis now)
{
    std::vector<contested_flow> flows;
    for (auto key = list.order.rbegin(); key != list.order.rend(); ++key)
    {
        const known_contested_flow& known = list.flows.at(*key);
        flows.push_back({*key, known.opening_sequence, known.tag, now - known.opened});
    }
    return flows;
}

} // namespace briarbarrow

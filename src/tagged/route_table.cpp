#include "tagged/route_table.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace briarbarrow
{

std::size_t endpoint_hash::operator()(const endpoint& value) const
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    std::memcpy(&high, value.address.bytes.data(), sizeof(high));
    std::memcpy(&low, value.address.bytes.data() + sizeof(high), sizeof(low));
    return mix(high ^ value.port, low);
}

bool apply_routes(route_table& table, const route_list& list)
{
    const bool is_same_version = list.version == table.version;
    if (list.version < table.version ||
        (is_same_version && list.content_hash == table.content_hash))
    {
        return false;
    }
    std::unordered_map<endpoint, known_route, endpoint_hash> newer;
    newer.reserve(list.routes.size());
    for (const route& next : list.routes)
    {
        known_route known{next, {}};
        const auto old = table.by_address.find(next.address);
        if (old != table.by_address.end())
        {
            known.allowed = std::move(old->second.allowed);
        }
        for (const weighted_service& share : next.services)
        {
            if (!is_allowed(known, share.service))
            {
                known.allowed.push_back(share.service);
            }
        }
        newer.insert_or_assign(next.address, std::move(known));
    }
    for (const auto& [address, known] : table.by_address)
    {
        if (newer.count(address) == 0 && table.removed.size() < max_removed_routes)
        {
            table.removed.insert(address);
        }
    }
    for (const auto& [address, known] : newer)
    {
        table.removed.erase(address);
    }
    table.by_address = std::move(newer);
    table.version = list.version;
    table.content_hash = list.content_hash;
    table.idle_timeout = list.idle_timeout;
    table.health_paths = list.health_paths;
    table.warm_up = list.warm_up;
    return true;
}

const known_route* find_route(const route_table& table, const endpoint& destination)
{
    const auto found = table.by_address.find(destination);
    return found == table.by_address.end() ? nullptr : &found->second;
}

const warm_up_limit* find_warm_up_limit(const route_table& table, service_id service)
{
    const auto found = table.warm_up.find(service);
    return found == table.warm_up.end() ? nullptr : &found->second;
}

bool was_route_removed(const route_table& table, const endpoint& destination)
{
    return table.removed.count(destination) > 0;
}

bool is_allowed(const known_route& known, service_id service)
{
    return std::find(known.allowed.begin(), known.allowed.end(), service) != known.allowed.end();
}

service_id pick_service(const route& chosen, std::uint64_t number)
{
    std::uint64_t total = 0;
    for (const weighted_service& share : chosen.services)
    {
        total += share.weight;
    }
    if (total == 0)
    {
        return service_id::none;
    }
    std::uint64_t position = number % total;
    for (const weighted_service& share : chosen.services)
    {
        if (position < share.weight)
        {
            return share.service;
        }
        position -= share.weight;
    }
    return service_id::none;
}

} // namespace briarbarrow

#include "core/placement/registry.hpp"

#include <array>

#include <xxhash.h>

namespace briarbarrow
{

namespace
{

std::uint32_t find_or_add_service_slot(registry& known, service_id id)
{
    const auto slot = static_cast<std::uint32_t>(known.services.size());
    const auto [found, added] = known.service_slots.try_emplace(id, slot);
    if (added)
    {
        known.services.emplace_back();
        known.services.back().id = id;
    }
    return found->second;
}

std::uint32_t find_or_add_backend_slot(registry& known, backend_id id)
{
    const auto slot = static_cast<std::uint32_t>(known.backends.size());
    const auto [found, added] = known.backend_slots.try_emplace(id, slot);
    if (added)
    {
        known.backends.emplace_back();
        known.backends.back().id = id;
    }
    return found->second;
}

// Marks every service and backend server as not configured.
void mark_all_unconfigured(registry& known)
{
    for (service_runtime& service : known.services)
    {
        service.configured = false;
        service.backends.clear();
    }
    for (backend_runtime& backend : known.backends)
    {
        backend.accepts_flows = false;
    }
}

void apply_backend(registry& known, std::uint32_t service_slot, const backend_config& value,
                   const evacuated_zones& evacuated)
{
    const std::uint32_t slot = find_or_add_backend_slot(known, backend_id_of(value.name));
    backend_runtime& backend = known.backends[slot];
    backend.name = value.name;
    backend.zone = value.zone;
    backend.service_slot = service_slot;
    backend.packets = value.packets;
    backend.weight = value.weight;
    backend.max_connections = value.max_connections;
    backend.accepts_flows =
        value.state == backend_state::active && !is_evacuated(evacuated, value.zone);
    known.services[service_slot].backends.push_back(slot);
}

void apply_service(registry& known, const service_config& value, const evacuated_zones& evacuated)
{
    const std::uint32_t slot = find_or_add_service_slot(known, service_id_of(value.name));
    service_runtime& service = known.services[slot];
    service.name = value.name;
    service.configured = true;
    service.at_most_once = value.at_most_once;
    service.protocol = value.protocol;
    service.idle_timeout = value.idle_timeout;
    for (const ip_address& address : value.addresses)
    {
        known.by_address[service_address{address, value.port, value.protocol}] = slot;
    }
    for (const backend_config& backend : value.backends)
    {
        apply_backend(known, slot, backend, evacuated);
    }
}

} // namespace

std::size_t service_address_hash::operator()(const service_address& value) const
{
    const auto protocol = static_cast<std::uint64_t>(value.protocol);
    const std::uint64_t seed = (protocol << 16U) | value.port;
    return XXH3_64bits_withSeed(value.address.bytes.data(), value.address.bytes.size(), seed);
}

void apply_configuration(registry& known, const configuration& value)
{
    mark_all_unconfigured(known);
    for (const service_config& service : value.services)
    {
        apply_service(known, service, value.evacuated);
    }
}

std::optional<std::uint32_t> find_service(const registry& known, const flow_tuple& tuple)
{
    const service_address key{tuple.destination, tuple.destination_port, tuple.protocol};
    const auto found = known.by_address.find(key);
    return found == known.by_address.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::uint32_t> find_service(const registry& known, service_id id)
{
    const auto found = known.service_slots.find(id);
    return found == known.service_slots.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::uint32_t> find_backend(const registry& known, backend_id id)
{
    const auto found = known.backend_slots.find(id);
    return found == known.backend_slots.end() ? std::nullopt : std::optional(found->second);
}

std::uint32_t find_or_add_backend(registry& known, backend_id id, std::uint32_t service_slot,
                                  const endpoint& packets)
{
    const auto existing = find_backend(known, id);
    if (existing)
    {
        return *existing;
    }
    const std::uint32_t slot = find_or_add_backend_slot(known, id);
    backend_runtime& backend = known.backends[slot];
    backend.name = "unnamed";
    backend.service_slot = service_slot;
    backend.packets = packets;
    return slot;
}

} // namespace briarbarrow

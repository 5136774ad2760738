// The services and backend servers that a host knows, under this host's own small numbers
// (*slots*), so that a flow entry needs four bytes for each.
//
// A slot is never given to another name. A backend server that left the configuration keeps its
// slot and its address, since flows that it has accepted go on; it only gets no new ones. In the
// same way a service that left the configuration keeps its addresses until another one takes them.
#ifndef BRIARBARROW_CORE_PLACEMENT_REGISTRY_HPP
#define BRIARBARROW_CORE_PLACEMENT_REGISTRY_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "core/configuration.hpp"
#include "core/ids.hpp"
#include "core/placement/record_owners.hpp"

namespace briarbarrow
{

// A backend server as this host sees it.
struct backend_runtime
{
    backend_id id = backend_id::none;
    std::string name;
    std::string zone;
    std::uint32_t service_slot = 0;
    endpoint packets;
    std::uint32_t weight = 1;
    std::uint32_t max_connections = 0;
    // True when the configuration in force has it as active.
    bool accepts_flows = false;
    // Flows in this host's records that have not ended.
    std::uint32_t in_flight = 0;
    std::uint64_t opened = 0;
};

// A service as this host sees it.
struct service_runtime
{
    service_id id = service_id::none;
    std::string name;
    bool configured = false;
    bool at_most_once = false;
    transport protocol = transport::tcp;
    millis idle_timeout{900'000};
    // Slots of the backend servers in the configuration in force.
    std::vector<std::uint32_t> backends;
    // Keepers in the newest view, worked out at first use after a change.
    std::uint64_t owners_view = 0;
    owner_pair owners;
    // This host's slot for the other keeper, while this host is one.
    std::uint16_t partner_slot = 0;
};

// What a packet's destination is looked up by.
struct service_address
{
    ip_address address;
    std::uint16_t port = 0;
    transport protocol = transport::tcp;

    friend bool operator==(const service_address&, const service_address&) = default;
};

// Hash of a service address for the unordered map.
struct service_address_hash
{
    std::size_t operator()(const service_address& value) const;
};

// Slot of the backend server that is none.
constexpr std::uint32_t no_backend_slot = 0;

// All services and backend servers. Slot 0 of the backend servers is none.
struct registry
{
    std::vector<service_runtime> services;
    std::vector<backend_runtime> backends = std::vector<backend_runtime>(1);
    std::unordered_map<service_address, std::uint32_t, service_address_hash> by_address;
    std::unordered_map<service_id, std::uint32_t> service_slots;
    std::unordered_map<backend_id, std::uint32_t> backend_slots;
};

// Puts a checked configuration in force.
void apply_configuration(registry& known, const configuration& value);

// The slot of the service that a packet is for.
std::optional<std::uint32_t> find_service(const registry& known, const flow_tuple& tuple);

// The slot of a service by identifier.
std::optional<std::uint32_t> find_service(const registry& known, service_id id);

// The slot of a backend server by identifier.
std::optional<std::uint32_t> find_backend(const registry& known, backend_id id);

// Takes note of a backend server that another host has named and our configuration does not have
// yet or any more. Returns its slot.
std::uint32_t find_or_add_backend(registry& known, backend_id id, std::uint32_t service_slot,
                                  const endpoint& packets);

} // namespace briarbarrow

#endif

// The services and backend servers known to this host, indexed by *slots*: small numbers that are
// local to this host, so that a flow entry needs four bytes for each.
//
// A slot is never reused for another name. A backend server that was removed from the configuration
// keeps its slot and address, because its accepted flows go on; it only gets no new ones. Likewise,
// a removed service keeps its addresses until another service is configured with them.
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

// Configuration of a backend server and this host's state of it.
struct backend_runtime
{
    backend_id id = backend_id::none;
    std::string name;
    std::string zone;
    std::uint32_t service_slot = 0;
    // Where it receives encapsulated packets.
    endpoint packets;
    std::uint32_t weight = 1;
    std::uint32_t max_connections = 0;
    // True when it is active in the configuration in force, in a zone that is not evacuated.
    bool accepts_flows = false;
    // Number of flows in this host's records that have not ended.
    std::uint32_t in_flight = 0;
    // Number of flows that this host has placed on it.
    std::uint64_t opened = 0;
};

// Configuration of a service and this host's cache of its record owners.
struct service_runtime
{
    service_id id = service_id::none;
    std::string name;
    // True when it is in the configuration in force.
    bool configured = false;
    bool at_most_once = false;
    transport protocol = transport::tcp;
    millis idle_timeout{900'000};
    // Slots of the backend servers in the configuration in force.
    std::vector<std::uint32_t> backends;
    // Owners in the newest view, computed at first use after a view change.
    std::uint64_t owners_view = 0;
    owner_pair owners;
    // Host slot of the other owner, while this host is one of the owners.
    std::uint16_t partner_slot = 0;
};

// Key for looking up the service of a packet by its destination.
struct service_address
{
    ip_address address;
    std::uint16_t port = 0;
    transport protocol = transport::tcp;

    friend bool operator==(const service_address&, const service_address&) = default;
};

// Hash function for maps keyed by service address.
struct service_address_hash
{
    std::size_t operator()(const service_address& value) const;
};

// The reserved slot that stands for no backend server.
constexpr std::uint32_t no_backend_slot = 0;

// All services and backend servers. Backend slot 0 is reserved, see no_backend_slot.
struct registry
{
    std::vector<service_runtime> services;
    std::vector<backend_runtime> backends = std::vector<backend_runtime>(1);
    std::unordered_map<service_address, std::uint32_t, service_address_hash> by_address;
    std::unordered_map<service_id, std::uint32_t> service_slots;
    std::unordered_map<backend_id, std::uint32_t> backend_slots;
};

// Puts a validated configuration in force.
void apply_configuration(registry& known, const configuration& value);

// Finds the slot of the service that a packet is addressed to.
std::optional<std::uint32_t> find_service(const registry& known, const flow_tuple& tuple);

// Finds the slot of a service by identifier.
std::optional<std::uint32_t> find_service(const registry& known, service_id id);

// Finds the slot of a backend server by identifier.
std::optional<std::uint32_t> find_backend(const registry& known, backend_id id);

// Returns the slot of a backend server that another host has reported. Adds the backend server when
// this host's configuration does not have it, or does not have it yet; it gets no new flows then.
std::uint32_t find_or_add_backend(registry& known, backend_id id, std::uint32_t service_slot,
                                  const endpoint& packets);

} // namespace briarbarrow

#endif

// The operators' configuration, identical on all hosts: services, their addresses and their backend
// servers. A configuration is one value with a revision and a digest, and a host applies all of it
// or nothing.
#ifndef BRIARBARROW_CORE_CONFIGURATION_HPP
#define BRIARBARROW_CORE_CONFIGURATION_HPP

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/address.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/placement/zone_evacuation.hpp"
#include "core/result.hpp"
#include "wire/ip_packet.hpp"

namespace briarbarrow
{

// The priority of a service under overload, when ordinary services yield to urgent ones.
enum class priority : std::uint8_t
{
    urgent,
    ordinary
};

constexpr std::array<std::string_view, 2> priority_names{"urgent", "ordinary"};

// Whether a backend server accepts new flows.
enum class backend_state : std::uint8_t
{
    active,
    draining
};

constexpr std::array<std::string_view, 2> backend_state_names{"active", "draining"};

// One backend server. `packets` is the endpoint that encapsulated packets are sent to.
struct backend_config
{
    std::string name;
    std::string zone;
    endpoint packets;
    std::uint32_t weight = 1;
    std::uint32_t slots = 2;
    std::uint32_t max_connections = 2000;
    backend_state state = backend_state::active;

    friend bool operator==(const backend_config&, const backend_config&) = default;
};

// One service of a team: its addresses, and the backend servers behind them.
struct service_config
{
    std::string name;
    std::string team;
    std::string template_name;
    std::vector<ip_address> addresses;
    std::uint16_t port = 0;
    transport protocol = transport::tcp;
    priority urgency = priority::ordinary;
    // True if a request must not run twice: a datagram whose flow record may have been lost is then
    // dropped instead of placed again.
    bool at_most_once = false;
    // The record of a flow expires after this time without a packet.
    millis idle_timeout{900'000};
    std::vector<backend_config> backends;

    friend bool operator==(const service_config&, const service_config&) = default;
};

// All services at one revision, and the zones whose backend servers get no new flows. Revision 0
// means that there is no configuration yet.
struct configuration
{
    std::uint64_t revision = 0;
    std::string change_id;
    std::vector<service_config> services;
    evacuated_zones evacuated;

    friend bool operator==(const configuration&, const configuration&) = default;
};

// Validates a configuration: names, identifiers and addresses are unique, values are in range, and
// every service has an active backend server. Returns a message for each fault; empty if valid.
std::vector<std::string> check_configuration(const configuration& value);

// Names of the services that have no backend server for new flows, because the zones of all active
// ones are evacuated.
std::vector<std::string> services_without_backends(const configuration& value);

} // namespace briarbarrow

#endif

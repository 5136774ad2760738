#include "core/configuration.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace briarbarrow
{

namespace
{

constexpr std::uint32_t max_weight = 1000;
constexpr std::uint32_t max_slots = 100'000;
constexpr std::uint32_t max_connections_limit = 1'000'000;
constexpr millis min_idle_timeout{1'000};
constexpr millis max_idle_timeout{86'400'000};

using fault_list = std::vector<std::string>;
using service_address = std::tuple<ip_address, std::uint16_t, transport>;

// Names and addresses seen so far, to find those used twice.
struct seen_so_far
{
    std::set<std::string> services;
    std::set<std::string> backends;
    std::set<std::uint64_t> service_ids;
    std::set<std::uint64_t> backend_ids;
    std::set<service_address> addresses;
    std::set<endpoint> packet_endpoints;
};

void expect(fault_list& faults, bool holds, const std::string& subject, std::string_view rule)
{
    if (!holds)
    {
        faults.push_back(subject + ": " + std::string(rule));
    }
}

void check_range(fault_list& faults, std::uint32_t value, std::uint32_t most,
                 const std::string& subject, std::string_view field)
{
    const bool inside = value >= 1 && value <= most;
    const std::string rule = std::string(field) + " is " + std::to_string(value) +
                             ", but must be 1 to " + std::to_string(most);
    expect(faults, inside, subject, rule);
}

void check_backend(fault_list& faults, seen_so_far& seen, const backend_config& backend)
{
    const std::string subject = "backend server " + backend.name;
    expect(faults, !backend.name.empty(), subject, "name must not be empty");
    expect(faults, !backend.zone.empty(), subject, "zone must not be empty");
    expect(faults, seen.backends.insert(backend.name).second, subject, "name is used twice");
    const auto id = static_cast<std::uint64_t>(backend_id_of(backend.name));
    expect(faults, id != 0 && seen.backend_ids.insert(id).second, subject,
           "name has the identifier of another one; choose another name");
    expect(faults, backend.packets.port != 0, subject, "packets must have a port");
    expect(faults, seen.packet_endpoints.insert(backend.packets).second, subject,
           "packets " + to_string(backend.packets) + " is used by another backend server");
    check_range(faults, backend.weight, max_weight, subject, "weight");
    check_range(faults, backend.slots, max_slots, subject, "slots");
    check_range(faults, backend.max_connections, max_connections_limit, subject, "max_connections");
}

void check_addresses(fault_list& faults, seen_so_far& seen, const service_config& service,
                     const std::string& subject)
{
    expect(faults, !service.addresses.empty(), subject, "must have an address");
    for (const ip_address& address : service.addresses)
    {
        const service_address used{address, service.port, service.protocol};
        expect(faults, seen.addresses.insert(used).second, subject,
               "address " + to_string(address) + " with this port is used twice");
    }
}

void check_service(fault_list& faults, seen_so_far& seen, const service_config& service)
{
    const std::string subject = "service " + service.name;
    expect(faults, !service.name.empty(), subject, "name must not be empty");
    expect(faults, seen.services.insert(service.name).second, subject, "name is used twice");
    const auto id = static_cast<std::uint64_t>(service_id_of(service.name));
    expect(faults, id != 0 && seen.service_ids.insert(id).second, subject,
           "name has the identifier of another one; choose another name");
    expect(faults, !service.team.empty(), subject, "team must not be empty");
    expect(faults, service.port != 0, subject, "port must be 1 to 65535");
    const bool idle_inside =
        service.idle_timeout >= min_idle_timeout && service.idle_timeout <= max_idle_timeout;
    expect(faults, idle_inside, subject, "idle_timeout_ms must be 1000 to 86400000");
    check_addresses(faults, seen, service, subject);
    const auto accepts_flows = [](const backend_config& backend)
    {
        return backend.state == backend_state::active;
    };
    const bool any = std::any_of(service.backends.begin(), service.backends.end(), accepts_flows);
    expect(faults, any, subject, "must have at least one active backend server");
    for (const backend_config& backend : service.backends)
    {
        check_backend(faults, seen, backend);
    }
}

} // namespace

std::vector<std::string> check_configuration(const configuration& value)
{
    fault_list faults;
    seen_so_far seen;
    for (const service_config& service : value.services)
    {
        check_service(faults, seen, service);
    }
    return faults;
}

} // namespace briarbarrow

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

// Names, identifiers and addresses seen so far, to find duplicates.
struct used_names
{
    std::set<std::string> services;
    std::set<std::string> backends;
    std::set<std::uint64_t> service_ids;
    std::set<std::uint64_t> backend_ids;
    std::set<service_address> addresses;
    std::set<endpoint> packet_endpoints;
};

void require(fault_list& faults, bool is_met, const std::string& subject, std::string_view rule)
{
    if (!is_met)
    {
        faults.push_back(subject + ": " + std::string(rule));
    }
}

void check_range(fault_list& faults, std::uint32_t value, std::uint32_t max,
                 const std::string& subject, std::string_view field)
{
    const bool in_range = value >= 1 && value <= max;
    const std::string rule = std::string(field) + " is " + std::to_string(value) +
                             ", but must be 1 to " + std::to_string(max);
    require(faults, in_range, subject, rule);
}

void check_backend(fault_list& faults, used_names& used, const backend_config& backend)
{
    const std::string subject = "backend server " + backend.name;
    require(faults, !backend.name.empty(), subject, "name must not be empty");
    require(faults, !backend.zone.empty(), subject, "zone must not be empty");
    require(faults, used.backends.insert(backend.name).second, subject, "name is used twice");
    const auto id = static_cast<std::uint64_t>(backend_id_of(backend.name));
    require(faults, id != 0 && used.backend_ids.insert(id).second, subject,
            "the hash of the name is 0 or that of another name; choose another name");
    require(faults, backend.packets.port != 0, subject, "packets must have a port");
    require(faults, used.packet_endpoints.insert(backend.packets).second, subject,
            "packets " + to_string(backend.packets) + " is used by another backend server");
    check_range(faults, backend.weight, max_weight, subject, "weight");
    check_range(faults, backend.slots, max_slots, subject, "slots");
    check_range(faults, backend.max_connections, max_connections_limit, subject, "max_connections");
}

void check_addresses(fault_list& faults, used_names& used, const service_config& service,
                     const std::string& subject)
{
    require(faults, !service.addresses.empty(), subject, "must have at least one address");
    for (const ip_address& address : service.addresses)
    {
        const service_address key{address, service.port, service.protocol};
        require(faults, used.addresses.insert(key).second, subject,
                "address " + to_string(address) + " with this port is used twice");
    }
}

void check_service(fault_list& faults, used_names& used, const service_config& service)
{
    const std::string subject = "service " + service.name;
    require(faults, !service.name.empty(), subject, "name must not be empty");
    require(faults, used.services.insert(service.name).second, subject, "name is used twice");
    const auto id = static_cast<std::uint64_t>(service_id_of(service.name));
    require(faults, id != 0 && used.service_ids.insert(id).second, subject,
            "the hash of the name is 0 or that of another name; choose another name");
    require(faults, !service.team.empty(), subject, "team must not be empty");
    require(faults, service.port != 0, subject, "port must be 1 to 65535");
    const bool idle_in_range =
        service.idle_timeout >= min_idle_timeout && service.idle_timeout <= max_idle_timeout;
    require(faults, idle_in_range, subject, "idle_timeout_ms must be 1000 to 86400000");
    check_addresses(faults, used, service, subject);
    const auto is_active = [](const backend_config& backend)
    {
        return backend.state == backend_state::active;
    };
    const bool any_active =
        std::any_of(service.backends.begin(), service.backends.end(), is_active);
    require(faults, any_active, subject, "must have at least one active backend server");
    for (const backend_config& backend : service.backends)
    {
        check_backend(faults, used, backend);
    }
}

} // namespace

std::vector<std::string> check_configuration(const configuration& value)
{
    fault_list faults;
    used_names used;
    for (const service_config& service : value.services)
    {
        check_service(faults, used, service);
    }
    for (std::size_t i = 0; i < value.evacuated.size(); ++i)
    {
        const bool is_ordered = i == 0 || value.evacuated[i - 1] < value.evacuated[i];
        require(faults, !value.evacuated[i].empty() && is_ordered, "evacuated zones",
                "names must not be empty, and be in alphabetical order without duplicates");
    }
    return faults;
}

std::vector<std::string> services_without_backends(const configuration& value)
{
    std::vector<std::string> names;
    for (const service_config& service : value.services)
    {
        const bool has_backend =
            std::any_of(service.backends.begin(), service.backends.end(),
                        [&value](const backend_config& backend) {
                            return backend.state == backend_state::active &&
                                   !is_evacuated(value.evacuated, backend.zone);
                        });
        if (!has_backend)
        {
            names.push_back(service.name);
        }
    }
    return names;
}

} // namespace briarbarrow

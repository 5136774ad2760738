// Describes the differences between two configurations, as the audit trail stores them.
#include <algorithm>

#include "adapters/template_files.hpp"

namespace briarbarrow
{

namespace
{

using lines = std::vector<std::string>;

// Appends a line if a field differs.
template <typename Value>
void compare_field(lines& out, const std::string& subject, std::string_view field,
                   const Value& before, const Value& after)
{
    if (before != after)
    {
        out.push_back(subject + ": " + std::string(field) + " from " + before + " to " + after);
    }
}

template <typename Names, typename Value>
std::string name_of_value(const Names& names, Value value)
{
    return std::string(names[static_cast<std::size_t>(value)]);
}

std::string join_addresses(const service_config& service)
{
    std::string text;
    for (const ip_address& address : service.addresses)
    {
        text += text.empty() ? to_string(address) : ", " + to_string(address);
    }
    return text;
}

template <typename Item>
const Item* find_by_name(const std::vector<Item>& items, const std::string& name)
{
    const auto same = [&name](const Item& item)
    {
        return item.name == name;
    };
    const auto found = std::find_if(items.begin(), items.end(), same);
    return found == items.end() ? nullptr : &*found;
}

void compare_backends(lines& out, const backend_config& before, const backend_config& after)
{
    const std::string subject = "backend server " + after.name;
    compare_field(out, subject, "zone", before.zone, after.zone);
    compare_field(out, subject, "packets", to_string(before.packets), to_string(after.packets));
    compare_field(out, subject, "weight", std::to_string(before.weight),
                  std::to_string(after.weight));
    compare_field(out, subject, "slots", std::to_string(before.slots), std::to_string(after.slots));
    compare_field(out, subject, "max_connections", std::to_string(before.max_connections),
                  std::to_string(after.max_connections));
    compare_field(out, subject, "state", name_of_value(backend_state_names, before.state),
                  name_of_value(backend_state_names, after.state));
}

void compare_services(lines& out, const service_config& before, const service_config& after)
{
    const std::string subject = "service " + after.name;
    const auto protocol = [](const service_config& service)
    {
        return std::string(service.protocol == transport::tcp ? "tcp" : "udp");
    };
    const auto at_most_once = [](const service_config& service)
    {
        return std::string(service.at_most_once ? "true" : "false");
    };
    compare_field(out, subject, "template", before.template_name, after.template_name);
    compare_field(out, subject, "addresses", join_addresses(before), join_addresses(after));
    compare_field(out, subject, "port", std::to_string(before.port), std::to_string(after.port));
    compare_field(out, subject, "protocol", protocol(before), protocol(after));
    compare_field(out, subject, "urgency", name_of_value(priority_names, before.urgency),
                  name_of_value(priority_names, after.urgency));
    compare_field(out, subject, "at_most_once", at_most_once(before), at_most_once(after));
    compare_field(out, subject, "idle_timeout_ms", std::to_string(before.idle_timeout.count),
                  std::to_string(after.idle_timeout.count));
    for (const backend_config& backend : after.backends)
    {
        const backend_config* old = find_by_name(before.backends, backend.name);
        if (old == nullptr)
        {
            out.push_back(subject + ": backend server " + backend.name + " is added");
            continue;
        }
        compare_backends(out, *old, backend);
    }
    for (const backend_config& backend : before.backends)
    {
        if (find_by_name(after.backends, backend.name) == nullptr)
        {
            out.push_back(subject + ": backend server " + backend.name + " is removed");
        }
    }
}

void compare_evacuations(lines& out, const evacuated_zones& before, const evacuated_zones& after)
{
    for (const std::string& zone : after)
    {
        if (!is_evacuated(before, zone))
        {
            out.push_back("zone " + zone + " is evacuated");
        }
    }
    for (const std::string& zone : before)
    {
        if (!is_evacuated(after, zone))
        {
            out.push_back("zone " + zone + " is readmitted");
        }
    }
}

} // namespace

std::vector<std::string> describe_changes(const configuration& before, const configuration& after)
{
    lines out;
    for (const service_config& service : after.services)
    {
        const service_config* old = find_by_name(before.services, service.name);
        if (old == nullptr)
        {
            out.push_back("service " + service.name + " of team " + service.team + " is added, " +
                          std::to_string(service.backends.size()) + " backend servers");
            continue;
        }
        compare_services(out, *old, service);
    }
    for (const service_config& service : before.services)
    {
        if (find_by_name(after.services, service.name) == nullptr)
        {
            out.push_back("service " + service.name + " is removed");
        }
    }
    compare_evacuations(out, before.evacuated, after.evacuated);
    return out;
}

} // namespace briarbarrow

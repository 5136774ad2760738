#include "tagged/route_review.hpp"

#include <algorithm>
#include <map>

namespace briarbarrow
{

namespace
{

using lines = std::vector<std::string>;

std::string describe_ms(millis duration)
{
    return std::to_string(duration.count) + " ms";
}

void review_route(std::vector<review_finding>& findings, const route& checked)
{
    const std::string subject = "route " + checked.name;
    std::uint64_t weight = 0;
    for (const weighted_service& share : checked.services)
    {
        weight += share.weight;
    }
    if (weight == 0)
    {
        findings.push_back({finding_kind::unreachable, subject,
                            "no service has a weight above 0, so every flow is refused"});
    }
    if (checked.timeout < checked.objective)
    {
        findings.push_back({finding_kind::contradiction, subject,
                            "its callers give up after " + describe_ms(checked.timeout) +
                                ", before its objective of " + describe_ms(checked.objective)});
    }
    if (checked.timeout <= millis{})
    {
        findings.push_back({finding_kind::contradiction, subject,
                            "its timeout is " + describe_ms(checked.timeout)});
    }
}

template <typename Value>
void compare_field(lines& out, const std::string& subject, std::string_view field,
                   const Value& before, const Value& after)
{
    if (before != after)
    {
        out.push_back(subject + ": " + std::string(field) + " from " + before + " to " + after);
    }
}

// Services by identifier, since a list doesn't keep their names.
std::string describe_services(const route& described)
{
    std::string text;
    for (const weighted_service& share : described.services)
    {
        text += (text.empty() ? "" : ", ") +
                std::to_string(static_cast<std::uint64_t>(share.service) & 0xffffU) + ":" +
                std::to_string(share.weight);
    }
    return text.empty() ? "none" : text;
}

void compare_routes(lines& out, const route& before, const route& after)
{
    const std::string subject = "route " + after.name;
    const auto kind_of = [](const route& described)
    {
        return std::string(request_kind_names[static_cast<std::size_t>(described.kind)]);
    };
    compare_field(out, subject, "address", to_string(before.address), to_string(after.address));
    compare_field(out, subject, "kind", kind_of(before), kind_of(after));
    compare_field(out, subject, "timeout", describe_ms(before.timeout), describe_ms(after.timeout));
    compare_field(out, subject, "objective", describe_ms(before.objective),
                  describe_ms(after.objective));
    compare_field(out, subject, "priority", std::to_string(before.priority),
                  std::to_string(after.priority));
    compare_field(out, subject, "services (number:weight)", describe_services(before),
                  describe_services(after));
}

std::map<std::string, const route*> by_name(const route_list& list)
{
    std::map<std::string, const route*> routes;
    for (const route& entry : list.routes)
    {
        routes[entry.name] = &entry;
    }
    return routes;
}

} // namespace

std::vector<review_finding> review_routes(const route_list& list)
{
    std::vector<review_finding> findings;
    std::map<std::string, std::string> last_at_address;
    for (const route& entry : list.routes)
    {
        last_at_address[to_string(entry.address)] = entry.name;
        review_route(findings, entry);
    }
    for (const route& entry : list.routes)
    {
        const std::string& last = last_at_address[to_string(entry.address)];
        if (last != entry.name)
        {
            findings.push_back({finding_kind::unreachable, "route " + entry.name,
                                "route " + last + " has the same address, " +
                                    to_string(entry.address) + ", and is the one that counts"});
        }
    }
    return findings;
}

std::vector<std::string> describe_route_changes(const route_list& before, const route_list& after)
{
    lines out;
    if (after.version <= before.version)
    {
        out.push_back("version " + std::to_string(after.version) +
                      " is not above the one in force, " + std::to_string(before.version) +
                      ", so it will not be applied");
    }
    const auto old_routes = by_name(before);
    const auto new_routes = by_name(after);
    for (const auto& [name, entry] : new_routes)
    {
        const auto old = old_routes.find(name);
        if (old == old_routes.end())
        {
            out.push_back("route " + name + " is added at " + to_string(entry->address));
            continue;
        }
        compare_routes(out, *old->second, *entry);
    }
    for (const auto& [name, entry] : old_routes)
    {
        if (new_routes.count(name) == 0)
        {
            out.push_back("route " + name + " at " + to_string(entry->address) +
                          " is removed, and its open flows are reset");
        }
    }
    compare_field(out, "limits", "idle timeout", describe_ms(before.idle_timeout),
                  describe_ms(after.idle_timeout));
    return out;
}

} // namespace briarbarrow

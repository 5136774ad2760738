#include "core/configuration_review.hpp"

namespace briarbarrow
{

namespace
{

using finding_list = std::vector<review_finding>;

void review_backend(finding_list& findings, const backend_config& backend,
                    const evacuated_zones& evacuated)
{
    const std::string subject = "backend server " + backend.name;
    if (backend.max_connections < backend.slots)
    {
        findings.push_back({finding_kind::contradiction, subject,
                            "max_connections is " + std::to_string(backend.max_connections) +
                                ", less than its slots, " + std::to_string(backend.slots) +
                                ", so slots stay idle"});
    }
    if (backend.state == backend_state::active && is_evacuated(evacuated, backend.zone))
    {
        findings.push_back({finding_kind::unreachable, subject,
                            "it is active, but its zone " + backend.zone + " is evacuated"});
    }
}

} // namespace

std::vector<review_finding> review_configuration(const configuration& value)
{
    finding_list findings;
    for (const service_config& service : value.services)
    {
        for (const backend_config& backend : service.backends)
        {
            review_backend(findings, backend, value.evacuated);
        }
    }
    for (const std::string& name : services_without_backends(value))
    {
        findings.push_back({finding_kind::contradiction, "service " + name,
                            "the zones of all active backend servers are evacuated, so it takes no "
                            "new flows"});
    }
    return findings;
}

} // namespace briarbarrow

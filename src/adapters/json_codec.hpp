// JSON forms of the configuration, the hosts and the audit entries that the platform stores, and of
// the status that a host shows to operators.
#ifndef BRIARBARROW_ADAPTERS_JSON_CODEC_HPP
#define BRIARBARROW_ADAPTERS_JSON_CODEC_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "adapters/metrics_page.hpp"
#include "core/configuration.hpp"
#include "core/core.hpp"
#include "core/members/host.hpp"
#include "core/result.hpp"
#include "wire/messages.hpp"

namespace briarbarrow
{

// Serializes a configuration. Equal configurations give equal texts.
std::string configuration_to_json(const configuration& value);

// Parses and validates a configuration. The error lists every violated rule.
result<configuration, text_error> configuration_from_json(std::string_view text);

// Digest of a configuration's text, to detect different contents under the same revision.
std::uint32_t digest_text(std::string_view text);

// Serializes a host as it is listed in the platform.
std::string host_to_json(const reported_host& host);

// Parses a host listing.
result<reported_host, text_error> host_from_json(std::string_view text);

// An entry of the audit trail: one change of the configuration.
struct audit_entry
{
    std::uint64_t revision = 0;
    std::string change_id;
    std::string who;
    std::string when;
    std::string why;
    // One line for each field that the change touched.
    std::vector<std::string> changes;
};

// Serializes an audit entry.
std::string audit_to_json(const audit_entry& entry);

// Parses an audit entry.
result<audit_entry, text_error> audit_from_json(std::string_view text);

// Serializes a host's status for operators: its peers, backend servers, counters and distributions.
std::string status_to_json(const core_state& state, millis now,
                           const std::vector<adapter_summary>& summaries);

} // namespace briarbarrow

#endif

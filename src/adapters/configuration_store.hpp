// The configuration in the platform, as operators' commands change it.
//
// A change is one transaction: it compares the last change of the configuration's key and writes
// the new configuration and its audit entry, or nothing. It carries a change id of its own. When
// an answer is lost, the writer reads the change id back; it never writes again without knowing.
#ifndef BRIARBARROW_ADAPTERS_CONFIGURATION_STORE_HPP
#define BRIARBARROW_ADAPTERS_CONFIGURATION_STORE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "adapters/http_call.hpp"
#include "adapters/json_codec.hpp"
#include "core/configuration.hpp"
#include "core/members/host.hpp"

namespace briarbarrow
{

// Where the configuration is kept.
struct store_location
{
    endpoint platform;
    std::string prefix;
};

// The configuration with the store's revision of its last change; 0 when there is none yet.
struct stored_configuration
{
    configuration value;
    std::string text;
    std::int64_t mod_revision = 0;
};

// How a write ended.
enum class write_outcome : std::uint8_t
{
    written,
    // Someone else has changed the configuration since it was read.
    conflict,
    // The platform did not take the change; it is certain that nothing was written.
    not_written,
    // The answer was lost and the platform can't be read: the change may or may not be there.
    unknown
};

constexpr std::array<std::string_view, 4> write_outcome_names{"written", "conflict", "not_written",
                                                              "unknown"};

// Reads the configuration in force.
result<stored_configuration, text_error> read_configuration(SoupSession* session,
                                                            const store_location& location);

// Reads the list of hosts.
result<std::vector<reported_host>, text_error> read_hosts(SoupSession* session,
                                                          const store_location& location);

// Reads the audit trail, oldest first.
result<std::vector<audit_entry>, text_error> read_audit(SoupSession* session,
                                                        const store_location& location);

// Writes a configuration in place of the one that was read, with its audit entry.
write_outcome write_configuration(SoupSession* session, const store_location& location,
                                  const stored_configuration& read, const configuration& wanted,
                                  const audit_entry& entry);

} // namespace briarbarrow

#endif

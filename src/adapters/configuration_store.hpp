// Reads and writes the configuration in the platform's key-value store for operators' commands.
//
// A change is one transaction: it compares the mod revision of the configuration's key and writes
// the new configuration together with its audit entry, or nothing. Each change has a unique change
// id. When a response is lost, the writer reads the audit entry back and compares its change id. A
// write is only repeated as the same transaction, of which at most one can take effect.
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

// The platform's address and the prefix of all keys.
struct store_location
{
    endpoint platform;
    std::string prefix;
};

// The stored configuration. `mod_revision` is the store's revision of its last change, or 0 when
// there is no configuration yet.
struct stored_configuration
{
    configuration value;
    std::string text;
    std::int64_t mod_revision = 0;
};

// Outcome of a write.
enum class write_outcome : std::uint8_t
{
    written,
    // The configuration has been changed by another writer since it was read.
    conflict,
    // The request failed before it took effect: nothing was written.
    not_written,
    // The response was lost and the change could not be read back: it may have taken effect.
    unknown
};

constexpr std::array<std::string_view, 4> write_outcome_names{"written", "conflict", "not_written",
                                                              "unknown"};

// Reads the configuration. Empty with mod revision 0 when there is none.
result<stored_configuration, text_error> read_configuration(SoupSession* session,
                                                            const store_location& location);

// Reads the listed hosts. Skips listings that can't be parsed.
result<std::vector<reported_host>, text_error> read_hosts(SoupSession* session,
                                                          const store_location& location);

// Reads the audit trail, oldest entry first. Skips entries that can't be parsed.
result<std::vector<audit_entry>, text_error> read_audit(SoupSession* session,
                                                        const store_location& location);

// Replaces the configuration that was read, and adds the audit entry, in one transaction.
write_outcome write_configuration(SoupSession* session, const store_location& location,
                                  const stored_configuration& read, const configuration& wanted,
                                  const audit_entry& entry);

} // namespace briarbarrow

#endif

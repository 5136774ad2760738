// Reads service templates and operators' service files (TOML).
//
// A template fixes some fields of a service and leaves the others to the operator as parameters,
// each with bounds, an optional default and a sentence of documentation. An operator's file names a
// team and, for each service, a template, addresses, backend servers and the parameters' values.
// Both are validated completely; errors carry file and line.
#ifndef BRIARBARROW_ADAPTERS_TEMPLATE_FILES_HPP
#define BRIARBARROW_ADAPTERS_TEMPLATE_FILES_HPP

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/configuration.hpp"
#include "core/result.hpp"

namespace briarbarrow
{

// Fields that a template either fixes or declares as parameters.
enum class service_field : std::uint8_t
{
    port,
    protocol,
    urgency,
    at_most_once,
    idle_timeout_ms,
    slots,
    max_connections
};

constexpr std::array<std::string_view, 7> service_field_names{
    "port", "protocol", "urgency", "at_most_once", "idle_timeout_ms", "slots", "max_connections"};

// A field that the operator sets. Numbers have bounds; other fields take any legal value.
struct template_parameter
{
    std::string documentation;
    std::int64_t min = 0;
    std::int64_t max = 0;
    // Used when the operator sets no value; empty when a value is required.
    std::optional<std::string> default_value;
};

// A template. Every field is either fixed or a parameter.
struct service_template
{
    std::string name;
    std::string description;
    std::map<service_field, std::string> fixed;
    std::map<service_field, template_parameter> parameters;
};

// The services of one team from an operator's file, with all template fields resolved.
struct service_file
{
    std::string team;
    std::vector<service_config> services;
};

// Reads one template.
result<service_template, text_error> read_template(const std::string& path);

// Reads all templates (*.toml) of a folder, by name. Fails at the first invalid one.
result<std::map<std::string, service_template>, text_error>
read_templates(const std::string& folder);

// Reads an operator's file and applies its templates.
result<service_file, text_error>
read_service_file(const std::string& path,
                  const std::map<std::string, service_template>& templates);

// Merges the services of a file into a configuration: services of the same name are replaced, the
// others stay. Fails if a service belongs to another team. The revision is not changed.
result<configuration, text_error> merge_services(const configuration& base,
                                                 const service_file& file);

// Returns one line for each difference, in the order of services and backend servers.
std::vector<std::string> describe_changes(const configuration& before, const configuration& after);

} // namespace briarbarrow

#endif

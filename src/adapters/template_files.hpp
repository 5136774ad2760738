// Service templates and the files that operators fill in.
//
// A template (TOML) names the fields of a service that it fixes and those that an operator gives
// as parameters, each with its type, bounds, default and a sentence of documentation. An operator's
// file names a team and, for each service, a template and the parameters' values; nothing else.
// Both are checked in full, with file and line.
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

// Fields of a service that a template fixes or leaves to the operator.
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

// What an operator may give for a field. Numbers have bounds; other fields take any legal value.
struct template_parameter
{
    std::string documentation;
    std::int64_t least = 0;
    std::int64_t most = 0;
    // The value when the operator gives none; unset when it has to be given.
    std::optional<std::string> otherwise;
};

// A template: every field is either fixed or a parameter.
struct service_template
{
    std::string name;
    std::string description;
    std::map<service_field, std::string> fixed;
    std::map<service_field, template_parameter> parameters;
};

// Services of one team as an operator's file has them, ready to go into the configuration.
struct service_file
{
    std::string team;
    std::vector<service_config> services;
};

// Reads one template.
result<service_template, text_error> read_template(const std::string& path);

// Reads all templates (*.toml) of a folder.
result<std::map<std::string, service_template>, text_error>
read_templates(const std::string& folder);

// Reads an operator's file and fills in its templates.
result<service_file, text_error>
read_service_file(const std::string& path,
                  const std::map<std::string, service_template>& templates);

// Puts the services of a file into a configuration: those of the same name are replaced, others
// stay. The error names services that belong to another team. The revision is not changed.
result<configuration, text_error> merge_services(const configuration& base,
                                                 const service_file& file);

// One line for each field that differs, in the order of services and backend servers.
std::vector<std::string> describe_changes(const configuration& before, const configuration& after);

} // namespace briarbarrow

#endif

#include "adapters/template_files.hpp"

#include <algorithm>
#include <filesystem>

#include "adapters/toml_reader.hpp"

namespace briarbarrow
{

namespace
{

// Upper limit of every number; as a timeout in milliseconds it is one day.
constexpr std::int64_t max_integer = 86'400'000;
constexpr integer_range weight_range{1, 1000};

std::string join_lines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
    {
        text.append(text.empty() ? "" : "\n").append(line);
    }
    return text;
}

bool is_number(service_field field)
{
    return field == service_field::port || field == service_field::idle_timeout_ms ||
           field == service_field::slots || field == service_field::max_connections;
}

// Returns the legal values of a field that is not a number.
std::vector<std::string_view> legal_values(service_field field)
{
    switch (field)
    {
    case service_field::protocol:
        return {"tcp", "udp"};
    case service_field::urgency:
        return {priority_names.begin(), priority_names.end()};
    case service_field::at_most_once:
        return {"false", "true"};
    default:
        return {};
    }
}

// Reads the value of a field and converts it to text.
std::string read_value(toml_reader& reader, service_field field, integer_range range,
                       const std::optional<std::string>& default_value)
{
    const std::string_view key = service_field_names[static_cast<std::size_t>(field)];
    if (default_value && !reader.has(key))
    {
        reader.boolean(key, false);
        return *default_value;
    }
    if (is_number(field))
    {
        return std::to_string(reader.integer(key, range));
    }
    if (field == service_field::at_most_once)
    {
        return reader.boolean(key, false) ? "true" : "false";
    }
    const auto legal = legal_values(field);
    return std::string(legal[reader.one_of(key, legal)]);
}

std::optional<service_field> find_field(std::string_view name)
{
    const auto* found = std::find(service_field_names.begin(), service_field_names.end(), name);
    if (found == service_field_names.end())
    {
        return std::nullopt;
    }
    return static_cast<service_field>(found - service_field_names.begin());
}

template_parameter read_parameter(const toml::table& table, service_field field,
                                  toml_errors& errors)
{
    const std::string_view name = service_field_names[static_cast<std::size_t>(field)];
    toml_reader reader(table, "[parameters." + std::string(name) + "]", errors);
    template_parameter parameter;
    parameter.documentation = reader.text("documentation");
    if (is_number(field))
    {
        parameter.min = reader.integer("least", {1, max_integer});
        parameter.max = reader.integer("most", {parameter.min, max_integer});
        if (reader.has("default"))
        {
            const auto value = reader.integer("default", {parameter.min, parameter.max});
            parameter.default_value = std::to_string(value);
        }
    }
    else if (reader.has("default"))
    {
        const bool flag = field == service_field::at_most_once;
        const auto legal = legal_values(field);
        parameter.default_value = flag ? (reader.boolean("default", false) ? "true" : "false")
                                       : std::string(legal[reader.one_of("default", legal)]);
    }
    reader.finish();
    return parameter;
}

void read_fixed(service_template& parsed, const toml::table& table, toml_errors& errors)
{
    toml_reader reader(table, "[fixed]", errors);
    for (const std::string_view name : service_field_names)
    {
        const auto field = find_field(name);
        if (reader.has(name))
        {
            parsed.fixed[*field] = read_value(reader, *field, {1, max_integer}, std::nullopt);
        }
    }
    reader.finish();
}

void read_parameters(service_template& parsed, const toml::table& table, toml_errors& errors)
{
    toml_reader reader(table, "[parameters]", errors);
    for (const std::string_view name : service_field_names)
    {
        const auto field = find_field(name);
        if (!reader.has(name))
        {
            continue;
        }
        const toml::table* parameter = reader.table(name, true);
        if (parameter != nullptr)
        {
            parsed.parameters[*field] = read_parameter(*parameter, *field, errors);
        }
    }
    reader.finish();
}

void check_template(const service_template& parsed, const toml::table& table, toml_errors& errors)
{
    for (const std::string_view name : service_field_names)
    {
        const auto field = find_field(name);
        const bool fixed = parsed.fixed.contains(*field);
        const bool parameter = parsed.parameters.contains(*field);
        if (fixed == parameter)
        {
            add_error(errors, table,
                      std::string(name) + (fixed ? " is both fixed and a parameter"
                                                 : " is neither fixed nor a "
                                                   "parameter"));
        }
    }
}

void set_field(service_config& service, service_field field, const std::string& value)
{
    switch (field)
    {
    case service_field::port:
        service.port = static_cast<std::uint16_t>(std::stol(value));
        break;
    case service_field::protocol:
        service.protocol = value == "tcp" ? transport::tcp : transport::udp;
        break;
    case service_field::urgency:
        service.urgency = value == "urgent" ? priority::urgent : priority::ordinary;
        break;
    case service_field::at_most_once:
        service.at_most_once = value == "true";
        break;
    case service_field::idle_timeout_ms:
        service.idle_timeout = millis{std::stoll(value)};
        break;
    case service_field::slots:
    case service_field::max_connections:
        // Set on each backend server instead.
        break;
    }
}

std::uint32_t backend_number(const std::map<service_field, std::string>& values,
                             service_field field)
{
    return static_cast<std::uint32_t>(std::stoul(values.at(field)));
}

backend_config read_backend(const toml::table& table,
                            const std::map<service_field, std::string>& values, toml_errors& errors)
{
    toml_reader reader(table, "[[service.backend]]", errors);
    backend_config backend;
    backend.name = reader.text("name");
    backend.zone = reader.text("zone");
    backend.packets = reader.address_and_port("packets");
    backend.weight = static_cast<std::uint32_t>(reader.integer("weight", weight_range, 1));
    backend.state = static_cast<backend_state>(reader.one_of(
        "state", {backend_state_names.begin(), backend_state_names.end()}, std::size_t{0}));
    backend.slots = backend_number(values, service_field::slots);
    backend.max_connections = backend_number(values, service_field::max_connections);
    reader.finish();
    return backend;
}

std::map<service_field, std::string> read_values(const service_template& parsed,
                                                 const toml::table& table, toml_errors& errors)
{
    toml_reader reader(table, "[service.parameters]", errors);
    std::map<service_field, std::string> values = parsed.fixed;
    for (const auto& [field, parameter] : parsed.parameters)
    {
        values[field] =
            read_value(reader, field, {parameter.min, parameter.max}, parameter.default_value);
    }
    reader.finish();
    return values;
}

service_config read_service(const toml::table& table, const std::string& team,
                            const std::map<std::string, service_template>& templates,
                            toml_errors& errors)
{
    toml_reader reader(table, "[[service]]", errors);
    service_config service;
    service.team = team;
    service.name = reader.text("name");
    service.template_name = reader.text("template");
    service.addresses = reader.addresses("addresses");
    const toml::table empty;
    const toml::table* given = reader.table("parameters", false);
    const auto found = templates.find(service.template_name);
    const auto backends = reader.tables("backend");
    reader.finish();
    if (found == templates.end())
    {
        std::string known;
        for (const auto& [name, parsed] : templates)
        {
            known.append(known.empty() ? "" : ", ").append(name);
        }
        add_error(errors, reader.location_of("template"),
                  "there is no template \"" + service.template_name +
                      "\"; available templates: " + known);
        return service;
    }
    const auto values = read_values(found->second, given == nullptr ? empty : *given, errors);
    for (const auto& [field, value] : values)
    {
        set_field(service, field, value);
    }
    for (const toml::table* backend : backends)
    {
        service.backends.push_back(read_backend(*backend, values, errors));
    }
    return service;
}

} // namespace

result<service_template, text_error> read_template(const std::string& path)
{
    toml_errors errors;
    const auto table = read_toml_file(errors, path);
    if (!table)
    {
        return text_error{join_lines(errors.lines)};
    }
    service_template parsed;
    toml_reader reader(*table, "the template", errors);
    parsed.name = reader.text("name");
    parsed.description = reader.text("description");
    if (const toml::table* fixed = reader.table("fixed", false))
    {
        read_fixed(parsed, *fixed, errors);
    }
    if (const toml::table* parameters = reader.table("parameters", false))
    {
        read_parameters(parsed, *parameters, errors);
    }
    reader.finish();
    check_template(parsed, *table, errors);
    if (!errors.lines.empty())
    {
        return text_error{join_lines(errors.lines)};
    }
    return parsed;
}

result<std::map<std::string, service_template>, text_error>
read_templates(const std::string& folder)
{
    std::map<std::string, service_template> templates;
    std::error_code failed;
    std::vector<std::string> paths;
    for (const auto& entry : std::filesystem::directory_iterator(folder, failed))
    {
        if (entry.path().extension() == ".toml")
        {
            paths.push_back(entry.path().string());
        }
    }
    if (failed)
    {
        return text_error{std::string("cannot read the templates in ")
                              .append(folder)
                              .append(": ")
                              .append(failed.message())};
    }
    std::sort(paths.begin(), paths.end());
    for (const std::string& path : paths)
    {
        auto parsed = read_template(path);
        if (!parsed)
        {
            return parsed.error();
        }
        const std::string name = parsed.value().name;
        if (!templates.emplace(name, std::move(parsed.value())).second)
        {
            std::string text = path;
            text.append(": another template is already named \"").append(name).append("\"");
            return text_error{text};
        }
    }
    return templates;
}

result<service_file, text_error>
read_service_file(const std::string& path, const std::map<std::string, service_template>& templates)
{
    toml_errors errors;
    const auto table = read_toml_file(errors, path);
    if (!table)
    {
        return text_error{join_lines(errors.lines)};
    }
    service_file file;
    toml_reader reader(*table, "the file", errors);
    file.team = reader.text("team");
    const auto services = reader.tables("service");
    reader.finish();
    if (services.empty())
    {
        add_error(errors, *table, "the file has no [[service]]");
    }
    for (const toml::table* service : services)
    {
        file.services.push_back(read_service(*service, file.team, templates, errors));
    }
    configuration file_only;
    file_only.services = file.services;
    if (errors.lines.empty())
    {
        for (const std::string& error : check_configuration(file_only))
        {
            errors.lines.emplace_back(path).append(": ").append(error);
        }
    }
    if (!errors.lines.empty())
    {
        return text_error{join_lines(errors.lines)};
    }
    return file;
}

result<configuration, text_error> merge_services(const configuration& base,
                                                 const service_file& file)
{
    configuration merged = base;
    for (const service_config& service : file.services)
    {
        const auto same_name = [&service](const service_config& other)
        {
            return other.name == service.name;
        };
        const auto found = std::find_if(merged.services.begin(), merged.services.end(), same_name);
        if (found == merged.services.end())
        {
            merged.services.push_back(service);
            continue;
        }
        if (found->team != service.team)
        {
            return text_error{"service " + service.name + " belongs to team " + found->team +
                              ", not to " + service.team};
        }
        *found = service;
    }
    const auto errors = check_configuration(merged);
    if (!errors.empty())
    {
        return text_error{join_lines(errors)};
    }
    return merged;
}

} // namespace briarbarrow

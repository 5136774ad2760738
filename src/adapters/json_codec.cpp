#include "adapters/json_codec.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace briarbarrow
{

namespace
{

using nlohmann::json;

// Thrown for values that are valid JSON but not legal here. read_json turns it into a text_error,
// like the JSON library's own exceptions, so it never leaves this file.
struct invalid_value : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

template <typename Names>
std::size_t index_of(const Names& names, const json& value, std::string_view field)
{
    const auto text = value.get<std::string>();
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        if (names[i] == text)
        {
            return i;
        }
    }
    throw invalid_value(std::string(field) + " has unknown value \"" + text + "\"");
}

endpoint endpoint_from(const json& value)
{
    const auto text = value.get<std::string>();
    const auto parsed = parse_endpoint(text);
    if (!parsed)
    {
        throw invalid_value("\"" + text + "\" is not an IP address with a port");
    }
    return *parsed;
}

ip_address address_from(const json& value)
{
    const auto text = value.get<std::string>();
    const auto parsed = parse_address(text);
    if (!parsed)
    {
        throw invalid_value("\"" + text + "\" is not an IP address");
    }
    return *parsed;
}

std::string_view protocol_name(transport protocol)
{
    return protocol == transport::tcp ? "tcp" : "udp";
}

transport protocol_from(const json& value)
{
    constexpr std::array<std::string_view, 2> names{"tcp", "udp"};
    return index_of(names, value, "protocol") == 0 ? transport::tcp : transport::udp;
}

json backend_to_json(const backend_config& backend)
{
    const auto state = static_cast<std::size_t>(backend.state);
    return json{{"name", backend.name},
                {"zone", backend.zone},
                {"packets", to_string(backend.packets)},
                {"weight", backend.weight},
                {"slots", backend.slots},
                {"max_connections", backend.max_connections},
                {"state", backend_state_names[state]}};
}

backend_config backend_from(const json& value)
{
    backend_config backend;
    backend.name = value.at("name").get<std::string>();
    backend.zone = value.at("zone").get<std::string>();
    backend.packets = endpoint_from(value.at("packets"));
    backend.weight = value.at("weight").get<std::uint32_t>();
    backend.slots = value.at("slots").get<std::uint32_t>();
    backend.max_connections = value.at("max_connections").get<std::uint32_t>();
    backend.state =
        static_cast<backend_state>(index_of(backend_state_names, value.at("state"), "state"));
    return backend;
}

json service_to_json(const service_config& service)
{
    json addresses = json::array();
    for (const ip_address& address : service.addresses)
    {
        addresses.push_back(to_string(address));
    }
    json backends = json::array();
    for (const backend_config& backend : service.backends)
    {
        backends.push_back(backend_to_json(backend));
    }
    const auto urgency = static_cast<std::size_t>(service.urgency);
    return json{{"name", service.name},
                {"team", service.team},
                {"template", service.template_name},
                {"addresses", addresses},
                {"port", service.port},
                {"protocol", protocol_name(service.protocol)},
                {"urgency", priority_names[urgency]},
                {"at_most_once", service.at_most_once},
                {"idle_timeout_ms", service.idle_timeout.count},
                {"backends", backends}};
}

service_config service_from(const json& value)
{
    service_config service;
    service.name = value.at("name").get<std::string>();
    service.team = value.at("team").get<std::string>();
    service.template_name = value.at("template").get<std::string>();
    for (const json& address : value.at("addresses"))
    {
        service.addresses.push_back(address_from(address));
    }
    service.port = value.at("port").get<std::uint16_t>();
    service.protocol = protocol_from(value.at("protocol"));
    service.urgency =
        static_cast<priority>(index_of(priority_names, value.at("urgency"), "urgency"));
    service.at_most_once = value.at("at_most_once").get<bool>();
    service.idle_timeout = millis{value.at("idle_timeout_ms").get<std::int64_t>()};
    for (const json& backend : value.at("backends"))
    {
        service.backends.push_back(backend_from(backend));
    }
    return service;
}

configuration configuration_from(const json& value)
{
    configuration read;
    read.revision = value.at("revision").get<std::uint64_t>();
    read.change_id = value.at("change_id").get<std::string>();
    for (const json& service : value.at("services"))
    {
        read.services.push_back(service_from(service));
    }
    // Configurations that were written before zones could be evacuated lack the field.
    read.evacuated = value.value("evacuated_zones", evacuated_zones{});
    return read;
}

reported_host host_from(const json& value)
{
    reported_host host;
    host.info.name = value.at("name").get<std::string>();
    host.info.id = host_id_of(host.info.name);
    host.info.zone = value.at("zone").get<std::string>();
    host.info.packets = endpoint_from(value.at("packets"));
    host.info.peers = endpoint_from(value.at("peers"));
    host.info.operators = endpoint_from(value.at("operators"));
    host.info.incarnation = value.at("incarnation").get<std::uint64_t>();
    host.state = static_cast<host_state>(index_of(host_state_names, value.at("state"), "state"));
    return host;
}

audit_entry audit_from(const json& value)
{
    audit_entry entry;
    entry.revision = value.at("revision").get<std::uint64_t>();
    entry.change_id = value.at("change_id").get<std::string>();
    entry.who = value.at("who").get<std::string>();
    entry.when = value.at("when").get<std::string>();
    entry.why = value.at("why").get<std::string>();
    entry.changes = value.at("changes").get<std::vector<std::string>>();
    return entry;
}

// Parses a text and converts it with `read`. Any exception becomes a text_error.
template <typename Read>
auto read_json(std::string_view text, std::string_view subject, Read read)
    -> result<decltype(read(json())), text_error>
{
    try
    {
        return read(json::parse(text));
    }
    catch (const std::exception& error)
    {
        return text_error{std::string(subject) + ": " + error.what()};
    }
}

json hosts_to_json(const core_state& state, millis now)
{
    json hosts = json::array();
    const auto own = static_cast<std::size_t>(state.hosts.state);
    hosts.push_back(json{{"name", state.hosts.self.name},
                         {"zone", state.hosts.self.zone},
                         {"state", host_state_names[own]},
                         {"operators", to_string(state.hosts.self.operators)},
                         {"self", true}});
    for (const auto& [id, other] : state.hosts.others)
    {
        const auto index = static_cast<std::size_t>(other.state);
        hosts.push_back(json{{"name", other.info.name},
                             {"zone", other.info.zone},
                             {"state", host_state_names[index]},
                             {"suspected", other.suspected},
                             {"heard_ms_ago", (now - other.last_received).count},
                             {"operators", to_string(other.info.operators)},
                             {"self", false}});
    }
    return hosts;
}

json distributions_to_json(const std::vector<adapter_summary>& summaries)
{
    json all = json::object();
    for (const adapter_summary& summary : summaries)
    {
        json quantiles = json::object();
        for (std::size_t i = 0; i < reported_quantiles.size(); ++i)
        {
            const std::string quantile = json(reported_quantiles[i]).dump();
            quantiles[quantile] = summary.values->quantile(i);
        }
        all[std::string(summary.name)] = json{{"count", summary.values->count()},
                                              {"sum", summary.values->sum()},
                                              {"largest", summary.values->largest()},
                                              {"quantiles", quantiles}};
    }
    return all;
}

json backend_status_to_json(const core_state& state)
{
    json backends = json::array();
    for (const backend_runtime& backend : state.known.backends)
    {
        if (backend.id == backend_id::none)
        {
            continue;
        }
        backends.push_back(json{{"name", backend.name},
                                {"service", state.known.services[backend.service_slot].name},
                                {"zone", backend.zone},
                                {"takes_flows", backend.accepts_flows},
                                {"in_flight", backend.in_flight},
                                {"opened", backend.opened}});
    }
    return backends;
}

} // namespace

std::string configuration_to_json(const configuration& value)
{
    json services = json::array();
    for (const service_config& service : value.services)
    {
        services.push_back(service_to_json(service));
    }
    json object{
        {"revision", value.revision}, {"change_id", value.change_id}, {"services", services}};
    if (!value.evacuated.empty())
    {
        object["evacuated_zones"] = value.evacuated;
    }
    return object.dump();
}

result<configuration, text_error> configuration_from_json(std::string_view text)
{
    auto read = read_json(text, "configuration", configuration_from);
    if (!read)
    {
        return read;
    }
    std::string errors;
    for (const std::string& error : check_configuration(read.value()))
    {
        errors += errors.empty() ? error : "; " + error;
    }
    if (!errors.empty())
    {
        return text_error{"configuration: " + errors};
    }
    return read;
}

std::uint32_t digest_text(std::string_view text)
{
    return static_cast<std::uint32_t>(XXH3_64bits(text.data(), text.size()));
}

std::string host_to_json(const reported_host& host)
{
    const auto state = static_cast<std::size_t>(host.state);
    const json object{{"name", host.info.name},
                      {"zone", host.info.zone},
                      {"packets", to_string(host.info.packets)},
                      {"peers", to_string(host.info.peers)},
                      {"operators", to_string(host.info.operators)},
                      {"incarnation", host.info.incarnation},
                      {"state", host_state_names[state]}};
    return object.dump();
}

result<reported_host, text_error> host_from_json(std::string_view text)
{
    return read_json(text, "host", host_from);
}

std::string audit_to_json(const audit_entry& entry)
{
    const json object{{"revision", entry.revision}, {"change_id", entry.change_id},
                      {"who", entry.who},           {"when", entry.when},
                      {"why", entry.why},           {"changes", entry.changes}};
    return object.dump();
}

result<audit_entry, text_error> audit_from_json(std::string_view text)
{
    return read_json(text, "audit entry", audit_from);
}

std::string status_to_json(const core_state& state, millis now,
                           const std::vector<adapter_summary>& summaries)
{
    json counters = json::object();
    for (std::size_t i = 0; i < counter_names.size(); ++i)
    {
        counters[std::string(counter_names[i])] = state.counters.values[i];
    }
    const json object{{"host", state.hosts.self.name},
                      {"zone", state.hosts.self.zone},
                      {"incarnation", state.hosts.self.incarnation},
                      {"revision", state.revision},
                      {"granted", has_quorum_lease(state.hosts, now)},
                      {"flows", state.flows.size()},
                      {"records_to_move", state.sweep.unsynced_records},
                      {"hosts", hosts_to_json(state, now)},
                      {"backends", backend_status_to_json(state)},
                      {"counters", counters},
                      {"distributions", distributions_to_json(summaries)}};
    return object.dump();
}

} // namespace briarbarrow

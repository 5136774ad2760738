#include "adapters/settings.hpp"

#include "adapters/toml_reader.hpp"

namespace briarbarrow
{

namespace
{

constexpr integer_range stop_timeout_range{1'000, 86'400'000};
constexpr std::int64_t stop_timeout_default = 600'000;

host_info read_host_identity(toml_reader& reader)
{
    host_info host;
    host.name = reader.text("name");
    host.zone = reader.text("zone");
    host.id = host_id_of(host.name);
    return host;
}

void read_listen(daemon_settings& settings, toml_reader& root, toml_errors& faults)
{
    const toml::table* table = root.table("listen", true);
    if (table == nullptr)
    {
        return;
    }
    toml_reader reader(*table, "[listen]", faults);
    settings.self.packets = reader.address_and_port("packets");
    settings.self.peers = reader.address_and_port("peers");
    settings.self.operators = reader.address_and_port("operators");
    reader.finish();
}

void read_fabric(daemon_settings& settings, toml_reader& root, toml_errors& faults)
{
    const toml::table* table = root.table("fabric", true);
    if (table == nullptr)
    {
        return;
    }
    toml_reader reader(*table, "[fabric]", faults);
    if (reader.has("sources"))
    {
        const auto sources = reader.addresses("sources");
        settings.fabric_sources.insert(sources.begin(), sources.end());
    }
    if (reader.has("return"))
    {
        settings.fabric_return = reader.address_and_port("return");
    }
    settings.tun_device = reader.text("tun_device", std::string());
    if (settings.tun_device.empty() && !settings.fabric_return)
    {
        add_error(faults, *table,
                  "in [fabric]: needs \"return\" (an IP address and a port that packets to callers "
                  "are sent to) or \"tun_device\"");
    }
    reader.finish();
}

void read_platform(daemon_settings& settings, toml_reader& root, toml_errors& faults)
{
    const toml::table* table = root.table("platform", true);
    if (table == nullptr)
    {
        return;
    }
    toml_reader reader(*table, "[platform]", faults);
    settings.platform = reader.address_and_port("endpoint");
    settings.platform_prefix = reader.text("prefix", std::string("/briarbarrow/"));
    if (settings.platform_prefix.back() != '/')
    {
        add_error(faults, reader.location_of("prefix"), "prefix must end with \"/\"");
    }
    reader.finish();
}

void read_peers(daemon_settings& settings, toml_reader& root, toml_errors& faults)
{
    for (const toml::table* table : root.tables("peer"))
    {
        toml_reader reader(*table, "[[peer]]", faults);
        host_info peer = read_host_identity(reader);
        peer.packets = reader.address_and_port("packets");
        peer.peers = reader.address_and_port("peers");
        peer.operators = reader.address_and_port("operators");
        reader.finish();
        if (peer.name == settings.self.name)
        {
            // Hosts may share one peer list, so a host skips itself.
            continue;
        }
        settings.peers.push_back(peer);
    }
}

void read_stop(daemon_settings& settings, toml_reader& root, toml_errors& faults)
{
    const toml::table* table = root.table("stop", false);
    if (table == nullptr)
    {
        return;
    }
    toml_reader reader(*table, "[stop]", faults);
    settings.stop_timeout =
        millis{reader.integer("timeout_ms", stop_timeout_range, stop_timeout_default)};
    reader.finish();
}

std::string join_lines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
    {
        text += text.empty() ? line : "\n" + line;
    }
    return text;
}

} // namespace

result<daemon_settings, text_error> read_settings(const std::string& path)
{
    toml_errors faults;
    daemon_settings settings;
    const auto root_table = read_toml_file(faults, path);
    if (!root_table)
    {
        return text_error{join_lines(faults.lines)};
    }
    toml_reader root(*root_table, "the file", faults);
    if (const toml::table* host = root.table("host", true))
    {
        toml_reader reader(*host, "[host]", faults);
        settings.self = read_host_identity(reader);
        reader.finish();
    }
    read_listen(settings, root, faults);
    read_fabric(settings, root, faults);
    read_platform(settings, root, faults);
    read_stop(settings, root, faults);
    read_peers(settings, root, faults);
    root.finish();
    if (!faults.lines.empty())
    {
        return text_error{join_lines(faults.lines)};
    }
    return settings;
}

bool is_reloadable(const daemon_settings& running, const daemon_settings& wanted)
{
    host_info same_incarnation = wanted.self;
    same_incarnation.incarnation = running.self.incarnation;
    return running.self == same_incarnation && running.platform == wanted.platform &&
           running.platform_prefix == wanted.platform_prefix &&
           running.fabric_return == wanted.fabric_return && running.tun_device == wanted.tun_device;
}

} // namespace briarbarrow

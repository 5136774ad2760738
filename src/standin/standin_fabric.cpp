// standin_fabric: simulated callers behind a fabric that sends each packet to a live host chosen at
// random, from a seeded generator. Packets from backend servers come back to it directly. At the
// end it prints a summary, and exits with 1 when a promise was broken.
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <cxxopts.hpp>
#include <glib-unix.h>

#include "adapters/configuration_store.hpp"
#include "adapters/etcd_codec.hpp"
#include "adapters/platform_client.hpp"
#include "adapters/toml_reader.hpp"
#include "net/monotonic_clock.hpp"
#include "net/socket_address.hpp"
#include "standin/callers.hpp"
#include "standin/ip_stack.hpp"
#include "standin/run_report.hpp"
#include "wire/encapsulation.hpp"

namespace
{

using namespace briarbarrow;

constexpr guint tick_interval_ms = 10;
constexpr guint host_list_interval_ms = 500;
constexpr guint sample_interval_ms = 100;
constexpr unsigned call_timeout_seconds = 5;
constexpr std::size_t datagram_bytes = max_packet_bytes + 256;
// Time that open flows have to finish after the run.
constexpr millis wind_down_timeout{30'000};

// The content of the settings file.
struct fabric_options
{
    endpoint listen;
    endpoint reports;
    store_location store;
    std::vector<ip_address> caller_addresses;
    std::vector<caller_group> groups;
    millis duration;
    std::uint64_t seed = 1;
};

// The state of this process.
struct fabric
{
    fabric_options options;
    int socket = -1;
    int report_socket = -1;
    // Packet endpoints of the live hosts; guarded by the stack's lock.
    std::vector<endpoint> targets;
    std::mt19937_64 random;
    std::unique_ptr<caller_set> callers;
    backend_reports reports;
    std::map<std::string, host_info> known_hosts;
    SoupSession* session = nullptr;
    GMainLoop* loop = nullptr;
    millis started;
    bool winding_down = false;
};

fabric* the_fabric = nullptr;

// Sends a caller's packet to a live host chosen at random.
void send_to_random_host(std::span<const std::uint8_t> packet)
{
    fabric& self = *the_fabric;
    if (self.targets.empty())
    {
        return;
    }
    std::uniform_int_distribution<std::size_t> index(0, self.targets.size() - 1);
    sockaddr_storage address{};
    wire_buffer header;
    encode_plain_header(header, packet);
    std::array<iovec, 2> buffers{iovec{header.data(), header.size()},
                                 iovec{const_cast<std::uint8_t*>(packet.data()), packet.size()}};
    msghdr message{};
    message.msg_name = &address;
    message.msg_namelen = to_socket_address(self.targets[index(self.random)], address);
    message.msg_iov = buffers.data();
    message.msg_iovlen = buffers.size();
    sendmsg(self.socket, &message, MSG_DONTWAIT);
}

gboolean on_backend_packet(gint descriptor, GIOCondition /*condition*/, gpointer /*data*/)
{
    static std::array<std::uint8_t, datagram_bytes> buffer;
    constexpr int datagrams_per_turn = 512;
    for (int i = 0; i < datagrams_per_turn; ++i)
    {
        const ssize_t length = recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (length <= 0)
        {
            break;
        }
        const auto frame = decode_frame({buffer.data(), static_cast<std::size_t>(length)});
        if (frame && !frame.value().control && !frame.value().relay)
        {
            deliver_to_stack(frame.value().body);
        }
    }
    return G_SOURCE_CONTINUE;
}

gboolean on_report(gint descriptor, GIOCondition /*condition*/, gpointer /*data*/)
{
    static std::array<char, 512> buffer;
    constexpr int datagrams_per_turn = 512;
    for (int i = 0; i < datagrams_per_turn; ++i)
    {
        const ssize_t length = recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (length <= 0)
        {
            break;
        }
        const auto line = parse_report_line({buffer.data(), static_cast<std::size_t>(length)});
        if (line)
        {
            add_report(the_fabric->reports, *line);
        }
    }
    return G_SOURCE_CONTINUE;
}

void handle_host_list(const call_result& response)
{
    if (!response)
    {
        return;
    }
    const auto entries = decode_range(response.value());
    if (!entries)
    {
        return;
    }
    std::vector<endpoint> targets;
    for (const key_value& entry : entries.value().entries)
    {
        const auto host = host_from_json(entry.value);
        if (!host)
        {
            continue;
        }
        the_fabric->known_hosts[host.value().info.name] = host.value().info;
        if (host.value().state == host_state::live)
        {
            targets.push_back(host.value().info.packets);
        }
    }
    if (!targets.empty())
    {
        const stack_lock lock;
        the_fabric->targets = targets;
    }
}

gboolean on_host_list_timer(gpointer /*data*/)
{
    const fabric_options& options = the_fabric->options;
    const std::string prefix = options.store.prefix + std::string(hosts_prefix);
    post_json(the_fabric->session, options.store.platform, "/v3/kv/range",
              encode_range(prefix, prefix_end(prefix)), handle_host_list);
    return G_SOURCE_CONTINUE;
}

gboolean on_sample_timer(gpointer /*data*/)
{
    if (!the_fabric->winding_down)
    {
        sample_imbalance(the_fabric->reports);
    }
    return G_SOURCE_CONTINUE;
}

gboolean on_tick(gpointer /*data*/)
{
    fabric& self = *the_fabric;
    const millis elapsed = monotonic_now() - self.started;
    self.callers->tick(elapsed);
    if (!self.winding_down && elapsed >= self.options.duration)
    {
        self.winding_down = true;
        self.callers->stop_new_flows();
    }
    const bool is_overdue = elapsed >= self.options.duration + wind_down_timeout;
    if (self.winding_down && (is_overdue || self.callers->is_idle()))
    {
        self.callers->abandon_open_flows();
        g_main_loop_quit(self.loop);
    }
    return G_SOURCE_CONTINUE;
}

// Returns the sum of the control traffic counters on a host's metrics page.
double sum_control_bytes(const std::string& page)
{
    std::istringstream in(page);
    std::string line;
    double sum = 0;
    while (std::getline(in, line))
    {
        const bool control = line.starts_with("briarbarrow_control_bytes_") ||
                             line.starts_with("briarbarrow_peer_link_bytes_sent_total");
        if (control)
        {
            sum += std::stod(line.substr(line.rfind(' ')));
        }
    }
    return sum;
}

std::vector<host_control_traffic> read_control_traffic(const fabric& self)
{
    const double seconds = static_cast<double>((monotonic_now() - self.started).count) / 1000.0;
    std::vector<host_control_traffic> hosts;
    for (const auto& [name, info] : self.known_hosts)
    {
        const auto response = get_and_wait(self.session, info.operators, "/metrics");
        host_control_traffic control{name, 0, ""};
        if (response)
        {
            control.bytes_per_second = sum_control_bytes(response.value()) / seconds;
        }
        else
        {
            control.error = "it has stopped";
        }
        hosts.push_back(control);
    }
    return hosts;
}

int run(const fabric_options& options)
{
    fabric self;
    self.options = options;
    self.random.seed(options.seed);
    self.socket = open_udp_socket(options.listen);
    self.report_socket = open_udp_socket(options.reports);
    if (self.socket < 0 || self.report_socket < 0)
    {
        std::cerr << "standin_fabric: cannot open the UDP sockets of listen and reports\n";
        return 1;
    }
    the_fabric = &self;
    self.session = make_http_session(call_timeout_seconds);
    self.loop = g_main_loop_new(nullptr, FALSE);
    start_ip_stack(options.caller_addresses, send_to_random_host);
    const std::string prefix = options.store.prefix + std::string(hosts_prefix);
    handle_host_list(post_json_and_wait(self.session, options.store.platform, "/v3/kv/range",
                                        encode_range(prefix, prefix_end(prefix))));
    self.callers = std::make_unique<caller_set>();
    for (const caller_group& group : options.groups)
    {
        self.callers->add(group);
    }
    self.started = monotonic_now();
    g_unix_fd_add(self.socket, G_IO_IN, on_backend_packet, nullptr);
    g_unix_fd_add(self.report_socket, G_IO_IN, on_report, nullptr);
    g_timeout_add(tick_interval_ms, on_tick, nullptr);
    g_timeout_add(host_list_interval_ms, on_host_list_timer, nullptr);
    g_timeout_add(sample_interval_ms, on_sample_timer, nullptr);
    g_main_loop_run(self.loop);
    const bool all_promises_kept =
        write_summary(std::cout, self.callers->tally(), self.reports, read_control_traffic(self));
    std::cout << (all_promises_kept ? "every promise was kept\n" : "A PROMISE WAS BROKEN\n");
    return all_promises_kept ? 0 : 1;
}

caller_group read_group(const toml::table& table, toml_errors& faults)
{
    toml_reader reader(table, "[[callers]]", faults);
    caller_group group;
    group.kind = static_cast<caller_kind>(
        reader.one_of("kind", {"lookup", "terminal", "download", "datagram"}));
    group.service = reader.text("service");
    const auto addresses = reader.addresses("address");
    group.address = addresses.empty() ? ip_address{} : addresses.front();
    group.port = static_cast<std::uint16_t>(reader.integer("port", {1, 65535}));
    group.count = static_cast<std::size_t>(reader.integer("count", {1, 5000}));
    group.answer_bytes =
        static_cast<std::uint64_t>(reader.integer("answer_bytes", {1, 100'000'000}));
    group.think_time = millis{reader.integer("think_ms", {1, 600'000})};
    reader.finish();
    return group;
}

std::optional<fabric_options> read_options(const std::string& path)
{
    toml_errors faults;
    const auto table = read_toml_file(faults, path);
    fabric_options options;
    if (table)
    {
        toml_reader reader(*table, "the file", faults);
        options.listen = reader.address_and_port("listen");
        options.reports = reader.address_and_port("reports");
        options.store.platform = reader.address_and_port("platform");
        options.store.prefix = reader.text("prefix", std::string("/briarbarrow/"));
        options.caller_addresses = reader.addresses("caller_addresses");
        options.duration = millis{reader.integer("duration_ms", {1'000, 3'600'000})};
        options.seed = static_cast<std::uint64_t>(reader.integer("seed", {1, 1'000'000'000}, 1));
        for (const toml::table* group : reader.tables("callers"))
        {
            options.groups.push_back(read_group(*group, faults));
        }
        reader.finish();
    }
    for (const std::string& line : faults.lines)
    {
        std::cerr << line << '\n';
    }
    return faults.lines.empty() ? std::optional(options) : std::nullopt;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_fabric", "Simulated callers and a fabric for tests.");
    options.add_options()("settings", "Settings file (TOML)",
                          cxxopts::value<std::string>())("help", "Print this help and exit");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0 || parsed.count("settings") == 0)
    {
        std::cout << options.help();
        return parsed.count("help") > 0 ? 0 : 2;
    }
    const auto settings = read_options(parsed["settings"].as<std::string>());
    return settings ? run(*settings) : 2;
}

#include "world.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::array<const char*, 3> zones{"quito-a", "quito-b", "cayambe"};
constexpr std::array<const char*, 4> daemon_zones{"quito-a", "quito-a", "quito-b", "cayambe"};
constexpr std::uint16_t packet_port = 8172;
constexpr std::uint16_t ready_port = 8167;
constexpr std::uint16_t control_port = 8166;
constexpr std::uint16_t store_port = 8169;
constexpr std::uint16_t backend_port = 8080;
constexpr std::size_t caller_count = 9;
constexpr std::int64_t probe_interval_ms = 500;
constexpr std::int64_t probe_timeout_ms = 400;
constexpr std::array<std::int64_t, 3> opening_times_ms{0, 200, 600};
constexpr std::int64_t opening_limit_ms = 1'400;
constexpr std::int64_t first_repeat_ms = 200;
constexpr std::int64_t max_repeat_ms = 1'600;
constexpr int max_repeats = 8;
constexpr std::int64_t request_limit_ms = 1'000;
constexpr std::int64_t work_ms = 20;
constexpr std::uint32_t backend_sequence = 70'000;
constexpr std::uint32_t route_address = 0x7f140001;
constexpr std::int64_t feed_pause_ms = 4'000;

constexpr const char* small_bounds = "StableWindowMs = 4000\nAckMs = 5000\nCatchUpS = 4\nDrainMs = "
                                     "3000\nConfigApplyMs = 3000\n"
                                     "MaxStretchMs = 12000\nRecoveryS = 12\n";
constexpr const char* grown_bounds = "StableWindowMs = 5000\nAckMs = 8000\nCatchUpS = 6\nDrainMs = "
                                     "5000\nConfigApplyMs = 5000\n"
                                     "MaxStretchMs = 15000\nRecoveryS = 15\n";

std::int64_t steady_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t wall_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::uint64_t mix(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t value = left * 0x9e3779b97f4a7c15U ^ (right + 0x7f4a7c159e3779b9U);
    value ^= value >> 29U;
    value *= 0xbf58476d1ce4e5b9U;
    return value ^ value >> 32U;
}

// `services` is the field that names them.
std::string make_route(const std::string& name, const std::string& host, int port,
                       const std::string& kind, const std::string& services)
{
    return R"({"Name":")" + name + R"(","Host":")" + host + R"(","Prefix":"/)" +
           std::to_string(port) + R"(/","Type":")" + kind +
           R"(","TimeoutMs":1000,"SloMs":150,"Priority":1,)" + services + R"(,"MaxAttempts":2})";
}

std::string make_split(int second_percent)
{
    const std::string first =
        R"({"Service":"counter","Weight":)" + std::to_string(100 - second_percent) + "}";
    const std::string second =
        R"(,{"Service":"counter-next","Weight":)" + std::to_string(second_percent) + "}";
    return R"("TrafficSplit":[)" + first + (second_percent > 0 ? second : "") + "]";
}

std::string make_service(const std::string& name)
{
    return R"({"Name":")" + name +
           R"(","HealthPath":"/health","MaxFlows":2000,"Protocol":"h1","Tls":false})";
}

} // namespace

world::world(const world_options& options)
    : options(options), record_file(options.record_path), net(60 + getpid() % 180),
      started(steady_ms())
{
    std::array<char, 32> name{"/tmp/review-3-XXXXXX"};
    this->folder = mkdtemp(name.data()) == nullptr ? "" : name.data();
    this->usable = !this->folder.empty() && this->record_file.good();
    for (std::size_t i = 0; i < caller_count; ++i)
    {
        const int number = static_cast<int>(i) + 1;
        this->callers.push_back(open_datagram_socket(this->make_address(3, number, packet_port)));
        this->usable = this->usable && this->callers.back() >= 0;
    }
    for (std::size_t i = 0; i < daemon_zones.size(); ++i)
    {
        const int number = static_cast<int>(i) + 1;
        daemon_process& process = this->daemons.emplace_back();
        process.name = "front-" + std::to_string(number);
        process.zone = daemon_zones[i];
        process.packets = this->make_address(1, number, packet_port);
        process.ready = this->make_address(1, number, ready_port);
        process.settings_path = this->folder + "/" + process.name + ".toml";
        const address store_address = this->make_address(4, number, store_port);
        this->usable =
            this->usable && this->metadata.open_port(store_address, this->options.link_bytes_per_s);
        const std::string host = to_text({process.packets.host, 0});
        std::string seeds;
        for (const int seed : {1, 3, 4})
        {
            seeds += (seeds.empty() ? "\"" : ",\"") +
                     to_text(this->make_address(1, seed, control_port)) + "\"";
        }
        std::ofstream(process.settings_path)
            << "NodeName = \"" << process.name << "\"\nRole = \"balancer\"\n"
            << "MachineClass = \"front\"\nServes = [\"front\",\"control\"]\n"
            << "Ip = \"" << host.substr(0, host.find(':')) << "\"\nZone = \"" << process.zone
            << "\"\nRegion = \"sierra-norte\"\nInternalPorts = [7720,7735]\n"
            << "Seeds = [" << seeds << "]\nBootstrap = true\nCountLoss = false\n"
            << "Discovery = \"platform\"\nEntry = \"announce\"\nHeartbeatMs = "
               "1200\n"
            << "Contracts = "
               "[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\","
            << "\"platform\"]\nHash = \"steady\"\nForwarding = \"echo\"\n"
            << "[Zones]\nquito-a = \"sierra-norte\"\nquito-b = \"sierra-norte\"\n"
            << "cayambe = \"sierra-norte\"\n[ListenAddrs]\nDatagramAddr = \""
            << to_text(process.packets) << "\"\nReady = \"" << to_text(process.ready)
            << "\"\nControl = \"" << to_text(this->make_address(1, number, control_port)) << "\"\n"
            << "[Limits]\nCpuShare = 0.5\nCores = 1\nMemoryMb = 520\nMaxFds = "
               "8200\nLinkMbps = "
            << (this->options.link_bytes_per_s > 0 ? this->options.link_bytes_per_s * 8 / 1e6
                                                   : 2'000.0)
            << "\nDiskMb = 0\n[FaultTolerance]\nMachines = 1\nZones = 1\nRegions = "
               "0\n"
            << "[Bounds]\n"
            << (this->options.link_bytes_per_s > 0 ? grown_bounds : small_bounds)
            << "GraceS = 6\nSeedLagS = 3\nReuseAfterS = 2\nLossSlackMs = 200\n"
            << "RollbackSlackMs = 250\nReorderMs = 2000\nMaxFlowS = "
               "60\n[platform]\nAddress = \""
            << to_text(store_address) << "\"\nForwarding = \"kv\"\nWritesPerS = 400\n"
            << "ReadsPerS = 2000\nRetentionS = 20\nValueBytes = " << max_value_bytes
            << "\nMinTtlMs = 1000\n";
    }
}

world::~world()
{
    for (daemon_process& process : this->daemons)
    {
        this->kill_daemon(process);
    }
    if (!this->folder.empty())
    {
        std::filesystem::remove_all(this->folder);
    }
}

bool world::is_usable() const
{
    return this->usable;
}

address world::make_address(int part, int number, std::uint16_t port) const
{
    const auto host = static_cast<std::uint32_t>(127 << 24 | this->net << 16 | part << 8 | number);
    return {host, port};
}

std::int64_t world::time() const
{
    return this->now;
}

void world::record(const std::string& line)
{
    std::array<char, 32> stamp{};
    std::snprintf(stamp.data(), stamp.size(), "%9.3f ", static_cast<double>(this->now) / 1'000);
    this->record_file << stamp.data() << line << "\n";
}

void world::write_configuration(std::size_t other_routes, int second_percent)
{
    const std::string counter = R"("Service":"counter")";
    this->version += 3;
    std::string routes =
        (this->has_previews ? make_route("previews", "127.20.0.1", safe_port, "safe", counter) + ","
                            : std::string()) +
        make_route("orders", "127.20.0.1", unsafe_port, "unsafe", counter) + "," +
        make_route("feed", "127.20.0.1", feed_port, "safe", make_split(second_percent));
    for (std::size_t i = 0; i < other_routes; ++i)
    {
        const std::string host =
            "127.20." + std::to_string(1 + i / 200) + "." + std::to_string(1 + i % 200);
        routes += "," + make_route("shop-" + std::to_string(i), host, 443, "safe", counter);
    }
    const std::string text = R"({"Version":)" + std::to_string(this->version) + R"(,"Routes":[)" +
                             routes + R"(],"Services":[)" + make_service("counter") + "," +
                             make_service("counter-next") +
                             R"(],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,)" +
                             R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
    this->metadata.put("op/config", text);
    this->record("the operator writes configuration " + std::to_string(this->version) + " with " +
                 std::to_string(other_routes + (this->has_previews ? 3 : 2)) + " routes, " +
                 std::to_string(text.size()) + " bytes, " + std::to_string(second_percent) +
                 "% of the new feeds to counter-next; acknowledged");
}

void world::drop_previews(std::size_t other_routes)
{
    this->has_previews = false;
    this->write_configuration(other_routes);
    this->previews_dropped_at = this->now;
    this->record("this version drops the route of the previews");
}

int world::outdated_runs() const
{
    return this->outdated;
}

backend_server& world::add_backend(const std::string& service, const std::string& zone)
{
    const int number = static_cast<int>(this->backends.size()) + 1;
    auto added = std::make_unique<backend_server>();
    added->number = mix(static_cast<std::uint64_t>(number), 7) >> 24U;
    std::array<char, 32> digits{};
    std::snprintf(digits.data(), digits.size(), "i-%010llx",
                  static_cast<unsigned long long>(added->number));
    added->name = digits.data();
    added->service = service;
    added->zone = zone;
    added->at = this->make_address(2, number, backend_port);
    added->born = wall_ms();
    this->backends.push_back(std::move(added));
    backend_server& server = *this->backends.back();
    this->usable = this->usable && this->start_process(server);
    this->write_entry(server);
    return server;
}

void world::write_entry(const backend_server& server)
{
    this->metadata.put("servers/" + server.name,
                       R"({"Service":")" + server.service + R"(","Address":")" +
                           to_text(server.at) + R"(","Zone":")" + server.zone +
                           R"(","Version":"v1","MaxConcurrent":2,"State":"ready")" +
                           R"(,"WarmupLeftMs":0,"CallSeq":1,"born":)" +
                           std::to_string(server.born) + "}");
    this->record("server " + server.name + " at " + to_text(server.at) + " reports ready, born " +
                 std::to_string(server.born) + "; acknowledged");
}

bool world::start_process(backend_server& server)
{
    server.datagrams = open_datagram_socket(server.at);
    server.listener = open_listener(server.at);
    this->record("server " + server.name + " starts");
    return server.datagrams >= 0 && server.listener >= 0;
}

void world::start_daemon(daemon_process& process)
{
    const char* program = "target/briarbarrow_platformd";
    std::string settings = "BRIARBARROW_CONFIG=" + process.settings_path;
    std::array<char, 32> name{"target/briarbarrow_platformd"};
    std::array<char, 16> option{"--learn-pace"};
    std::array<char*, 3> arguments{name.data(), option.data(), nullptr};
    std::array<char*, 2> environment{settings.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string log = this->folder + "/" + process.name + ".log";
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const int outcome =
        posix_spawn(&process.pid, program, &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (outcome != 0)
    {
        process.pid = 0;
        this->usable = false;
    }
    this->record(process.name + " in " + process.zone + " starts");
}

void world::kill_daemon(daemon_process& process)
{
    if (process.pid > 0)
    {
        kill(process.pid, SIGKILL);
        waitpid(process.pid, nullptr, 0);
        process.pid = 0;
        this->record(process.name + " is killed");
    }
}

void world::restart_daemon(daemon_process& process)
{
    constexpr std::int64_t grace_ms = 6'000;
    const std::int64_t stopped = this->now;
    kill(process.pid, SIGTERM);
    this->record(process.name + " gets SIGTERM");
    while (waitpid(process.pid, nullptr, WNOHANG) == 0)
    {
        this->run_until(this->now + 10);
        if (this->now > stopped + grace_ms)
        {
            kill(process.pid, SIGKILL);
        }
    }
    process.pid = 0;
    this->record(process.name + " has ended");
    this->run_until(this->now + 200);
    this->start_daemon(process);
}

void world::set_traffic(bool is_on)
{
    this->has_traffic = is_on;
    this->next_request = this->now;
}

void world::probe(daemon_process& process)
{
    if (process.probe >= 0)
    {
        http_request unused;
        const bool is_open = receive_bytes(process.probe, process.probe_answer);
        const bool is_answered = process.probe_answer.find("\r\n") != std::string::npos;
        if (is_answered || !is_open || this->now >= process.probe_began + probe_timeout_ms)
        {
            this->finish_probe(process, process.probe_answer.starts_with("HTTP/1.1 200"));
        }
    }
    if (process.probe < 0 && this->now >= process.probe_began + probe_interval_ms)
    {
        process.probe_began = this->now;
        process.probe_answer.clear();
        process.probe = open_connection(process.ready);
        std::string request = "GET /briarbarrow/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        // On the loopback the connection is there at once, or refused.
        if (process.probe < 0 || !send_bytes(process.probe, request, request.size()))
        {
            this->finish_probe(process, false);
        }
    }
}

void world::finish_probe(daemon_process& process, bool is_ready)
{
    if (process.probe >= 0)
    {
        close(process.probe);
        process.probe = -1;
    }
    process.misses = is_ready ? 0 : process.misses + 1;
    const bool was_in_rotation = process.is_in_rotation;
    process.is_in_rotation = is_ready || (process.is_in_rotation && process.misses < 2);
    if (process.is_in_rotation != was_in_rotation)
    {
        this->record(process.name + (is_ready ? " is in rotation" : " is out of rotation"));
    }
}

// The daemon of the caller's zone that the routers' hash selects; of all zones
// if that zone has none in rotation.
const daemon_process* world::choose_daemon(const attempt& from) const
{
    for (const bool is_own_zone : {true, false})
    {
        std::size_t members = 0;
        std::size_t ready = 0;
        for (const daemon_process& process : this->daemons)
        {
            members += (process.zone == from.zone) == is_own_zone ? 1 : 0;
            ready += (process.zone == from.zone) == is_own_zone && process.is_in_rotation ? 1 : 0;
        }
        const bool uses_all = ready * 2 < members;
        const daemon_process* best = nullptr;
        std::uint64_t best_rank = 0;
        for (const daemon_process& process : this->daemons)
        {
            const bool is_candidate = (process.zone == from.zone) == is_own_zone && ready > 0 &&
                                      (uses_all || process.is_in_rotation);
            const std::uint64_t rank = mix(from.caller * 65'536 + from.port, process.packets.host);
            if (is_candidate && (best == nullptr || rank > best_rank))
            {
                best = &process;
                best_rank = rank;
            }
        }
        if (best != nullptr)
        {
            return best;
        }
    }
    return nullptr;
}

attempt& world::begin_attempt(std::uint16_t route_port)
{
    auto begun = std::make_unique<attempt>();
    begun->id = this->next_id++;
    begun->route_port = route_port;
    begun->caller = begun->id % caller_count;
    begun->zone = zones[begun->caller % zones.size()];
    begun->port = static_cast<std::uint16_t>(1'024 + begun->id % 60'000);
    begun->began = this->now;
    begun->next_send = this->now;
    begun->opening_sequence = static_cast<std::uint32_t>(mix(begun->id, 3));
    begun->sequence = begun->opening_sequence + 1;
    this->begin_request(*begun);
    const auto caller = static_cast<int>(begun->caller) + 1;
    this->attempts_by_flow[{this->make_address(3, caller, 0).host, begun->port}] = begun.get();
    this->attempts.push_back(std::move(begun));
    return *this->attempts.back();
}

void world::begin_request(attempt& sender)
{
    sender.request_began = this->now;
    sender.received.clear();
    sender.request = std::string(sender.route_port == unsafe_port ? "POST /order" : "GET /page") +
                     " HTTP/1.1\r\nHost: shop\r\nRequest-Id: " + std::to_string(sender.id) + "-" +
                     std::to_string(sender.requests_left) + "\r\nContent-Length: 0\r\n\r\n";
}

void world::begin_feed(int requests)
{
    attempt& begun = this->begin_attempt(feed_port);
    begun.requests_left = requests;
    this->begin_request(begun);
}

void world::send_from_caller(attempt& sender, std::uint8_t flags, std::uint32_t sequence,
                             const std::string& data)
{
    const daemon_process* process = this->choose_daemon(sender);
    if (process == nullptr)
    {
        this->record("request " + std::to_string(sender.id) + ": no daemon is in rotation");
        return;
    }
    packet_header header;
    header.flags = flags;
    header.sequence = sequence;
    header.acknowledgement =
        (flags & syn_flag) != 0 ? static_cast<std::uint32_t>(sender.sends) : sender.acknowledgement;
    header.source = this->make_address(3, static_cast<int>(sender.caller) + 1, 0).host;
    header.source_port = sender.port;
    header.destination = route_address;
    header.destination_port = sender.route_port;
    header.echo = sender.echo;
    send_datagram(this->callers[sender.caller], process->packets, encode_packet(header, data));
    if (sender.sends == 0)
    {
        this->record("request " + std::to_string(sender.id) +
                     (sender.route_port == unsafe_port ? " (unsafe)" : " (safe)") +
                     (sender.is_open ? " is sent to " : ": opening packet is sent to ") +
                     process->name);
    }
}

void world::send_if_due(attempt& sender)
{
    if (this->now >= sender.request_began + request_limit_ms + opening_limit_ms)
    {
        sender.is_over = true;
        this->record("request " + std::to_string(sender.id) + " is given up without an answer");
        return;
    }
    if (this->now < sender.next_send)
    {
        return;
    }
    if (sender.is_open)
    {
        this->send_from_caller(sender, ack_flag, sender.sequence, sender.request);
        sender.next_send =
            this->now + std::min(first_repeat_ms << std::min(sender.sends, 3), max_repeat_ms);
        ++sender.sends;
        return;
    }
    const auto sends = static_cast<std::size_t>(sender.sends);
    if (sends >= opening_times_ms.size())
    {
        sender.is_over = true;
        this->record("request " + std::to_string(sender.id) +
                     " is given up, its flow never opened");
        return;
    }
    this->send_from_caller(sender, syn_flag, sender.opening_sequence, "");
    ++sender.sends;
    sender.next_send =
        sender.began +
        (sends + 1 < opening_times_ms.size() ? opening_times_ms[sends + 1] : opening_limit_ms);
}

attempt* world::find_attempt(std::uint32_t caller, std::uint16_t port)
{
    const auto found = this->attempts_by_flow.find({caller, port});
    return found == this->attempts_by_flow.end() ? nullptr : found->second;
}

void world::receive_at_caller(std::size_t caller)
{
    std::string bytes;
    address from;
    while (receive_datagram(this->callers[caller], bytes, from))
    {
        packet_header header;
        std::string data;
        attempt* receiver = nullptr;
        if (decode_packet(bytes, header, data))
        {
            receiver = this->find_attempt(header.destination, header.destination_port);
        }
        if (receiver != nullptr && !receiver->is_over)
        {
            this->handle_answer(*receiver, header, data);
        }
    }
}

void world::handle_answer(attempt& receiver, const packet_header& header, const std::string& data)
{
    const std::string name = "request " + std::to_string(receiver.id);
    if ((header.flags & rst_flag) != 0)
    {
        receiver.is_over = true;
        // Its server has run a request of it, so the flow is open there.
        receiver.is_broken = !receiver.server.empty() && header.checksum == 0;
        this->record(name +
                     (receiver.server.empty() ? " is refused by a reset"
                                              : " is reset, open at " + receiver.server) +
                     (header.checksum == 0 ? " of the system" : " of a server"));
        return;
    }
    if (receiver.is_open && header.sequence != receiver.acknowledgement)
    {
        // Of a server at which the flow isn't open, or sent again.
        return;
    }
    receiver.echo = header.echo;
    if (!receiver.is_open && (header.flags & syn_flag) != 0)
    {
        receiver.is_open = true;
        receiver.acknowledgement = header.sequence + 1;
        receiver.sends = 0;
        receiver.next_send = this->now;
        return;
    }
    if (!receiver.is_open || data.empty())
    {
        return;
    }
    receiver.received += data;
    receiver.acknowledgement += static_cast<std::uint32_t>(data.size());
    const std::string id = receiver.request.substr(receiver.request.find("Request-Id: "));
    receiver.is_served = receiver.received.find(id.substr(0, id.find("\r\n"))) != std::string::npos;
    this->record(name + (receiver.is_served ? " is served" : " gets an answer of another"));
    receiver.sequence += static_cast<std::uint32_t>(receiver.request.size());
    if (--receiver.requests_left > 0)
    {
        this->send_from_caller(receiver, ack_flag, receiver.sequence, "");
        this->begin_request(receiver);
        receiver.request_began = this->now + feed_pause_ms;
        receiver.next_send = receiver.request_began;
        receiver.sends = 0;
        return;
    }
    this->send_from_caller(receiver, ack_flag | fin_flag, receiver.sequence, "");
    receiver.is_over = true;
}

void world::send_to_caller(const backend_server& server, const packet_header& to,
                           std::uint8_t flags, std::uint32_t sequence,
                           std::uint32_t acknowledgement, const std::string& data) const
{
    packet_header header;
    header.flags = flags;
    header.sequence = sequence;
    header.acknowledgement = acknowledgement;
    header.source = to.destination;
    header.source_port = to.destination_port;
    header.destination = to.source;
    header.destination_port = to.source_port;
    header.echo = to.echo;
    send_datagram(server.datagrams, {to.source, packet_port}, encode_packet(header, data));
}

void world::accept_opening(backend_server& server, const packet_header& header, const address& from)
{
    const std::pair<std::uint32_t, std::uint32_t> key{
        header.source,
        static_cast<std::uint32_t>(header.source_port) << 16U | header.destination_port};
    const attempt* sender = this->find_attempt(header.source, header.source_port);
    const auto [entry, is_new] = server.flows.try_emplace(key);
    backend_flow& flow = entry->second;
    if (is_new && sender != nullptr)
    {
        const auto through = std::find_if(this->daemons.begin(), this->daemons.end(),
                                          [&from](const daemon_process& process)
                                          { return process.packets.host == from.host; });
        this->record("opening packet of request " + std::to_string(sender->id) +
                     " reaches server " + server.name + " of " + server.service +
                     (through == this->daemons.end() ? "" : " from " + through->name));
    }
    flow.caller = header;
    flow.received_end = header.sequence + 1;
    flow.sent_end = backend_sequence + 1;
    flow.repeats_at = this->now + first_repeat_ms;
    this->send_to_caller(server, header, syn_flag | ack_flag, backend_sequence, header.sequence + 1,
                         "");
}

void world::receive_at_backend(backend_server& server, const std::string& bytes,
                               const address& from)
{
    constexpr std::size_t number_bytes = 8;
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < std::min(bytes.size(), number_bytes); ++i)
    {
        number = number << 8U | static_cast<std::uint8_t>(bytes[i]);
    }
    packet_header header;
    std::string data;
    const bool is_packet =
        bytes.size() > number_bytes && decode_packet(bytes.substr(number_bytes), header, data);
    if (!is_packet || (number != 0 && number != server.number))
    {
        return;
    }
    if ((header.flags & syn_flag) != 0)
    {
        this->accept_opening(server, header, from);
        return;
    }
    const auto found =
        server.flows.find({header.source, static_cast<std::uint32_t>(header.source_port) << 16U |
                                              header.destination_port});
    const bool is_held = found != server.flows.end() && header.acknowledgement > backend_sequence;
    if (!is_held)
    {
        if ((header.flags & rst_flag) == 0)
        {
            this->send_to_caller(server, header, rst_flag, header.acknowledgement, header.sequence,
                                 "");
        }
        return;
    }
    backend_flow& flow = found->second;
    flow.caller = header;
    flow.is_open = true;
    const auto answer_end = static_cast<std::uint32_t>(flow.sent_end + flow.response.size());
    if (flow.has_run && header.acknowledgement == answer_end)
    {
        flow.sent_end = answer_end;
        flow.has_run = false;
    }
    if ((header.flags & fin_flag) != 0)
    {
        flow.is_done = true;
        this->send_to_caller(server, header, ack_flag, flow.sent_end, header.sequence + 1, "");
    }
    if (data.empty() || header.sequence != flow.received_end)
    {
        return;
    }
    flow.received_end += static_cast<std::uint32_t>(data.size());
    flow.has_run = true;
    flow.is_answered = false;
    flow.repeats = 0;
    flow.answers_at = this->now + work_ms;
    const std::size_t begin = data.find("Request-Id: ");
    const std::string id = data.substr(begin, data.find("\r\n", begin) - begin);
    flow.response = "HTTP/1.1 200 OK\r\n" + id + "\r\nServer-Seal: " + server.name +
                    "\r\nContent-Length: 0\r\n\r\n";
    attempt* sender = this->find_attempt(header.source, header.source_port);
    if (sender != nullptr)
    {
        sender->server = server.name + " of " + server.service;
    }
    const bool is_outdated = sender != nullptr && !this->has_previews &&
                             header.destination_port == safe_port &&
                             sender->began > this->previews_dropped_at + max_apply_ms;
    if (is_outdated)
    {
        ++this->outdated;
        this->record("CONFIG is broken: run on the dropped route, sent " +
                     std::to_string(sender->began - this->previews_dropped_at) +
                     " ms after the acknowledgement");
    }
    this->record("server " + server.name + " runs the request with " + id);
}

void world::answer_checks(backend_server& server)
{
    for (int accepted = accept_connection(server.listener, false); accepted >= 0;
         accepted = accept_connection(server.listener, false))
    {
        server.checks.emplace_back(accepted, "");
    }
    for (auto& [socket, bytes] : server.checks)
    {
        http_request request;
        const bool is_open = receive_bytes(socket, bytes);
        if (is_open && take_request(bytes, request))
        {
            std::string response = make_response(
                200, "Instance-Id: " + server.name + "\r\nBackend-Load: 0,0,8\r\n", "");
            send_bytes(socket, response, response.size());
        }
        if (!is_open)
        {
            close(socket);
            socket = -1;
        }
    }
    std::erase_if(server.checks, [](const auto& check) { return check.first < 0; });
}

void world::run_backend(backend_server& server)
{
    if (server.datagrams < 0)
    {
        return;
    }
    std::string bytes;
    address from;
    while (receive_datagram(server.datagrams, bytes, from))
    {
        this->receive_at_backend(server, bytes, from);
    }
    this->answer_checks(server);
    for (auto& [key, flow] : server.flows)
    {
        const bool repeats = this->now >= flow.repeats_at && flow.repeats < max_repeats;
        if (flow.is_done)
        {
            continue;
        }
        if (!flow.is_open && repeats)
        {
            this->send_to_caller(server, flow.caller, syn_flag | ack_flag, backend_sequence,
                                 flow.caller.sequence + 1, "");
        }
        else if (flow.has_run && this->now >= flow.answers_at && (!flow.is_answered || repeats))
        {
            flow.repeats = flow.is_answered ? flow.repeats : 0;
            flow.is_answered = true;
            this->send_to_caller(server, flow.caller, ack_flag, flow.sent_end, flow.received_end,
                                 flow.response);
        }
        else
        {
            continue;
        }
        flow.repeats_at =
            this->now + std::min(first_repeat_ms << std::min(flow.repeats, 3), max_repeat_ms);
        ++flow.repeats;
    }
}

void world::run_until(std::int64_t time)
{
    while (this->now < time)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        this->now = steady_ms() - this->started;
        this->metadata.run(this->now);
        for (daemon_process& process : this->daemons)
        {
            this->probe(process);
        }
        for (std::size_t i = 0; i < this->callers.size(); ++i)
        {
            this->receive_at_caller(i);
        }
        for (const std::unique_ptr<backend_server>& server : this->backends)
        {
            this->run_backend(*server);
        }
        while (this->has_traffic && this->now >= this->next_request)
        {
            const bool is_unsafe = this->next_id % 4 == 0;
            this->begin_attempt(is_unsafe ? unsafe_port : safe_port);
            this->next_request += 1'000 / this->options.requests_per_s;
        }
        for (std::size_t i = this->oldest_running; i < this->attempts.size(); ++i)
        {
            if (!this->attempts[i]->is_over)
            {
                this->send_if_due(*this->attempts[i]);
            }
        }
        while (this->oldest_running < this->attempts.size() &&
               this->attempts[this->oldest_running]->is_over)
        {
            ++this->oldest_running;
        }
    }
}

} // namespace review

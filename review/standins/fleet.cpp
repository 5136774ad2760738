#include "fleet.hpp"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::uint16_t packet_port = 0;
constexpr std::uint16_t ready_port = 1;
constexpr std::uint16_t control_port = 2;
constexpr std::uint16_t store_port = 3;
constexpr std::uint16_t first_internal_port = 4;
constexpr std::uint16_t last_internal_port = 8;
constexpr std::uint32_t daemon_part = 1;
constexpr std::int64_t readiness_interval_ms = 500;
constexpr std::int64_t readiness_timeout_ms = 400;
constexpr std::int64_t grace_ms = 6'000;
constexpr int exit_cannot_run = 2;

std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

std::int64_t unix_ms()
{
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1'000 + time.tv_nsec / 1'000'000;
}

bool can_bind(const address& local)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(local.port);
    name.sin_addr.s_addr = htonl(local.ip);
    const bool is_free =
        bind(descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0;
    ::close(descriptor);
    return is_free;
}

// The platform's settings file, as the page on deployment shows it.
std::string settings_text(const address_plan& plan, const daemon_process& process,
                          std::size_t seeds)
{
    const auto quoted = [&plan, &process](std::uint16_t offset)
    {
        return "\"" + to_text(plan.at(daemon_part, process.number, offset)) + "\"";
    };
    std::string text = "NodeName = \"" + process.name + "\"\nRole = \"balancer\"\n" +
                       "MachineClass = \"front\"\nServes = [\"front\",\"control\"]\nIp = \"" +
                       ip_text(plan.at(daemon_part, process.number, 0).ip) + "\"\nZone = \"" +
                       process.zone + "\"\nRegion = \"north\"\nInternalPorts = [" +
                       std::to_string(plan.first_port + first_internal_port) + "," +
                       std::to_string(plan.first_port + last_internal_port) + "]\nSeeds = [";
    for (std::size_t i = 0; i < seeds; ++i)
    {
        text += (i == 0 ? "\"" : ",\"") +
                to_text(plan.at(daemon_part, static_cast<std::uint32_t>(i + 1), control_port)) +
                "\"";
    }
    text += "]\nBootstrap = true\nCountLoss = false\nDiscovery = \"platform\"\n"
            "Entry = \"announce\"\nHeartbeatMs = 1200\n"
            "Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\","
            "\"platform\"]\nHash = \"steady\"\nForwarding = \"echo\"\n"
            "[Zones]\nzone-a = \"north\"\n[ListenAddrs]\nDatagramAddr = " +
            quoted(packet_port) + "\nReady = " + quoted(ready_port) +
            "\nControl = " + quoted(control_port) +
            "\n[Limits]\nCpuShare = 0.5\nCores = 1\nMemoryMb = 520\nMaxFds = 8200\n"
            "LinkMbps = 2000.0\nDiskMb = 0\n[FaultTolerance]\nMachines = 1\nZones = 1\n"
            "Regions = 0\n[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStableWindowMs = 4000\n"
            "AckMs = 5000\nCatchUpS = 4\nDrainMs = 3000\nGraceS = 6\nLossSlackMs = 200\n"
            "ConfigApplyMs = 3000\nRollbackSlackMs = 250\nMaxStretchMs = 12000\n"
            "RecoveryS = 12\nReorderMs = 2000\nMaxFlowS = 60\n[platform]\nAddress = \"" +
            to_text(plan.at(4, 1, store_port)) +
            "\"\nForwarding = \"kv\"\nWritesPerS = 400\nReadsPerS = 2000\nRetentionS = 20\n"
            "ValueBytes = 1048576\nMinTtlMs = 1000\n";
    return text;
}

std::uint64_t flow_number(std::uint32_t ip, std::uint16_t port)
{
    return (static_cast<std::uint64_t>(ip) << 16) | port;
}

// The value of a header line of a request or an answer.
std::string header_value(const std::string& text, const std::string& name)
{
    const std::size_t place = text.find(name + ": ");
    if (place == std::string::npos)
    {
        return "";
    }
    const std::size_t begin = place + name.size() + 2;
    return text.substr(begin, text.find("\r\n", begin) - begin);
}

} // namespace

address address_plan::at(std::uint32_t part, std::uint32_t number, std::uint16_t port_offset) const
{
    return address{(127U << 24) | (this->net << 16) | (part << 8) | number,
                   static_cast<std::uint16_t>(this->first_port + port_offset)};
}

address_plan find_free_addresses()
{
    const auto seed = static_cast<std::uint64_t>(getpid());
    for (std::uint64_t attempt = 0; attempt < 100; ++attempt)
    {
        const std::uint64_t random = mix(seed + attempt);
        address_plan plan;
        plan.net = static_cast<std::uint32_t>(2 + random % 250);
        plan.first_port = static_cast<std::uint16_t>(20'000 + (random >> 16) % 10'000);
        bool is_free = can_bind(plan.at(4, 1, store_port)) && can_bind(plan.at(3, 1, 0));
        for (std::uint16_t offset = 0; offset <= last_internal_port; ++offset)
        {
            is_free = is_free && can_bind(plan.at(daemon_part, 1, offset));
        }
        if (is_free)
        {
            return plan;
        }
    }
    std::fprintf(stderr, "the case can't run: no free ports\n");
    std::exit(exit_cannot_run);
}

daemon_fleet::daemon_fleet(event_loop& loop, case_record& record, const address_plan& plan,
                           const std::string& folder)
    : loop(loop), record(record), plan(plan), folder(folder)
{
}

daemon_fleet::~daemon_fleet()
{
    for (const daemon_process& process : this->daemons)
    {
        if (process.pid > 0)
        {
            ::kill(process.pid, SIGKILL);
            waitpid(process.pid, nullptr, 0);
        }
    }
}

void daemon_fleet::add(const std::string& zone)
{
    const auto number = static_cast<std::uint32_t>(this->daemons.size() + 1);
    daemon_process added;
    added.name = "front-" + zone + "-" + std::to_string(number);
    added.zone = zone;
    added.number = number;
    this->daemons.push_back(added);
}

void daemon_fleet::start_all()
{
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
    {
        this->start(i);
        this->check_readiness(i);
    }
}

void daemon_fleet::start(std::size_t index)
{
    daemon_process& process = this->daemons[index];
    const std::string settings = this->folder + "/" + process.name + ".toml";
    const std::string output = this->folder + "/" + process.name + ".log";
    std::ofstream(settings) << settings_text(this->plan, process,
                                             std::min<std::size_t>(3, this->daemons.size()));
    const pid_t parent = getpid();
    process.pid = fork();
    if (process.pid == 0)
    {
        // No process of a case outlives it.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
        {
            _exit(exit_cannot_run);
        }
        const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        setenv("BRIARBARROW_CONFIG", settings.c_str(), 1);
        execl("target/briarbarrow_platformd", "target/briarbarrow_platformd", "--learn-pace",
              static_cast<char*>(nullptr));
        _exit(exit_cannot_run);
    }
    this->record.line("start " + process.name + " pid " + std::to_string(process.pid));
}

void daemon_fleet::stop(std::size_t index)
{
    daemon_process& process = this->daemons[index];
    this->record.line("SIGTERM to " + process.name);
    const pid_t stopped = process.pid;
    ::kill(stopped, SIGTERM);
    this->loop.after(grace_ms,
                     [this, index, stopped]()
                     {
                         if (this->daemons[index].pid == stopped && this->is_running(index))
                         {
                             this->record.line("SIGKILL to " + this->daemons[index].name);
                             ::kill(stopped, SIGKILL);
                         }
                     });
}

void daemon_fleet::kill_now(std::size_t index)
{
    daemon_process& process = this->daemons[index];
    this->record.line("SIGKILL to " + process.name);
    ::kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
    process.pid = -1;
}

void daemon_fleet::reap()
{
    for (daemon_process& process : this->daemons)
    {
        int status = 0;
        if (process.pid > 0 && waitpid(process.pid, &status, WNOHANG) == process.pid)
        {
            this->record.line(process.name + " has ended, status " + std::to_string(status));
            process.pid = -1;
        }
    }
}

bool daemon_fleet::is_running(std::size_t index) const
{
    return this->daemons[index].pid > 0;
}

std::size_t daemon_fleet::size() const
{
    return this->daemons.size();
}

bool daemon_fleet::all_ready() const
{
    for (const daemon_process& process : this->daemons)
    {
        if (!process.is_ready)
        {
            return false;
        }
    }
    return true;
}

const daemon_process& daemon_fleet::at(std::size_t index) const
{
    return this->daemons[index];
}

address daemon_fleet::packet_address(std::size_t index) const
{
    return this->plan.at(daemon_part, this->daemons[index].number, packet_port);
}

std::size_t daemon_fleet::select(std::uint32_t source, std::uint16_t source_port) const
{
    std::size_t in_rotation = 0;
    for (const daemon_process& process : this->daemons)
    {
        in_rotation += process.is_ready ? 1 : 0;
    }
    const bool takes_all = in_rotation * 2 < this->daemons.size();
    std::size_t best = 0;
    std::uint64_t best_rank = 0;
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
    {
        const std::uint64_t rank = mix(flow_number(source, source_port) * 31 + i) | 1;
        if ((takes_all || this->daemons[i].is_ready) && rank > best_rank)
        {
            best = i;
            best_rank = rank;
        }
    }
    return best;
}

void daemon_fleet::check_readiness(std::size_t index)
{
    this->reap();
    this->loop.after(readiness_interval_ms, [this, index]() { this->check_readiness(index); });
    const address to = this->plan.at(daemon_part, this->daemons[index].number, ready_port);
    const int descriptor = start_connecting(to);
    if (descriptor < 0)
    {
        this->finish_check(index, false);
        return;
    }
    const auto is_done = std::make_shared<bool>(false);
    const auto finish = [this, index, descriptor, is_done](bool is_ready)
    {
        if (!*is_done)
        {
            *is_done = true;
            this->loop.forget(descriptor);
            ::close(descriptor);
            this->finish_check(index, is_ready);
        }
    };
    this->loop.watch_writable(
        descriptor,
        [this, descriptor, finish]()
        {
            const std::string request = "GET /briarbarrow/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
            if (::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) < 0)
            {
                finish(false);
                return;
            }
            this->loop.watch_writable(descriptor, event_loop::handler());
            this->loop.watch(descriptor,
                             [descriptor, finish]()
                             {
                                 char text[64] = {};
                                 const ssize_t count = recv(descriptor, text, sizeof(text) - 1, 0);
                                 finish(count > 0 &&
                                        std::string(text).find(" 200 ") != std::string::npos);
                             });
        });
    this->loop.after(readiness_timeout_ms, [finish]() { finish(false); });
}

void daemon_fleet::finish_check(std::size_t index, bool is_ready)
{
    daemon_process& process = this->daemons[index];
    process.missed_checks = is_ready ? 0 : process.missed_checks + 1;
    const bool was_ready = process.is_ready;
    process.is_ready = process.missed_checks == 0 || (was_ready && process.missed_checks < 2);
    if (process.is_ready != was_ready)
    {
        this->record.line(process.name +
                          (process.is_ready ? " is in rotation" : " is out of rotation"));
    }
}

backend_server::backend_server(event_loop& loop, case_record& record, kv_store& store,
                               std::string name, std::string service, std::string zone,
                               const address& local)
    : name(std::move(name)), service(std::move(service)), zone(std::move(zone)), local(local),
      loop(loop), record(record), store(store), descriptor(open_udp(local)),
      listener(open_listener(local)), born_ms(unix_ms())
{
    this->wire_number =
        std::strtoull(this->name.substr(this->name.rfind('-') + 1).c_str(), nullptr, 16);
    this->random = static_cast<std::uint32_t>(mix(this->wire_number));
    this->loop.watch(this->descriptor, [this]() { this->receive(); });
    this->loop.watch(this->listener, [this]() { this->accept_check(); });
}

backend_server::~backend_server()
{
    this->end();
}

std::string backend_server::entry_text(const std::string& service, const address& local,
                                       const std::string& zone, bool is_draining,
                                       std::uint64_t calls, std::int64_t born_ms)
{
    return R"({"Service":")" + service + R"(","Address":")" + to_text(local) + R"(","Zone":")" +
           zone + R"(","Version":"v1","MaxConcurrent":2,"State":")" +
           (is_draining ? "draining" : "ready") + R"(","WarmupLeftMs":0,"CallSeq":)" +
           std::to_string(calls) + R"(,"born":)" + std::to_string(born_ms) + "}";
}

void backend_server::start_reporting()
{
    this->report();
}

void backend_server::report()
{
    ++this->calls;
    this->store.put("servers/" + this->name,
                    entry_text(this->service, this->local, this->zone, this->is_draining,
                               this->calls, this->born_ms));
}

void backend_server::drain(std::int64_t leave_after_ms)
{
    this->is_draining = true;
    this->report();
    this->drain_acked_at = now_ms();
    this->record.line("server " + this->name + " reports draining, acknowledged");
    this->loop.after(leave_after_ms,
                     [this]()
                     {
                         this->store.remove("servers/" + this->name);
                         this->record.line("server " + this->name + " has left");
                         this->end();
                     });
}

void backend_server::end()
{
    if (this->has_ended)
    {
        return;
    }
    this->has_ended = true;
    this->loop.forget(this->descriptor);
    this->loop.forget(this->listener);
    ::close(this->descriptor);
    ::close(this->listener);
    this->flows.clear();
}

void backend_server::accept_check()
{
    const int accepted = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0)
    {
        return;
    }
    this->loop.watch(accepted,
                     [this, accepted]()
                     {
                         char text[1'024];
                         if (recv(accepted, text, sizeof(text), 0) > 0)
                         {
                             const std::string answer =
                                 std::string("HTTP/1.1 ") + (this->is_draining ? "503" : "200") +
                                 " x\r\nInstance-Id: " + this->name +
                                 "\r\nBackend-Load: 0,0,8\r\nContent-Length: 0\r\n\r\n";
                             ::send(accepted, answer.data(), answer.size(), MSG_NOSIGNAL);
                         }
                         this->loop.forget(accepted);
                         ::close(accepted);
                     });
}

void backend_server::receive()
{
    address from;
    std::string bytes;
    while (!this->has_ended && receive_datagram(this->descriptor, from, bytes))
    {
        std::uint64_t wanted = 0;
        for (std::size_t i = 0; i < 8 && i < bytes.size(); ++i)
        {
            wanted = (wanted << 8) | static_cast<unsigned char>(bytes[i]);
        }
        std::string data;
        const auto head = bytes.size() < 8 ? std::nullopt : decode_packet(bytes.substr(8), data);
        // It sends nothing if it is not the intended backend server.
        if (head && (wanted == 0 || wanted == this->wire_number))
        {
            this->handle(*head, data);
        }
    }
}

void backend_server::handle(const packet_head& head, const std::string& data)
{
    if (this->on_packet)
    {
        this->on_packet(*this, head);
    }
    const flow_name key{head.src, (static_cast<std::uint32_t>(head.sport) << 16) | head.dport};
    const auto found = this->flows.find(key);
    if ((head.flags & flag_rst) != 0)
    {
        this->flows.erase(key);
        return;
    }
    if ((head.flags & flag_syn) != 0)
    {
        if (found == this->flows.end())
        {
            held_flow& flow = this->flows[key];
            this->random = static_cast<std::uint32_t>(mix(this->random));
            flow.own_seq = this->random;
            flow.peer_next = head.seq + 1;
            flow.echo = head.echo;
            this->openings[key] = head;
            this->send(head, flow, flag_syn | flag_ack, flow.own_seq, "");
        }
        else if (!found->second.is_open)
        {
            found->second.echo = head.echo;
            this->send(head, found->second, flag_syn | flag_ack, found->second.own_seq, "");
        }
        return;
    }
    if (found == this->flows.end())
    {
        this->send_reset(head);
        return;
    }
    held_flow& flow = found->second;
    flow.echo = head.echo;
    if (!flow.is_open)
    {
        if (head.ack != flow.own_seq + 1)
        {
            // The caller has opened its flow elsewhere.
            this->send_reset(head);
            return;
        }
        flow.is_open = true;
        flow.has_unacknowledged = false;
        if (this->on_open)
        {
            this->on_open(*this, head);
        }
    }
    if (flow.has_unacknowledged &&
        head.ack == flow.sent_seq + static_cast<std::uint32_t>(flow.unacknowledged.size()))
    {
        flow.has_unacknowledged = false;
    }
    if (data.empty())
    {
        if ((head.flags & flag_fin) != 0)
        {
            flow.peer_next = head.seq + 1;
            this->send(head, flow, flag_ack | flag_fin, head.ack, "");
            this->flows.erase(key);
        }
        return;
    }
    if (head.seq != flow.peer_next)
    {
        // A copy of a request that has run: the answer is on its way.
        return;
    }
    flow.peer_next = head.seq + static_cast<std::uint32_t>(data.size());
    const std::string id = header_value(data, "Request-Id");
    ++this->runs;
    this->record.line("run " + id + " at " + this->name + " (" + this->service + ")" +
                      (this->is_draining ? " draining" : ""));
    if (this->on_run)
    {
        this->on_run(*this, id);
    }
    this->loop.after(this->work_ms,
                     [this, key, head, id]()
                     {
                         const auto held = this->flows.find(key);
                         if (held != this->flows.end() && !this->has_ended)
                         {
                             this->send(head, held->second, flag_ack, head.ack,
                                        "HTTP/1.1 200 OK\r\nServer-Seal: " + this->name +
                                            "\r\nRequest-Id: " + id +
                                            "\r\nContent-Length: 2\r\n\r\nok");
                         }
                     });
}

void backend_server::send(const packet_head& of, held_flow& flow, std::uint8_t flags,
                          std::uint32_t seq, const std::string& data)
{
    packet_head head;
    head.seq = seq;
    head.ack = flow.peer_next;
    head.src = of.dst;
    head.dst = of.src;
    head.sport = of.dport;
    head.dport = of.sport;
    head.flags = flags;
    head.echo = flow.echo;
    const bool must_be_acknowledged = !data.empty() || (flags & flag_syn) != 0;
    if (must_be_acknowledged)
    {
        flow.has_unacknowledged = true;
        flow.unacknowledged = data;
        flow.sent_seq = seq;
        flow.sent_flags = flags;
        flow.retransmissions = 0;
        flow.timer = ++this->timers;
    }
    if (must_be_acknowledged && ((flags & flag_syn) == 0 || this->repeats_syn_ack))
    {
        this->retransmit_later(of, flow.timer, first_retransmission_ms);
    }
    if (this->loses && this->loses(head))
    {
        this->record.line("lost: packet of " + this->name + " to port " +
                          std::to_string(head.dport) + " flags " + std::to_string(flags));
        return;
    }
    send_datagram(this->descriptor, address{of.src, this->local.port}, encode_packet(head, data));
}

void backend_server::retransmit_later(const packet_head& of, std::uint64_t timer,
                                      std::int64_t delay_ms)
{
    const flow_name key{of.src, (static_cast<std::uint32_t>(of.sport) << 16) | of.dport};
    this->loop.after(delay_ms,
                     [this, of, key, timer, delay_ms]()
                     {
                         const auto found = this->flows.find(key);
                         if (this->has_ended || found == this->flows.end() ||
                             !found->second.has_unacknowledged || found->second.timer != timer)
                         {
                             return;
                         }
                         held_flow& flow = found->second;
                         if (++flow.retransmissions > max_retransmissions)
                         {
                             this->flows.erase(found);
                             return;
                         }
                         packet_head head;
                         head.seq = flow.sent_seq;
                         head.ack = flow.peer_next;
                         head.src = of.dst;
                         head.dst = of.src;
                         head.sport = of.dport;
                         head.dport = of.sport;
                         head.flags = flow.sent_flags;
                         head.echo = flow.echo;
                         if (!this->loses || !this->loses(head))
                         {
                             send_datagram(this->descriptor, address{of.src, this->local.port},
                                           encode_packet(head, flow.unacknowledged));
                         }
                         this->retransmit_later(of, timer,
                                                std::min(delay_ms * 2, max_retransmission_ms));
                     });
}

void backend_server::send_reset(const packet_head& of)
{
    packet_head head;
    head.seq = of.ack;
    head.src = of.dst;
    head.dst = of.src;
    head.sport = of.dport;
    head.dport = of.sport;
    head.flags = flag_rst;
    head.echo = of.echo;
    send_datagram(this->descriptor, address{of.src, this->local.port}, encode_packet(head, ""));
}

const char* text_of(attempt_end end)
{
    switch (end)
    {
    case attempt_end::none:
        return "none";
    case attempt_end::answered:
        return "answered";
    case attempt_end::refused:
        return "refused";
    case attempt_end::unopened:
        return "not opened";
    case attempt_end::reset:
        return "reset";
    case attempt_end::timed_out:
        return "timed out";
    }
    return "";
}

caller_group::caller_group(event_loop& loop, case_record& record, daemon_fleet& daemons,
                           const address& local)
    : loop(loop), record(record), daemons(daemons), local(local), descriptor(open_udp(local))
{
    this->loop.watch(this->descriptor, [this]() { this->receive(); });
}

std::uint32_t caller_group::ip() const
{
    return this->local.ip;
}

caller_flow& caller_group::open(const address& route, int fixed_daemon,
                                std::function<void(caller_flow&, attempt_end)> on_end)
{
    auto added = std::make_unique<caller_flow>();
    caller_flow& flow = *added;
    flow.port = this->next_port++;
    flow.route = route;
    flow.fixed_daemon = fixed_daemon;
    flow.own_seq = static_cast<std::uint32_t>(mix(flow.port));
    flow.on_end = std::move(on_end);
    flow.sent_at = now_ms();
    this->flows[flow.port] = std::move(added);
    this->request(flow);
    this->send_syn(flow, 0);
    const std::uint16_t port = flow.port;
    for (std::uint32_t copy = 0; copy < 2; ++copy)
    {
        this->loop.after(syn_copy_ms[copy],
                         [this, port, copy]()
                         {
                             caller_flow& opening = *this->flows[port];
                             if (!opening.is_open && !opening.has_ended)
                             {
                                 this->send_syn(opening, copy + 1);
                             }
                         });
    }
    this->loop.after(syn_timeout_ms,
                     [this, port]()
                     {
                         caller_flow& opening = *this->flows[port];
                         if (!opening.is_open && !opening.has_ended)
                         {
                             this->finish(opening, attempt_end::unopened);
                         }
                     });
    return flow;
}

void caller_group::request(caller_flow& flow)
{
    flow.request_id = "r" + std::to_string(this->next_id++);
    flow.data_seq = flow.requests == 0
                        ? flow.own_seq + 1
                        : flow.data_seq + static_cast<std::uint32_t>(flow.data.size());
    flow.data =
        "GET /item HTTP/1.1\r\nHost: service\r\nRequest-Id: " + flow.request_id + "\r\n\r\n";
    ++flow.requests;
    flow.is_waiting = true;
    flow.requested_at = now_ms();
    this->record.line("request " + flow.request_id + " port " + std::to_string(flow.port) + " to " +
                      to_text(flow.route));
    const std::uint64_t timer = ++flow.timer;
    if (flow.is_open)
    {
        this->send_data(flow, timer, first_retransmission_ms);
    }
    const std::uint16_t port = flow.port;
    this->loop.after(flow.time_limit_ms,
                     [this, port, timer]()
                     {
                         caller_flow& waiting = *this->flows[port];
                         if (waiting.is_waiting && waiting.timer == timer && !waiting.has_ended)
                         {
                             this->finish(waiting, attempt_end::timed_out);
                         }
                     });
}

void caller_group::close(caller_flow& flow)
{
    if (!flow.has_ended && flow.is_open)
    {
        this->send(flow, flag_ack | flag_fin,
                   flow.data_seq + static_cast<std::uint32_t>(flow.data.size()), flow.peer_next,
                   "");
    }
    flow.has_ended = true;
}

void caller_group::send_syn(caller_flow& flow, std::uint32_t copy)
{
    this->send(flow, flag_syn, flow.own_seq, copy, "");
}

void caller_group::send_data(caller_flow& flow, std::uint64_t timer, std::int64_t interval_ms)
{
    if (!flow.is_waiting || flow.timer != timer || flow.has_ended)
    {
        return;
    }
    this->send(flow, flag_ack, flow.data_seq, flow.peer_next, flow.data);
    const std::uint16_t port = flow.port;
    this->loop.after(interval_ms,
                     [this, port, timer, interval_ms]() {
                         this->send_data(*this->flows[port], timer,
                                         std::min(interval_ms * 2, max_retransmission_ms));
                     });
}

void caller_group::send(caller_flow& flow, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack,
                        const std::string& data)
{
    packet_head head;
    head.seq = seq;
    head.ack = ack;
    head.src = this->local.ip;
    head.sport = flow.port;
    head.dst = flow.route.ip;
    head.dport = flow.route.port;
    head.flags = flags;
    head.echo = (flags & flag_syn) != 0 ? 0 : flow.echo;
    const std::size_t through = flow.fixed_daemon >= 0
                                    ? static_cast<std::size_t>(flow.fixed_daemon)
                                    : this->daemons.select(this->local.ip, flow.port);
    send_datagram(this->descriptor, this->daemons.packet_address(through),
                  encode_packet(head, data));
}

void caller_group::receive()
{
    address from;
    std::string bytes;
    while (receive_datagram(this->descriptor, from, bytes))
    {
        std::string data;
        const auto head = decode_packet(bytes, data);
        if (head)
        {
            this->handle(from, *head, data);
        }
    }
}

void caller_group::handle(const address& from, const packet_head& head, const std::string& data)
{
    const auto found = this->flows.find(head.dport);
    if (found == this->flows.end() || found->second->has_ended)
    {
        return;
    }
    caller_flow& flow = *found->second;
    if ((head.flags & flag_rst) != 0)
    {
        flow.reset_by = (head.sum == 0 ? "daemon at " : "server at ") + to_text(from);
        this->finish(flow, flow.is_open ? attempt_end::reset : attempt_end::refused);
        return;
    }
    // Both ends repeat the last echo that they received on the flow.
    flow.echo = head.echo;
    if ((head.flags & flag_syn) != 0)
    {
        if (flow.is_open)
        {
            return;
        }
        flow.is_open = true;
        flow.peer_seq = head.seq;
        flow.peer_next = head.seq + 1;
        this->send_data(flow, flow.timer, first_retransmission_ms);
        return;
    }
    if (data.empty() || head.seq != flow.peer_next)
    {
        if (!data.empty())
        {
            this->send(flow, flag_ack, flow.data_seq + static_cast<std::uint32_t>(flow.data.size()),
                       flow.peer_next, "");
        }
        return;
    }
    flow.peer_next = head.seq + static_cast<std::uint32_t>(data.size());
    this->send(flow, flag_ack, flow.data_seq + static_cast<std::uint32_t>(flow.data.size()),
               flow.peer_next, "");
    if (flow.is_waiting && header_value(data, "Request-Id") == flow.request_id)
    {
        flow.is_waiting = false;
        this->record.line("answer to " + flow.request_id + " from " +
                          header_value(data, "Server-Seal"));
        flow.on_end(flow, attempt_end::answered);
    }
}

void caller_group::finish(caller_flow& flow, attempt_end end)
{
    flow.has_ended = true;
    flow.is_waiting = false;
    flow.end = end;
    this->record.line("end of " + flow.request_id + " port " + std::to_string(flow.port) + ": " +
                      text_of(end) + (flow.reset_by.empty() ? "" : " by " + flow.reset_by));
    flow.on_end(flow, end);
}

std::string config_text(std::uint64_t version, const std::vector<config_route>& routes,
                        const std::vector<std::string>& services)
{
    std::string text = R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)";
    for (std::size_t i = 0; i < routes.size(); ++i)
    {
        const config_route& route = routes[i];
        text += (i == 0 ? R"({"Name":")" : R"(,{"Name":")") + route.name + R"(","Host":")" +
                ip_text(route.at.ip) + R"(","Prefix":"/)" + std::to_string(route.at.port) +
                R"(/","Type":")" + route.type +
                R"(","TimeoutMs":2500,"SloMs":500,"Priority":2,"Service":")" + route.service +
                R"(","MaxAttempts":2})";
    }
    text += R"(],"Services":[)";
    for (std::size_t i = 0; i < services.size(); ++i)
    {
        text += (i == 0 ? R"({"Name":")" : R"(,{"Name":")") + services[i] +
                R"(","HealthPath":"/health","MaxFlows":2000,"Protocol":"h1","Tls":false,)" +
                R"("WarmupS":2.0,"WarmupPerS":0.0})";
    }
    return text + R"(],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,)" +
           R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

bool has_trouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review

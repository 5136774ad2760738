// A randomized fault soak: runs real daemons as processes on the loopback and injects faults with
// signals, a proxy in front of the store, failing backend servers and configuration changes, while
// callers and backend servers check the guarantees of the load balancer.
// Faults are drawn from the seed; their timing relative to the daemons depends on the machine, so a
// seed does not repeat a run exactly.

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <set>

#include <cxxopts.hpp>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "net/monotonic_clock.hpp"
#include "testing/soak/fault_proxy.hpp"
#include "testing/soak/soak_environment.hpp"

namespace
{

using namespace briarbarrow;

constexpr millis tick_interval{5};
constexpr millis stop_timeout{6'000};
constexpr millis required_answers_duration{9'000};
// Time to recover: every request that starts this long after the last fault must be answered.
constexpr millis recovery_duration{5'000};
constexpr int zone_count = 3;

struct soak_options
{
    std::string daemon;
    std::uint64_t seed = 1;
    std::int64_t seconds = 20;
    int daemons = 4;
    int backends = 9;
    bool prints_events = false;
};

// A daemon's process and the proxy between it and the store.
struct soak_process
{
    std::string settings_path;
    std::string log_path;
    pid_t pid = 0;
    std::unique_ptr<fault_proxy> proxy;
    bool is_stopping = false;
    bool is_killed = false;
    millis stop_requested_at;
    millis restart_at;
};

class soak
{
public:
    explicit soak(const soak_options& options)
        : options(options), random(options.seed), net(static_cast<int>(10 + getpid() % 240)),
          folder("/tmp/briarbarrow-soak-" + std::to_string(getpid())),
          environment(options.seed, this->net)
    {
        std::filesystem::create_directories(this->folder);
    }

    int run();

private:
    void make_daemons();
    void make_backends();
    void start(soak_process& process);
    void supervise_processes();
    void inject_fault();
    void inject_process_fault(std::size_t index);
    void inject_store_fault(std::size_t index);
    void restore_store_after(std::int64_t outage_ms, std::int64_t copy_age_ms);
    void inject_backend_fault();
    void change_configuration();
    void change_evacuation();
    void schedule(std::int64_t delay_ms, std::function<void()> action);
    void print_event(const std::string& text);
    int finish();
    std::size_t random_below(std::size_t limit)
    {
        return this->random() % limit;
    }

    soak_options options;
    std::mt19937_64 random;
    int net;
    std::string folder;
    soak_environment environment;
    std::vector<soak_process> processes;
    bool is_evacuated = false;
    std::vector<std::pair<millis, std::function<void()>>> scheduled_actions;
    millis now;
    int next_backend_address = 1;
};

void soak::print_event(const std::string& text)
{
    if (this->options.prints_events)
    {
        std::cout << "t=" << this->now.count % 1'000'000 << " " << text << "\n";
    }
}

void soak::schedule(std::int64_t delay_ms, std::function<void()> action)
{
    this->scheduled_actions.emplace_back(this->now + millis{delay_ms}, std::move(action));
}

void soak::make_daemons()
{
    for (int i = 0; i < this->options.daemons; ++i)
    {
        const std::string zone = "zone-" + std::to_string(i % zone_count);
        const endpoint packet_endpoint = this->environment.address(1, i + 1, 8172);
        const endpoint readiness_endpoint = this->environment.address(1, i + 1, 8167);
        const endpoint store = this->environment.address(4, i + 10, 8169);
        soak_process& process = this->processes.emplace_back();
        process.proxy = std::make_unique<fault_proxy>(store, this->environment.address(4, 1, 8169));
        process.settings_path = this->folder + "/" + std::to_string(i) + ".toml";
        process.log_path = this->folder + "/" + std::to_string(i) + ".log";
        std::ofstream(process.settings_path)
            << "NodeName = \"front-" << i << "\"\nZone = \"" << zone
            << "\"\nForwarding = \"echo\"\n"
            << "InternalPorts = [7720,7735]\nSeeds = [\""
            << to_string(this->environment.address(1, 1, 8166)) << "\",\""
            << to_string(this->environment.address(1, 2, 8166))
            << "\"]\n[ListenAddrs]\nDatagramAddr = \"" << to_string(packet_endpoint)
            << "\"\nReady = \"" << to_string(readiness_endpoint)
            << "\"\n[Bounds]\nGraceS = 6\n[platform]\nAddress = \"" << to_string(store) << "\"\n";
        this->environment.add_host(packet_endpoint, readiness_endpoint, zone);
        this->start(process);
    }
}

void soak::make_backends()
{
    for (int i = 0; i < this->options.backends; ++i)
    {
        this->environment.add_backend(
            i % 3 == 2 ? "sheets" : "orders", "zone-" + std::to_string((i / 3) % zone_count),
            this->environment.address(2, this->next_backend_address++, 8080));
    }
}

void soak::start(soak_process& process)
{
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, process.log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    // A signal whose default action ends a process must wait until the daemon's main has run.
    sigset_t handled_signals;
    sigemptyset(&handled_signals);
    sigaddset(&handled_signals, SIGHUP);
    sigaddset(&handled_signals, SIGTERM);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setsigmask(&attributes, &handled_signals);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    std::string program = this->options.daemon;
    std::string settings_flag = "--settings";
    std::string pace_flag = "--learn-pace";
    std::vector<char*> arguments{program.data(), settings_flag.data(), process.settings_path.data(),
                                 pace_flag.data(), nullptr};
    const int error =
        posix_spawn(&process.pid, program.c_str(), &files, &attributes, arguments.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&files);
    if (error != 0)
    {
        std::cerr << "cannot start the daemon: " << program << "\n";
        std::exit(EXIT_FAILURE);
    }
    process.is_stopping = false;
    process.is_killed = false;
}

void soak::supervise_processes()
{
    for (std::size_t i = 0; i < this->processes.size(); ++i)
    {
        soak_process& process = this->processes[i];
        int status = 0;
        if (process.pid > 0 && waitpid(process.pid, &status, WNOHANG) == process.pid)
        {
            const bool is_requested_exit =
                process.is_stopping && WIFEXITED(status) && WEXITSTATUS(status) == 0;
            if (!process.is_killed && !is_requested_exit)
            {
                this->environment.report_violation(
                    "daemon " + std::to_string(i) +
                    " exited without being told to, or not with status 0");
            }
            process.pid = 0;
            process.restart_at =
                this->now + millis{200 + static_cast<std::int64_t>(this->random_below(1'500))};
            this->environment.record_fault(i);
        }
        if (process.pid == 0 && this->now >= process.restart_at)
        {
            this->start(process);
            this->environment.record_fault(i);
        }
        if (process.is_stopping && !process.is_killed && process.pid > 0 &&
            this->now > process.stop_requested_at + stop_timeout)
        {
            this->environment.report_violation("daemon " + std::to_string(i) +
                                               " did not exit in time after SIGTERM");
            process.is_killed = true;
            kill(process.pid, SIGKILL);
        }
    }
}

void soak::inject_process_fault(std::size_t index)
{
    soak_process& process = this->processes[index];
    if (process.pid == 0 || process.is_stopping)
    {
        return;
    }
    this->environment.record_fault(index);
    switch (this->random_below(4))
    {
    case 0:
        this->print_event("SIGTERM to daemon " + std::to_string(index));
        process.is_stopping = true;
        process.stop_requested_at = this->now;
        kill(process.pid, SIGTERM);
        break;
    case 1:
        this->print_event("SIGKILL to daemon " + std::to_string(index));
        process.is_killed = true;
        kill(process.pid, SIGKILL);
        break;
    case 2:
        this->print_event("SIGSTOP to daemon " + std::to_string(index));
        kill(process.pid, SIGSTOP);
        this->schedule(300 + static_cast<std::int64_t>(this->random_below(2'000)),
                       [this, index, pid = process.pid]()
                       {
                           if (this->processes[index].pid == pid)
                           {
                               kill(pid, SIGCONT);
                           }
                           this->environment.record_fault(index);
                       });
        break;
    default:
        this->print_event("SIGHUP to daemon " + std::to_string(index));
        kill(process.pid, SIGHUP);
        break;
    }
}

void soak::inject_store_fault(std::size_t index)
{
    const std::int64_t duration = 500 + static_cast<std::int64_t>(this->random_below(3'000));
    switch (this->random_below(5))
    {
    case 0:
        this->print_event("store answers 503");
        this->environment.record_fault_on_all();
        this->environment.store().set_busy(true);
        this->schedule(duration,
                       [this]()
                       {
                           this->environment.store().set_busy(false);
                           this->environment.record_fault_on_all();
                       });
        break;
    case 1:
        this->print_event("store history compacted");
        this->environment.record_fault_on_all();
        this->environment.store().compact_history();
        break;
    case 2:
        this->restore_store_after(duration,
                                  500 + static_cast<std::int64_t>(this->random_below(4'000)));
        break;
    case 3:
        this->print_event("store connections reset for daemon " + std::to_string(index));
        this->environment.record_fault(index);
        this->processes[index].proxy->reset_all();
        break;
    default:
    {
        const auto mode =
            static_cast<proxy_mode>(1 + this->random_below(proxy_mode_names.size() - 1));
        this->print_event("store proxy mode " +
                          std::string(proxy_mode_names[static_cast<std::size_t>(mode)]) +
                          " for daemon " + std::to_string(index));
        this->environment.record_fault(index);
        this->processes[index].proxy->set_mode(mode);
        this->schedule(duration,
                       [this, index]()
                       {
                           this->processes[index].proxy->set_mode(proxy_mode::pass);
                           this->environment.record_fault(index);
                       });
        break;
    }
    }
}

// Copies the store now, and after `copy_age_ms` takes it away for a moment and brings it back from
// the copy.
void soak::restore_store_after(std::int64_t outage_ms, std::int64_t copy_age_ms)
{
    this->print_event("store copied, to be restored after " + std::to_string(copy_age_ms) + " ms");
    this->environment.store().copy();
    this->schedule(copy_age_ms,
                   [this]()
                   {
                       this->print_event("store away, to be restored from its copy");
                       this->environment.record_fault_on_all();
                       this->environment.store().set_busy(true);
                   });
    this->schedule(copy_age_ms + outage_ms,
                   [this]()
                   {
                       this->print_event("store restored from its copy");
                       this->environment.record_fault_on_all();
                       this->environment.store().set_busy(false);
                       this->environment.restore_store();
                   });
}

void soak::inject_backend_fault()
{
    auto& servers = this->environment.backends();
    std::vector<std::size_t> candidates;
    std::map<std::string, int> candidates_per_service;
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        if (servers[i]->descriptor >= 0 && !servers[i]->is_draining && !servers[i]->is_unresponsive)
        {
            candidates.push_back(i);
            ++candidates_per_service[servers[i]->service];
        }
    }
    if (candidates.empty())
    {
        return;
    }
    const std::size_t chosen = candidates[this->random_below(candidates.size())];
    soak_backend& server = *servers[chosen];
    if (candidates_per_service[server.service] < 3)
    {
        return;
    }
    const endpoint new_address = this->environment.address(2, this->next_backend_address++, 8080);
    const std::string service = server.service;
    const std::string zone = server.zone;
    switch (this->random_below(3))
    {
    case 0:
        this->print_event("backend server draining: " + server.name);
        this->environment.drain_backend(chosen);
        this->environment.add_backend(service, zone, new_address);
        this->schedule(4'500, [this, chosen]() { this->environment.end_backend(chosen); });
        break;
    case 1:
        this->print_event("backend server unresponsive: " + server.name);
        this->environment.set_unresponsive(chosen, true);
        this->schedule(500 + static_cast<std::int64_t>(this->random_below(3'000)),
                       [this, chosen]() { this->environment.set_unresponsive(chosen, false); });
        break;
    default:
        // Its address is reused at once by a backend server of the other service.
        this->print_event("backend server replaced: " + server.name);
        this->environment.end_backend(chosen);
        this->environment.add_backend(service == "orders" ? "sheets" : "orders", zone,
                                      server.address);
        this->environment.add_backend(service, zone, new_address);
        break;
    }
}

void soak::change_configuration()
{
    const std::size_t changes = 1 + this->random_below(4);
    this->print_event("configuration changes: " + std::to_string(changes));
    for (std::size_t i = 0; i < changes; ++i)
    {
        if (this->random_below(3) == 0)
        {
            this->environment.remove_route();
        }
        else
        {
            this->environment.add_route();
        }
    }
}

// Evacuates a zone, or takes a standing evacuation back; at times both, or an order again at once.
void soak::change_evacuation()
{
    if (this->is_evacuated)
    {
        this->print_event("evacuation taken back");
        this->environment.readmit_zone();
        this->is_evacuated = false;
    }
    if (this->random_below(3) > 0)
    {
        const std::string zone = "zone-" + std::to_string(this->random_below(zone_count));
        this->print_event("evacuation of " + zone);
        this->environment.evacuate_zone(zone);
        this->is_evacuated = true;
    }
}

void soak::inject_fault()
{
    const std::size_t index = this->random_below(this->processes.size());
    switch (this->random_below(7))
    {
    case 6:
        this->change_evacuation();
        break;
    case 0:
    case 1:
        this->inject_process_fault(index);
        break;
    case 2:
    case 3:
        this->inject_store_fault(index);
        break;
    case 4:
        this->inject_backend_fault();
        break;
    default:
        this->change_configuration();
        break;
    }
}

int soak::run()
{
    this->now = monotonic_now();
    this->make_backends();
    this->make_daemons();
    const millis begin = this->now;
    const millis faults_begin = begin + millis{2'000};
    const millis faults_end = begin + millis{this->options.seconds * 1'000};
    const millis end = faults_end + recovery_duration + required_answers_duration;
    millis next_fault = faults_begin;
    bool answers_required = false;
    millis next_tick = begin;
    while (this->now < end)
    {
        while (g_main_context_iteration(nullptr, FALSE))
        {
        }
        this->now = monotonic_now();
        if (this->now < next_tick)
        {
            g_usleep(500);
            continue;
        }
        next_tick = this->now + tick_interval;
        std::vector<std::function<void()>> due;
        std::erase_if(this->scheduled_actions,
                      [this, &due](auto& entry)
                      {
                          if (entry.first > this->now)
                          {
                              return false;
                          }
                          due.push_back(std::move(entry.second));
                          return true;
                      });
        for (const std::function<void()>& action : due)
        {
            action();
        }
        this->supervise_processes();
        if (this->now >= next_fault && this->now < faults_end)
        {
            this->inject_fault();
            next_fault =
                this->now + millis{50 + static_cast<std::int64_t>(this->random_below(1'200))};
        }
        if (!answers_required && this->now > faults_end + recovery_duration)
        {
            answers_required = true;
            this->environment.require_answers();
            if (this->is_evacuated)
            {
                this->environment.readmit_zone();
            }
            // Whatever the faults left behind, these changes have to be in force in time.
            this->environment.remove_route();
            this->environment.add_route();
        }
        const bool sends_requests = this->now > faults_begin && this->now < end - millis{2'000};
        this->environment.tick(this->now, sends_requests ? 1 : 0);
    }
    return this->finish();
}

int soak::finish()
{
    for (const soak_process& process : this->processes)
    {
        if (process.pid > 0)
        {
            kill(process.pid, SIGKILL);
            waitpid(process.pid, nullptr, 0);
        }
    }
    soak_report& report = this->environment.report();
    if (report.required_answered < report.required_requests)
    {
        report.violations.push_back(
            std::to_string(report.required_requests - report.required_answered) + " of " +
            std::to_string(report.required_requests) +
            " requests started after the recovery from the last fault were not answered");
    }
    for (const auto& [zone, openings] : this->environment.zone_openings())
    {
        if (openings == 0)
        {
            report.violations.push_back(zone + " got no new flow after the last evacuation");
        }
    }
    std::cout << "seed " << this->options.seed << ": requests " << report.requests << ", answered "
              << report.answered << ", executions " << report.executions
              << ", answered after recovery " << report.required_answered << " of "
              << report.required_requests << ", violations " << report.violations.size() << "\n";
    const std::set<std::string> distinct_violations(report.violations.begin(),
                                                    report.violations.end());
    for (const std::string& text : distinct_violations)
    {
        std::cout << "  violation: " << text << "\n";
    }
    if (report.violations.empty())
    {
        std::filesystem::remove_all(this->folder);
        return EXIT_SUCCESS;
    }
    std::cout << "  logs: " << this->folder << "\n";
    return EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
    soak_options options;
    cxxopts::Options parser(
        "briarbarrow_soak",
        "Injects faults into real daemons and checks the load balancer's guarantees.");
    parser.add_options()("daemon", "path of the daemon's program", cxxopts::value(options.daemon))(
        "seed", "seed of the injected faults", cxxopts::value(options.seed))(
        "seconds", "seconds during which faults are injected", cxxopts::value(options.seconds))(
        "daemons", "number of daemons", cxxopts::value(options.daemons))(
        "backends", "number of backend servers at the start", cxxopts::value(options.backends))(
        "story", "print each injected fault",
        cxxopts::value(options.prints_events))("help", "print this help");
    const cxxopts::ParseResult arguments = parser.parse(argc, argv);
    if (arguments.count("help") > 0 || options.daemon.empty())
    {
        std::cout << parser.help();
        return arguments.count("help") > 0 ? EXIT_SUCCESS : 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    return soak(options).run();
}

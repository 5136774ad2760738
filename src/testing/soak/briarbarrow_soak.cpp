// A randomized soak: real daemons as processes of their own on the loopback, harmed from outside by
// signals and by a proxy before the store, while callers and backend servers check the promises.
// The same seed deals the same harm; how it meets the daemons is up to the machine.

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

constexpr millis tick_span{5};
constexpr millis stop_grace{6'000};
constexpr millis calm_span{9'000};
// Requests that begin so long after the last harm have to be answered.
constexpr millis settle_span{5'000};
constexpr int zones = 3;

struct soak_options
{
    std::string daemon;
    std::uint64_t seed = 1;
    std::int64_t seconds = 20;
    int daemons = 4;
    int backends = 9;
    bool tells = false;
};

// A daemon's process.
struct soak_process
{
    std::string settings;
    std::string log;
    pid_t pid = 0;
    std::unique_ptr<fault_proxy> proxy;
    bool is_stopping = false;
    bool is_killed = false;
    millis stop_began;
    millis restart_at;
};

class soak
{
public:
    explicit soak(const soak_options& options)
        : options(options), random(options.seed), net(static_cast<int>(10 + getpid() % 240)),
          folder("/tmp/briarbarrow-soak-" + std::to_string(getpid())),
          world(options.seed, this->net)
    {
        std::filesystem::create_directories(this->folder);
    }

    int run();

private:
    void make_daemons();
    void make_backends();
    void start(soak_process& process);
    void watch_processes();
    void harm_something();
    void harm_process(std::size_t index);
    void harm_store(std::size_t index);
    void harm_backend();
    void change_configuration();
    void after(std::int64_t span_ms, std::function<void()> what);
    void tell(const std::string& text);
    int finish();
    std::size_t below(std::size_t limit)
    {
        return this->random() % limit;
    }

    soak_options options;
    std::mt19937_64 random;
    int net;
    std::string folder;
    soak_world world;
    std::vector<soak_process> processes;
    std::vector<std::pair<millis, std::function<void()>>> later;
    millis now;
    int next_backend_address = 1;
};

void soak::tell(const std::string& text)
{
    if (this->options.tells)
    {
        std::cout << "t=" << this->now.count % 1'000'000 << " " << text << "\n";
    }
}

void soak::after(std::int64_t span_ms, std::function<void()> what)
{
    this->later.emplace_back(this->now + millis{span_ms}, std::move(what));
}

void soak::make_daemons()
{
    for (int i = 0; i < this->options.daemons; ++i)
    {
        const std::string zone = "zone-" + std::to_string(i % zones);
        const endpoint packets = this->world.address(1, i + 1, 8172);
        const endpoint readiness = this->world.address(1, i + 1, 8167);
        const endpoint store = this->world.address(4, i + 10, 8169);
        soak_process& process = this->processes.emplace_back();
        process.proxy = std::make_unique<fault_proxy>(store, this->world.address(4, 1, 8169));
        process.settings = this->folder + "/" + std::to_string(i) + ".toml";
        process.log = this->folder + "/" + std::to_string(i) + ".log";
        std::ofstream(process.settings)
            << "NodeName = \"front-" << i << "\"\nZone = \"" << zone
            << "\"\nForwarding = \"echo\"\n"
            << "InternalPorts = [7720,7735]\nSeeds = [\""
            << to_string(this->world.address(1, 1, 8166)) << "\",\""
            << to_string(this->world.address(1, 2, 8166)) << "\"]\n[ListenAddrs]\nDatagramAddr = \""
            << to_string(packets) << "\"\nReady = \"" << to_string(readiness)
            << "\"\n[Bounds]\nGraceS = 6\n[platform]\nAddress = \"" << to_string(store) << "\"\n";
        this->world.add_host(packets, readiness, zone);
        this->start(process);
    }
}

void soak::make_backends()
{
    for (int i = 0; i < this->options.backends; ++i)
    {
        this->world.add_backend(i % 3 == 2 ? "sheets" : "orders",
                                "zone-" + std::to_string((i / 3) % zones),
                                this->world.address(2, this->next_backend_address++, 8080));
    }
}

void soak::start(soak_process& process)
{
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, process.log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    std::string name = this->options.daemon;
    std::string flag = "--settings";
    std::vector<char*> words{name.data(), flag.data(), process.settings.data(), nullptr};
    const int fault =
        posix_spawn(&process.pid, name.c_str(), &files, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (fault != 0)
    {
        std::cerr << "can't start " << name << "\n";
        std::exit(EXIT_FAILURE);
    }
    process.is_stopping = false;
    process.is_killed = false;
}

void soak::watch_processes()
{
    for (std::size_t i = 0; i < this->processes.size(); ++i)
    {
        soak_process& process = this->processes[i];
        int status = 0;
        if (process.pid > 0 && waitpid(process.pid, &status, WNOHANG) == process.pid)
        {
            const bool is_planned =
                process.is_stopping && WIFEXITED(status) && WEXITSTATUS(status) == 0;
            if (!process.is_killed && !is_planned)
            {
                this->world.break_promise("daemon " + std::to_string(i) + " ended by itself");
            }
            process.pid = 0;
            process.restart_at =
                this->now + millis{200 + static_cast<std::int64_t>(this->below(1'500))};
            this->world.harm(i);
        }
        if (process.pid == 0 && this->now >= process.restart_at)
        {
            this->start(process);
            this->world.harm(i);
        }
        if (process.is_stopping && !process.is_killed && process.pid > 0 &&
            this->now > process.stop_began + stop_grace)
        {
            this->world.break_promise("daemon " + std::to_string(i) + " did not stop in time");
            process.is_killed = true;
            kill(process.pid, SIGKILL);
        }
    }
}

void soak::harm_process(std::size_t index)
{
    soak_process& process = this->processes[index];
    if (process.pid == 0 || process.is_stopping)
    {
        return;
    }
    this->world.harm(index);
    switch (this->below(4))
    {
    case 0:
        this->tell("stop " + std::to_string(index));
        process.is_stopping = true;
        process.stop_began = this->now;
        kill(process.pid, SIGTERM);
        break;
    case 1:
        this->tell("kill " + std::to_string(index));
        process.is_killed = true;
        kill(process.pid, SIGKILL);
        break;
    case 2:
        this->tell("pause " + std::to_string(index));
        kill(process.pid, SIGSTOP);
        this->after(300 + static_cast<std::int64_t>(this->below(2'000)),
                    [this, index, pid = process.pid]()
                    {
                        if (this->processes[index].pid == pid)
                        {
                            kill(pid, SIGCONT);
                        }
                        this->world.harm(index);
                    });
        break;
    default:
        this->tell("reload " + std::to_string(index));
        kill(process.pid, SIGHUP);
        break;
    }
}

void soak::harm_store(std::size_t index)
{
    const std::int64_t span = 500 + static_cast<std::int64_t>(this->below(3'000));
    switch (this->below(4))
    {
    case 0:
        this->tell("store busy");
        this->world.harm_all();
        this->world.store().set_busy(true);
        this->after(span,
                    [this]()
                    {
                        this->world.store().set_busy(false);
                        this->world.harm_all();
                    });
        break;
    case 1:
        this->tell("history forgotten");
        this->world.harm_all();
        this->world.store().forget_history();
        break;
    case 2:
        this->tell("connections reset " + std::to_string(index));
        this->world.harm(index);
        this->processes[index].proxy->reset_all();
        break;
    default:
    {
        const auto mode = static_cast<proxy_mode>(1 + this->below(proxy_mode_names.size() - 1));
        this->tell("proxy " + std::string(proxy_mode_names[static_cast<std::size_t>(mode)]) + " " +
                   std::to_string(index));
        this->world.harm(index);
        this->processes[index].proxy->set_mode(mode);
        this->after(span,
                    [this, index]()
                    {
                        this->processes[index].proxy->set_mode(proxy_mode::pass);
                        this->world.harm(index);
                    });
        break;
    }
    }
}

void soak::harm_backend()
{
    auto& servers = this->world.backends();
    std::vector<std::size_t> living;
    std::map<std::string, int> left;
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        if (servers[i]->descriptor >= 0 && !servers[i]->is_draining && !servers[i]->is_dark)
        {
            living.push_back(i);
            ++left[servers[i]->service];
        }
    }
    if (living.empty())
    {
        return;
    }
    const std::size_t chosen = living[this->below(living.size())];
    soak_backend& server = *servers[chosen];
    if (left[server.service] < 3)
    {
        return;
    }
    const endpoint fresh = this->world.address(2, this->next_backend_address++, 8080);
    const std::string service = server.service;
    const std::string zone = server.zone;
    switch (this->below(3))
    {
    case 0:
        this->tell("drain " + server.name);
        this->world.drain_backend(chosen);
        this->world.add_backend(service, zone, fresh);
        this->after(4'500, [this, chosen]() { this->world.end_backend(chosen); });
        break;
    case 1:
        this->tell("dark " + server.name);
        this->world.darken_backend(chosen, true);
        this->after(500 + static_cast<std::int64_t>(this->below(3'000)),
                    [this, chosen]() { this->world.darken_backend(chosen, false); });
        break;
    default:
        // Its address goes to a backend server of the other service at once.
        this->tell("replaced " + server.name);
        this->world.end_backend(chosen);
        this->world.add_backend(service == "orders" ? "sheets" : "orders", zone, server.address);
        this->world.add_backend(service, zone, fresh);
        break;
    }
}

void soak::change_configuration()
{
    const std::size_t changes = 1 + this->below(4);
    this->tell("configuration x" + std::to_string(changes));
    for (std::size_t i = 0; i < changes; ++i)
    {
        if (this->below(3) == 0)
        {
            this->world.remove_route();
        }
        else
        {
            this->world.add_route();
        }
    }
}

void soak::harm_something()
{
    const std::size_t index = this->below(this->processes.size());
    switch (this->below(6))
    {
    case 0:
    case 1:
        this->harm_process(index);
        break;
    case 2:
    case 3:
        this->harm_store(index);
        break;
    case 4:
        this->harm_backend();
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
    const millis harm_begins = begin + millis{2'000};
    const millis harm_ends = begin + millis{this->options.seconds * 1'000};
    const millis end = harm_ends + settle_span + calm_span;
    millis next_harm = harm_begins;
    bool is_calm = false;
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
        next_tick = this->now + tick_span;
        std::vector<std::function<void()>> due;
        std::erase_if(this->later,
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
        this->watch_processes();
        if (this->now >= next_harm && this->now < harm_ends)
        {
            this->harm_something();
            next_harm = this->now + millis{50 + static_cast<std::int64_t>(this->below(1'200))};
        }
        if (!is_calm && this->now > harm_ends + settle_span)
        {
            is_calm = true;
            this->world.begin_calm();
        }
        const bool asks = this->now > harm_begins && this->now < end - millis{2'000};
        this->world.tick(this->now, asks ? 1 : 0);
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
    soak_report& report = this->world.report();
    if (report.late_answered < report.late_asked)
    {
        report.broken.push_back(std::to_string(report.late_asked - report.late_answered) + " of " +
                                std::to_string(report.late_asked) +
                                " requests after all harm were not answered");
    }
    std::cout << "seed " << this->options.seed << ": asked " << report.asked << ", answered "
              << report.answered << ", runs " << report.runs << ", after all harm "
              << report.late_answered << " of " << report.late_asked << ", broken "
              << report.broken.size() << "\n";
    const std::set<std::string> once(report.broken.begin(), report.broken.end());
    for (const std::string& text : once)
    {
        std::cout << "  broken: " << text << "\n";
    }
    if (report.broken.empty())
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
    cxxopts::Options known("briarbarrow_soak", "Harms real daemons and checks the promises.");
    known.add_options()("daemon", "program to run", cxxopts::value(options.daemon))(
        "seed", "what harm is dealt", cxxopts::value(options.seed))(
        "seconds", "how long harm is done", cxxopts::value(options.seconds))(
        "daemons", "how many", cxxopts::value(options.daemons))("backends", "how many at first",
                                                                cxxopts::value(options.backends))(
        "story", "tell what is done", cxxopts::value(options.tells))("help", "print this text");
    const cxxopts::ParseResult given = known.parse(argc, argv);
    if (given.count("help") > 0 || options.daemon.empty())
    {
        std::cout << known.help();
        return given.count("help") > 0 ? EXIT_SUCCESS : 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    return soak(options).run();
}

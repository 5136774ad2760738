// Plays a case of the review around real daemons. Exits with 1 if the rule was broken, with 0 if it
// held, and with 2 if the case couldn't run.
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "world.hpp"

namespace
{

using namespace review;

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int not_run = 2;

// Starts four daemons, six backend servers and the traffic. Returns false if nothing is served.
bool start(world& scene)
{
    scene.write_configuration(8);
    for (int i = 0; i < 2; ++i)
    {
        for (const char* zone : {"quito-a", "quito-b", "cayambe"})
        {
            scene.add_backend("counter", zone);
        }
    }
    for (daemon_process& process : scene.daemons)
    {
        scene.start_daemon(process);
    }
    scene.run_until(4'000);
    scene.set_traffic(true);
    scene.run_until(8'000);
    std::size_t served = 0;
    for (const auto& sent : scene.attempts)
    {
        served += sent->is_served ? 1 : 0;
    }
    return scene.is_usable() && served * 10 > scene.attempts.size() * 9;
}

// The share of the requests sent in a time that were served.
double served_share(const world& scene, std::int64_t from, std::int64_t to)
{
    std::size_t all = 0;
    std::size_t served = 0;
    for (const auto& sent : scene.attempts)
    {
        const bool is_counted = sent->began >= from && sent->began < to;
        all += is_counted ? 1 : 0;
        served += is_counted && sent->is_served ? 1 : 0;
    }
    return all == 0 ? 0 : static_cast<double>(served) / static_cast<double>(all);
}

int judge_drain(world& scene)
{
    scene.record("openings later than the bound: " + std::to_string(scene.late_openings.size()));
    return scene.late_openings.empty() ? rule_held : rule_broken;
}

// The configuration grows; later all daemons are killed and start again.
int play_recovery(world& scene, bool has_trouble)
{
    if (has_trouble)
    {
        for (const std::size_t routes : {1'408, 2'808, 4'208, 5'608, 6'808})
        {
            scene.write_configuration(routes);
            scene.run_until(scene.time() + 4'000);
        }
    }
    scene.run_until(30'000);
    const std::int64_t fault = scene.time();
    for (daemon_process& process : scene.daemons)
    {
        scene.kill_daemon(process);
    }
    scene.run_until(fault + 1'000);
    for (daemon_process& process : scene.daemons)
    {
        scene.start_daemon(process);
    }
    const std::int64_t back = scene.time();
    scene.run_until(back + max_recovery_ms + 22'000);
    scene.set_traffic(false);
    scene.run_until(scene.time() + 3'000);
    const double before = served_share(scene, fault - 5'000, fault - 1'000);
    const double after =
        served_share(scene, back + max_recovery_ms, back + max_recovery_ms + 22'000);
    scene.record("served before the final fault: " + std::to_string(before) +
                 ", later than RecoveryS after it: " + std::to_string(after));
    if (before < 0.25)
    {
        return not_run;
    }
    return after < 0.25 ? rule_broken : rule_held;
}

// Another writer leaves entries that can't be read; then a backend server drains.
int play_foreign_entries(world& scene, bool has_trouble)
{
    if (has_trouble)
    {
        std::map<std::string, std::string> entries;
        for (const char* name : {"a", "b", "c", "d"})
        {
            entries["servers/dump-" + std::string(name)] = std::string(max_value_bytes, '\x9f');
        }
        scene.metadata.change(entries, {});
        scene.record("another writer writes 4 entries of " + std::to_string(max_value_bytes) +
                     " bytes that can't be read; acknowledged");
    }
    scene.run_until(9'000);
    scene.drain(*scene.backends.front());
    scene.run_until(17'000);
    scene.set_traffic(false);
    scene.run_until(scene.time() + 3'000);
    return judge_drain(scene);
}

// A backend server that has just been added crashes and starts again under its id. Meanwhile the
// time of day on its machine has jumped back.
int play_earlier_start(world& scene, bool has_trouble)
{
    backend_server& server = scene.add_backend("counter", "quito-a");
    const std::int64_t first_start = scene.time();
    scene.run_until(first_start + 500);
    scene.end_process(server);
    scene.run_until(first_start + 1'200);
    if (!scene.start_process(server))
    {
        return not_run;
    }
    constexpr std::int64_t jump_ms = 2'400;
    server.born += scene.time() - first_start - (has_trouble ? jump_ms : 0);
    if (has_trouble)
    {
        scene.record("the time of day at server " + server.name + " has jumped back by " +
                     std::to_string(jump_ms) + " ms");
    }
    scene.write_entry(server);
    scene.run_until(scene.time() + 6'000);
    scene.drain(server);
    scene.run_until(scene.time() + 8'000);
    scene.set_traffic(false);
    scene.run_until(scene.time() + 3'000);
    return judge_drain(scene);
}

} // namespace

int main(int argc, char** argv)
{
    const std::map<std::string, int (*)(world&, bool)> cases{
        {"recovery", play_recovery},
        {"foreign-entries", play_foreign_entries},
        {"earlier-start", play_earlier_start}};
    const std::string name = argc > 1 ? argv[1] : "";
    const auto found = cases.find(name);
    if (argc < 3 || found == cases.end())
    {
        std::cerr << "usage: review_cases CASE RECORD\n";
        return not_run;
    }
    const char* trouble = std::getenv("TROUBLE");
    const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
    world_options options;
    options.record_path = argv[2];
    if (name == "recovery")
    {
        // 10 Mbit/s.
        options.link_bytes_per_s = 1'250'000;
        options.requests_per_s = 20;
    }
    world scene(options);
    if (!scene.is_usable() || !start(scene))
    {
        scene.record("the case couldn't run");
        return not_run;
    }
    const int outcome = found->second(scene, has_trouble);
    scene.record("exit status " + std::to_string(outcome));
    std::cout << name << ": " << (outcome == rule_broken ? "broken" : "held or not run") << "\n";
    return outcome;
}

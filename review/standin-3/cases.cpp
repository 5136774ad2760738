// Plays a case of the review around real daemons. Exits with 1 if the rule was
// broken, with 0 if it held, and with 2 if the case couldn't run.
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

// Starts four daemons, six backend servers and the traffic. Returns false if
// nothing is served.
bool start(world& scene)
{
    scene.write_configuration(8);
    for (int i = 0; i < 2; ++i)
    {
        for (const char* zone : {"quito-a", "quito-b", "cayambe"})
        {
            scene.add_backend("counter", zone);
            scene.add_backend("counter-next", zone);
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

// The store's history is dropped while the configuration is large; later a
// version drops a route.
int play_lost_history(world& scene, bool has_trouble)
{
    std::size_t grown = 0;
    for (const std::size_t routes : {1'408, 2'808, 4'208, 5'608, 6'808})
    {
        grown = routes;
        scene.write_configuration(routes);
        scene.run_until(scene.time() + 4'000);
    }
    scene.run_until(30'000);
    scene.metadata.set_quiet(has_trouble);
    scene.record(has_trouble ? "watches hear nothing for a second" : "no disruption");
    scene.run_until(30'500);
    scene.add_backend("counter", "quito-b");
    scene.run_until(31'000);
    if (has_trouble)
    {
        scene.metadata.drop_history();
        scene.metadata.set_quiet(false);
        scene.record("the store drops its history, and watches are cut");
    }
    // The store is stable again.
    scene.run_until(37'000);
    scene.drop_previews(grown);
    scene.run_until(57'000);
    scene.set_traffic(false);
    scene.run_until(scene.time() + 3'000);
    scene.record("requests run on the dropped route: " + std::to_string(scene.outdated_runs()));
    return scene.outdated_runs() > 0 ? rule_broken : rule_held;
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

// Open flows for many requests go on while the operator ends a canary and
// daemons are restarted.
int play_split(world& scene, bool has_trouble)
{
    constexpr int feeds = 240;
    for (int i = 0; i < feeds; ++i)
    {
        // Kept open for some 44 s.
        scene.begin_feed(12);
        scene.run_until(scene.time() + 20);
    }
    scene.run_until(14'000);
    scene.write_configuration(8, has_trouble ? 0 : 10);
    scene.run_until(18'000);
    for (daemon_process& process : scene.daemons)
    {
        scene.restart_daemon(process);
        scene.run_until(scene.time() + 3'000);
    }
    scene.run_until(55'000);
    scene.set_traffic(false);
    scene.run_until(scene.time() + 3'000);
    std::size_t broken = 0;
    for (const auto& sent : scene.attempts)
    {
        broken += sent->is_broken ? 1 : 0;
    }
    scene.record("open flows that the system reset: " + std::to_string(broken));
    return broken > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    const std::map<std::string, int (*)(world&, bool)> cases{
        {"recovery", play_recovery}, {"lost-history", play_lost_history}, {"split", play_split}};
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
    if (name != "split")
    {
        // 10 Mbit/s.
        options.link_bytes_per_s = 1'250'000;
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

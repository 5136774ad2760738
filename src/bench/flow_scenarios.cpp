#include "bench/flow_scenarios.hpp"

#include <array>

namespace briarbarrow
{

namespace
{

// The users' bound on control. Unit: bytes per second.
constexpr double most_control_bytes = 3'000;
// The stated bound on a pause after one crash.
constexpr millis most_crash_pause{1'000};
constexpr millis until_live{4'000};
constexpr millis opening_span{12'000};
constexpr millis finish_span{120'000};
constexpr millis uneven_span{4'000};

// Short requests, long downloads and strict datagrams, begun over the opening span.
void open_mixed_flows(virtual_net& net, std::size_t flows)
{
    net.open_flows(0, flows / 2, opening_span, 4, millis{1'500});
    net.open_flows(0, flows / 10, opening_span, 3, millis{9'000});
    net.open_flows(1, flows / 5, opening_span, 20, millis{800});
    net.open_flows(2, flows / 5, opening_span, 3, millis{2'000});
}

configuration with_next_revision(const virtual_net& net)
{
    configuration next = net.latest_configuration();
    ++next.revision;
    next.change_id = "change " + std::to_string(next.revision);
    return next;
}

std::size_t pick(virtual_net& net, std::size_t count)
{
    std::uniform_int_distribution<std::size_t> any(0, count - 1);
    return any(net.random());
}

void drain_one(virtual_net& net, millis spread)
{
    configuration next = with_next_revision(net);
    service_config& service = next.services[0];
    service.backends[pick(net, service.backends.size() - 1)].state = backend_state::draining;
    net.configure(next, spread);
}

void remove_one(virtual_net& net, millis spread)
{
    configuration next = with_next_revision(net);
    auto& backends = next.services[0].backends;
    if (backends.size() > 2)
    {
        backends.erase(backends.begin() + static_cast<int>(pick(net, backends.size() - 1)));
    }
    net.configure(next, spread);
}

void run_steady(virtual_net& net, std::size_t flows)
{
    open_mixed_flows(net, flows);
    net.run(opening_span);
}

void run_host_leaves(virtual_net& net, std::size_t flows)
{
    open_mixed_flows(net, flows);
    net.run(millis{5'000});
    net.stop_host(pick(net, net.host_count()));
    net.run(opening_span);
}

void run_host_joins(virtual_net& net, std::size_t flows)
{
    open_mixed_flows(net, flows);
    net.run(millis{5'000});
    net.start_host(net.host_count());
    net.run(opening_span);
}

void wait_until_stopped(virtual_net& net, std::size_t host)
{
    constexpr int most_seconds = 60;
    for (int i = 0; i < most_seconds && net.host(host).alive; ++i)
    {
        net.run(millis{1'000});
    }
}

void run_rolling_restart(virtual_net& net, std::size_t flows)
{
    open_mixed_flows(net, flows);
    // Flows that are still open when the last host has been replaced.
    net.open_flows(1, flows / 10, millis{2'000}, 40, millis{3'000});
    net.run(millis{3'000});
    const std::size_t hosts = net.host_count();
    for (std::size_t i = 0; i < hosts; ++i)
    {
        net.stop_host(i);
        wait_until_stopped(net, i);
        net.start_host(i);
        net.run(millis{3'000});
    }
}

void run_host_crash(virtual_net& net, std::size_t flows)
{
    open_mixed_flows(net, flows);
    net.run(millis{5'000});
    net.crash_host(pick(net, net.host_count()));
    net.run(opening_span);
}

void run_two_crash(virtual_net& net, std::size_t flows)
{
    open_mixed_flows(net, flows);
    net.run(millis{5'000});
    const std::size_t first = pick(net, net.host_count());
    net.crash_host(first);
    net.crash_host((first + 1) % net.host_count());
    net.run(opening_span);
}

void run_crash_while_joining(virtual_net& net, std::size_t flows)
{
    open_mixed_flows(net, flows);
    net.run(millis{4'000});
    const std::size_t joining = net.host_count();
    net.start_host(joining);
    net.run(millis{static_cast<std::int64_t>(pick(net, 3'000))});
    net.crash_host(pick(net, joining));
    net.run(opening_span);
}

void run_paused_host_wakes(virtual_net& net, std::size_t flows)
{
    open_mixed_flows(net, flows);
    net.run(millis{5'000});
    const std::size_t paused = pick(net, net.host_count());
    net.pause_host(paused);
    net.run(millis{500 + static_cast<std::int64_t>(pick(net, 4'000))});
    net.resume_host(paused);
    net.run(opening_span);
}

void run_zone_cut(virtual_net& net, std::size_t flows)
{
    open_mixed_flows(net, flows);
    net.run(millis{5'000});
    net.partition_zone(pick(net, 3), true, true);
    net.run(opening_span);
}

void run_zone_cut_and_heal(virtual_net& net, std::size_t flows)
{
    open_mixed_flows(net, flows);
    for (int i = 0; i < 2; ++i)
    {
        net.run(millis{3'000});
        const std::size_t way = pick(net, 3);
        net.partition_zone(pick(net, 3), way != 0, way != 1);
        net.run(millis{500 + static_cast<std::int64_t>(pick(net, 7'000))});
        net.heal();
    }
    net.run(opening_span);
}

// Only one host gets the change; the others have it from their peers. Meanwhile a host dies.
void run_platform_down(virtual_net& net, std::size_t flows)
{
    open_mixed_flows(net, flows);
    net.run(millis{3'000});
    net.configure_host(with_next_revision(net), pick(net, net.host_count()));
    net.run(millis{2'000});
    net.crash_host(pick(net, net.host_count()));
    net.run(opening_span);
}

void run_uneven_config(virtual_net& net, std::size_t flows)
{
    open_mixed_flows(net, flows);
    for (int i = 0; i < 3; ++i)
    {
        net.run(millis{2'000});
        if (i % 2 == 0)
        {
            drain_one(net, uneven_span);
        }
        else
        {
            remove_one(net, uneven_span);
        }
    }
    net.run(opening_span);
}

void run_backend_drain(virtual_net& net, std::size_t flows)
{
    open_mixed_flows(net, flows);
    net.run(millis{4'000});
    drain_one(net, millis{500});
    net.run(opening_span);
}

void run_tuple_reuse(virtual_net& net, std::size_t flows)
{
    open_mixed_flows(net, flows);
    constexpr int reuses = 60;
    for (int i = 0; i < reuses; ++i)
    {
        net.run(millis{300});
        net.reuse_tuple();
        if (i == reuses / 2)
        {
            drain_one(net, millis{1'000});
        }
    }
}

void storm_step(virtual_net& net, std::vector<bool>& up, bool& cut)
{
    const std::size_t host = pick(net, net.host_count());
    switch (pick(net, 9))
    {
    case 0:
        if (up[host])
        {
            net.crash_host(host);
            up[host] = false;
        }
        break;
    case 1:
        if (up[host])
        {
            net.stop_host(host);
            up[host] = false;
        }
        break;
    case 2:
    case 3:
        if (!up[host] && !net.host(host).alive)
        {
            net.start_host(host);
            up[host] = true;
        }
        break;
    case 4:
        drain_one(net, uneven_span);
        break;
    case 5:
        remove_one(net, uneven_span);
        break;
    case 6:
        net.partition_zone(pick(net, 3), pick(net, 3) != 0, true);
        cut = true;
        break;
    case 7:
        net.heal();
        cut = false;
        break;
    default:
        net.pause_host(host);
        net.run(millis{static_cast<std::int64_t>(pick(net, 3'000))});
        net.resume_host(host);
        break;
    }
}

void run_storm(virtual_net& net, std::size_t flows)
{
    open_mixed_flows(net, flows);
    std::vector<bool> up(net.host_count(), true);
    bool cut = false;
    constexpr int steps = 14;
    for (int i = 0; i < steps; ++i)
    {
        net.run(millis{static_cast<std::int64_t>(pick(net, 2'500))});
        storm_step(net, up, cut);
        net.reuse_tuple();
    }
    net.heal();
}

constexpr std::array<flow_scenario, 15> scenarios{{
    {"steady", {}, run_steady},
    {"host-leaves", {}, run_host_leaves},
    {"host-joins", {}, run_host_joins},
    {"rolling-restart", {}, run_rolling_restart},
    {"host-crash", {.broken = false, .split = false, .max_wait = most_crash_pause}, run_host_crash},
    {"two-crash", {.broken = true, .split = false, .max_wait = {}}, run_two_crash},
    {"crash-while-joining", {}, run_crash_while_joining},
    {"paused-host-wakes", {}, run_paused_host_wakes},
    {"zone-cut", {.broken = true, .split = true, .max_wait = {}}, run_zone_cut},
    {"zone-cut-and-heal", {.broken = true, .split = true, .max_wait = {}}, run_zone_cut_and_heal},
    {"platform-down",
     {.broken = false, .split = false, .max_wait = most_crash_pause},
     run_platform_down},
    {"uneven-config", {}, run_uneven_config},
    {"backend-drain", {}, run_backend_drain},
    {"tuple-reuse", {}, run_tuple_reuse},
    {"storm", {.broken = true, .split = true, .max_wait = {}}, run_storm},
}};

} // namespace

std::span<const flow_scenario> flow_scenarios()
{
    return scenarios;
}

net_tally run_flow_scenario(const flow_scenario& scenario, virtual_net& net, std::size_t flows)
{
    net.run(until_live);
    scenario.run(net, flows);
    net.finish(finish_span);
    return net.tally();
}

std::vector<std::string> broken_promises(const flow_scenario& scenario, const net_tally& tally)
{
    std::vector<std::string> broken;
    const auto expect_none = [&broken](std::uint64_t count, std::string_view what)
    {
        if (count != 0)
        {
            broken.push_back(std::to_string(count) + " " + std::string(what));
        }
    };
    if (tally.control_peak > most_control_bytes)
    {
        broken.push_back("control of " + std::to_string(tally.control_peak) + " bytes a second");
    }
    if (scenario.allowed.max_wait != millis{} && tally.longest_wait > scenario.allowed.max_wait)
    {
        broken.push_back("a pause of " + std::to_string(tally.longest_wait.count) + " ms");
    }
    expect_none(tally.misrouted, "misrouted");
    expect_none(tally.doubled, "doubled");
    expect_none(tally.false_refusals, "false refusals");
    expect_none(tally.revision_fell, "falls of the revision");
    expect_none(scenario.allowed.broken ? 0 : tally.broken, "broken");
    expect_none(scenario.allowed.broken ? 0 : tally.refused, "refused");
    expect_none(scenario.allowed.split ? 0 : tally.split_openings, "openings at two places");
    expect_none(scenario.allowed.split ? 0 : tally.late_to_draining, "late to a draining server");
    return broken;
}

} // namespace briarbarrow

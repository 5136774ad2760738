// A caller uses its ports in turn, each again after 50 s. A daemon is restarted as planned, and
// again 50 s later. During the first restart its flows go through the other daemon of the zone,
// which sees neither their begin nor their end; during the second one the same happens to flows
// with the same addresses.
#include "../standin-2/stand_in.hpp"

using namespace review;

namespace
{

constexpr milliseconds flows_begin = 5'000;
constexpr milliseconds flow_gap = 5;
// Ports in turn: each is used again after 50 s.
constexpr std::uint16_t first_port = 40'000;
constexpr int ports = 10'000;
const std::vector<milliseconds> request_times = {0, 1'500, 3'000};
constexpr milliseconds first_restart_at = 12'000;
constexpr milliseconds second_restart_at = first_restart_at + ports * flow_gap;
constexpr milliseconds flows_end = second_restart_at + 4'000;
constexpr milliseconds end_at = flows_end + 5'000;

} // namespace

int main(int argc, char** argv)
{
    const case_arguments arguments = read_arguments(argc, argv);
    world w(arguments.root, arguments.folder, arguments.record, arguments.seed);
    if (!w.daemons.can_run() || !w.clients.can_run())
    {
        w.record.line("can't run: no daemon's program or no free address");
        return exit_not_run;
    }
    const std::vector<std::string> seeds = {w.seed_of(1), w.seed_of(3), w.seed_of(4)};
    w.add_daemon(1, "front-z1-1", "z1", seeds);
    daemon_host& restarted = w.add_daemon(2, "front-z2-1", "z2", seeds);
    w.add_daemon(3, "front-z2-2", "z2", seeds);
    w.add_daemon(4, "front-z3-1", "z3", seeds);
    const std::uint32_t route_ip = w.ip(5, 1);
    w.entries.put("op/config", make_configuration(route_ip, "shop", 60'000));
    for (int i = 0; i < 14; ++i)
    {
        server& s = w.add_server(i + 1, "shop", "z" + std::to_string(1 + i % 3));
        w.is_usable = s.start(wall_ms()) && w.is_usable;
        s.report("ready");
    }
    int broken = 0;
    std::uint64_t reused = 0;
    std::uint64_t resets = 0;
    w.clients.on_reset = [&](caller_flow& f, std::uint32_t sender_ip)
    {
        const server* at = w.open_at(f.id);
        const server* from = w.find_server(sender_ip);
        ++resets;
        w.record.line("caller: flow %u gets a reset from %s; the flow is open at %s", f.id.sport,
                      from != nullptr ? from->name.c_str() : "a daemon",
                      at == nullptr ? "no server" : at->name.c_str());
        if (at != nullptr && at != from)
        {
            ++broken;
            w.record.line(
                "FLOW: server %s lives, was not disturbed and did not send this reset; the flow "
                "has had %zu SYN+ACK",
                at->name.c_str(), f.answers.size());
        }
    };
    for (const auto& host : w.daemons.hosts)
    {
        w.daemons.start(*host);
    }
    if (!w.is_usable || !w.wait_until_ready(4'500))
    {
        w.record.line("can't run: addresses in use or daemons not ready");
        return exit_not_run;
    }
    milliseconds next_flow = flows_begin;
    int next_port = 0;
    const milliseconds restart_times[] = {first_restart_at, second_restart_at};
    std::size_t restarts = arguments.has_trouble ? 0 : 2;
    w.run_until(
        end_at,
        [&]()
        {
            const milliseconds now = now_ms();
            if (now >= next_flow && now < flows_end)
            {
                next_flow += flow_gap;
                const auto port = static_cast<std::uint16_t>(first_port + next_port);
                next_port = (next_port + 1) % ports;
                const auto earlier = w.clients.flows.find({w.ip(3, 1), port, route_ip, 8443});
                if (earlier != w.clients.flows.end())
                {
                    if (!earlier->second->is_finished)
                    {
                        return;
                    }
                    ++reused;
                }
                w.clients.open("z2", "short", route_ip, 8443, request_times, port);
            }
            if (restarts < 2 && now >= restart_times[restarts])
            {
                ++restarts;
                w.daemons.restart(restarted);
            }
        });
    w.record.line(
        "answered requests %llu, flows with reused addresses %llu, resets %llu, FLOW broken %d",
        static_cast<unsigned long long>(w.clients.answered),
        static_cast<unsigned long long>(reused), static_cast<unsigned long long>(resets), broken);
    if (reused == 0)
    {
        return exit_not_run;
    }
    return broken > 0 ? exit_broken : exit_held;
}

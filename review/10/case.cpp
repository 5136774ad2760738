// A caller uses its ports in turn, each again after 50 s. Some of its flows had two answers. When a
// daemon is restarted as planned, its flows move to the other daemon of the zone, which still takes a
// flow's earlier namesake for it.
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
constexpr milliseconds full_at = 12'000;
constexpr milliseconds full_for = 400;
// The ports of the flows that began at full_at are in use again since 1 s.
constexpr milliseconds restart_at = full_at + ports * flow_gap + 1'000;
constexpr milliseconds flows_end = restart_at + 4'000;
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
    w.entries.put("op/config", make_configuration(route_ip, "shop"));
    for (int i = 0; i < 14; ++i)
    {
        server& s = w.add_server(i + 1, "shop", "z" + std::to_string(1 + i % 3));
        w.is_usable = s.start(wall_ms()) && w.is_usable;
        s.report("ready");
    }
    int broken = 0;
    std::uint64_t two_answers = 0;
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
            w.record.line("FLOW: server %s lives, was not disturbed and did not send this reset; the flow "
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
    bool is_full = false;
    bool is_restarted = !arguments.has_trouble;
    w.run_until(end_at,
                [&]()
                {
                    const milliseconds now = now_ms();
                    if (now >= next_flow && now < flows_end)
                    {
                        next_flow += flow_gap;
                        const auto port = static_cast<std::uint16_t>(first_port + next_port);
                        next_port = (next_port + 1) % ports;
                        const auto earlier =
                            w.clients.flows.find({w.ip(3, 1), port, route_ip, 8443});
                        if (earlier != w.clients.flows.end())
                        {
                            if (!earlier->second->is_finished)
                            {
                                return;
                            }
                            two_answers += earlier->second->answers.size() > 1 ? 1 : 0;
                        }
                        w.clients.open("z2", "short", route_ip, 8443, request_times, port);
                    }
                    const bool wants_full = now >= full_at && now < full_at + full_for;
                    if (wants_full != is_full)
                    {
                        is_full = wants_full;
                        w.record.line("network: the links of the servers of z2 are %s",
                                      is_full ? "full" : "free");
                        for (const auto& s : w.servers)
                        {
                            s->is_link_full = is_full && s->zone == "z2";
                        }
                    }
                    if (!is_restarted && now >= restart_at)
                    {
                        is_restarted = true;
                        w.daemons.restart(restarted);
                    }
                });
    w.record.line("answered requests %llu, flows answered by two servers %llu, resets %llu, FLOW broken %d",
                  static_cast<unsigned long long>(w.clients.answered),
                  static_cast<unsigned long long>(two_answers),
                  static_cast<unsigned long long>(resets), broken);
    if (two_answers == 0)
    {
        return exit_not_run;
    }
    return broken > 0 ? exit_broken : exit_held;
}

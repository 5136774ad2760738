// A small deployment in which some flows get two SYN+ACKs: the links of a zone's servers are full
// for a moment, so that a copy of a SYN goes to a second server, which opens the flow. The first
// server repeats its SYN+ACK for 9.4 s, as the pages have it, and each time the caller's newest
// `echo` is that of the first server again. A disruption follows when all are in touch again.
#ifndef BRIARBARROW_REVIEW_TWO_ANSWERS_HPP
#define BRIARBARROW_REVIEW_TWO_ANSWERS_HPP

#include "stand_in.hpp"

namespace review
{

struct two_answers_plan
{
    // Of the long flows, which begin in zone z2.
    std::vector<milliseconds> request_times;
    milliseconds end_at = 0;
    // Called in each step, with the daemons' hosts.
    std::function<void(world&)> disrupt;
    // A reset counts only from this time on: all machines are in touch.
    milliseconds in_touch_at = 0;
};

constexpr milliseconds flows_begin = 5'000;
// The links of the zone's servers are full for a moment.
constexpr milliseconds full_at = 12'000;
constexpr milliseconds full_for = 400;
// Long flows begin at this gap, and more often around full_at.
constexpr milliseconds long_flow_gap = 100;
constexpr milliseconds busy_long_flow_gap = 2;
constexpr milliseconds busy_duration = 500;
constexpr milliseconds short_flow_gap = 20;

// Runs the plan. Returns the exit status of the case.
inline int run_two_answers(world& w, const two_answers_plan& plan)
{
    if (!w.daemons.can_run() || !w.clients.can_run())
    {
        w.record.line("can't run: no daemon's program or no free address");
        return exit_not_run;
    }
    const std::uint32_t route_ip = w.ip(5, 1);
    w.entries.put("op/config", make_configuration(route_ip, "shop"));
    // 5, 5 and 4 servers in the zones, as on quito-central.
    for (int i = 0; i < 14; ++i)
    {
        server& s = w.add_server(i + 1, "shop", "z" + std::to_string(1 + i % 3));
        w.is_usable = s.start(wall_ms()) && w.is_usable;
        s.report("ready");
    }
    int broken = 0;
    w.clients.on_reset = [&w, &plan, &broken](caller_flow& f, std::uint32_t sender_ip)
    {
        const server* at = w.open_at(f.id);
        const server* from = w.find_server(sender_ip);
        const daemon_host* from_daemon = w.daemons.find(sender_ip);
        const std::string sender = from != nullptr          ? "server " + from->name
                                   : from_daemon != nullptr ? "daemon " + from_daemon->name
                                                            : "unknown";
        w.record.line("caller: flow %u (%s) gets a reset from %s; the flow is open at %s",
                      f.id.sport, f.label.c_str(), sender.c_str(),
                      at == nullptr ? "no server" : at->name.c_str());
        if (at != nullptr && at != from && now_ms() >= plan.in_touch_at)
        {
            ++broken;
            w.record.line("FLOW: server %s lives, was not disturbed and did not send this reset",
                          at->name.c_str());
        }
    };
    for (const auto& host : w.daemons.hosts)
    {
        if (host->starts_first)
        {
            w.daemons.start(*host);
        }
    }
    if (!w.is_usable || !w.wait_until_ready(4'500))
    {
        w.record.line("can't run: addresses in use or daemons not ready");
        return exit_not_run;
    }
    const milliseconds longest = plan.request_times.back() + 3'000;
    const milliseconds flows_end = plan.end_at - longest;
    milliseconds next_flow = flows_begin;
    milliseconds next_short = flows_begin;
    bool is_full = false;
    const auto each = [&]()
    {
        const milliseconds now = now_ms();
        if (now >= next_short && now < plan.end_at - 3'000)
        {
            next_short = now + short_flow_gap;
            w.clients.open(w.random() % 2 == 0 ? "z1" : "z3", "short", route_ip, 8443, {0});
        }
        if (now >= next_flow && now < flows_end)
        {
            const bool is_busy = now >= full_at - busy_duration && now < full_at + busy_duration;
            next_flow = now + (is_busy ? busy_long_flow_gap : long_flow_gap);
            w.clients.open("z2", "long", route_ip, 8443, plan.request_times);
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
        plan.disrupt(w);
    };
    w.run_until(plan.end_at, each);
    std::uint64_t two_answers = 0;
    std::map<std::string, std::uint64_t> ends;
    for (const auto& [id, f] : w.clients.flows)
    {
        ++ends[f->label + " " + (f->end.empty() ? "unfinished" : f->end)];
        if (f->answers.size() > 1)
        {
            ++two_answers;
            w.record.line("flow %u (%s): %zu SYN+ACKs, begun at %.3f, ends: %s", id.sport,
                          f->label.c_str(), f->answers.size(), static_cast<double>(f->begun) / 1000,
                          f->end.empty() ? "unfinished" : f->end.c_str());
        }
    }
    for (const auto& [end, count] : ends)
    {
        w.record.line("flows, %s: %llu", end.c_str(), static_cast<unsigned long long>(count));
    }
    w.record.line("answered requests %llu, flows answered by two servers %llu, FLOW broken %d",
                  static_cast<unsigned long long>(w.clients.answered),
                  static_cast<unsigned long long>(two_answers), broken);
    if (two_answers == 0 || w.clients.answered == 0)
    {
        return exit_not_run;
    }
    return broken > 0 ? exit_broken : exit_held;
}

// Request times `gap` apart.
inline std::vector<milliseconds> every(milliseconds gap, int count)
{
    std::vector<milliseconds> times;
    for (int i = 0; i < count; ++i)
    {
        times.push_back(i * gap);
    }
    return times;
}

} // namespace review

#endif

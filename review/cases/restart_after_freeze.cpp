// All daemons are restarted one after the other, as planned work, while callers keep flows open.
// Some seconds before, one of them stood still for a second.
#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "../standins/fleet.hpp"

namespace
{

using namespace review;

constexpr int daemon_count = 2;
constexpr int server_count = 8;
constexpr int flow_count = 400;
constexpr std::int64_t start_ms = 4'000;
constexpr std::int64_t opening_interval_ms = 20;
// The pause between the requests of a flow; less than IdleTimeoutMs.
constexpr std::int64_t pause_ms = 13'000;
constexpr std::int64_t first_stop_ms = start_ms + flow_count * opening_interval_ms + 500;
constexpr std::int64_t stop_interval_ms = 3'500;
constexpr std::int64_t restart_delay_ms = 2'200;
constexpr std::int64_t end_ms = start_ms + flow_count * opening_interval_ms + pause_ms + 5'000;
// The machine of the first daemon is frozen for so long while flows open.
constexpr std::int64_t freeze_ms = 1'000;
constexpr std::int64_t freeze_start_ms = first_stop_ms - stable_window_ms - 2'000;

// What the judge knows of a flow: where it opened, and the packets that reached other servers since
// one reached its own.
struct flow_view
{
    std::string server;
    std::vector<std::int64_t> strayed;
    bool is_broken = false;
};

} // namespace

int main(int argc, char** argv)
{
    const std::string folder = argc > 2 ? argv[2] : "/tmp";
    case_record record(argc > 1 ? argv[1] : "record.txt");
    event_loop loop;
    const address_plan plan = find_free_addresses();
    kv_store store(loop, record, plan.at(4, 1, 3));
    const address route = plan.at(9, 1, 0);
    store.put("op/config", config_text(1, {{"feed", route, "feed", "unsafe"}}, {"feed"}));

    std::map<std::uint16_t, flow_view> views;
    int broken = 0;
    const auto break_flow = [&](std::uint16_t port, const std::string& how)
    {
        if (!views[port].is_broken)
        {
            views[port].is_broken = true;
            ++broken;
            record.result("FLOW broken: port " + std::to_string(port) + " open at " +
                          views[port].server + ": " + how);
        }
    };
    std::vector<std::unique_ptr<backend_server>> servers;
    for (int i = 0; i < server_count; ++i)
    {
        servers.push_back(std::make_unique<backend_server>(
            loop, record, store, "i-" + std::to_string(7'000'001 + i * 1'234'567), "feed", "zone-a",
            plan.at(2, static_cast<std::uint32_t>(i + 1), 0)));
        backend_server& server = *servers.back();
        server.repeats_syn_ack = true;
        server.start_reporting();
        server.on_open = [&](backend_server& at, const packet_head& head)
        {
            views[head.sport].server = at.name;
            record.line("flow of port " + std::to_string(head.sport) + " is open at " + at.name);
        };
        server.on_packet = [&](backend_server& at, const packet_head& head)
        {
            flow_view& view = views[head.sport];
            if (view.server.empty() || (head.flags & flag_syn) != 0)
            {
                return;
            }
            if (at.name == view.server)
            {
                view.strayed.clear();
                return;
            }
            record.line("packet of port " + std::to_string(head.sport) + " reaches " + at.name +
                        ", its flow is open at " + view.server);
            view.strayed.push_back(now_ms());
            if (view.strayed.size() >= 3 && now_ms() - view.strayed.front() >= reorder_ms)
            {
                break_flow(head.sport, "its packets reach other servers");
            }
        };
    }
    daemon_fleet daemons(loop, record, plan, folder);
    for (int i = 0; i < daemon_count; ++i)
    {
        daemons.add("zone-a");
    }
    daemons.start_all();
    caller_group callers(loop, record, daemons, plan.at(3, 1, 0));

    std::map<attempt_end, int> first_ends;
    std::map<attempt_end, int> second_ends;
    const auto on_end = [&](caller_flow& flow, attempt_end end)
    {
        ++(flow.requests == 1 ? first_ends : second_ends)[end];
        if (end == attempt_end::reset && !views[flow.port].server.empty())
        {
            std::string own;
            for (const auto& server : servers)
            {
                own = server->name == views[flow.port].server
                          ? "server at " + to_text(server->local)
                          : own;
            }
            if (flow.reset_by != own)
            {
                break_flow(flow.port, "reset by " + flow.reset_by);
            }
        }
        if (end != attempt_end::answered)
        {
            return;
        }
        if (flow.requests == 1)
        {
            caller_flow* next = &flow;
            loop.after(pause_ms,
                       [&callers, next]()
                       {
                           if (!next->has_ended)
                           {
                               callers.request(*next);
                           }
                       });
            return;
        }
        callers.close(flow);
    };
    bool was_ready = false;
    for (int i = 0; i < flow_count; ++i)
    {
        loop.after(start_ms + i * opening_interval_ms,
                   [&]()
                   {
                       was_ready = was_ready || daemons.all_ready();
                       callers.open(route, -1, on_end);
                   });
    }
    for (std::size_t i = 0; i < daemon_count; ++i)
    {
        const std::int64_t at = first_stop_ms + static_cast<std::int64_t>(i) * stop_interval_ms;
        loop.after(at, [&, i]() { daemons.stop(i); });
        loop.after(at + restart_delay_ms, [&, i]() { daemons.start(i); });
    }
    const auto signal_first = [&](int number, const std::string& name)
    {
        record.line(name + " to " + daemons.at(0).name);
        kill(daemons.at(0).pid, number);
    };
    if (has_trouble())
    {
        loop.after(freeze_start_ms, [&]() { signal_first(SIGSTOP, "SIGSTOP"); });
        loop.after(freeze_start_ms + freeze_ms, [&]() { signal_first(SIGCONT, "SIGCONT"); });
    }
    loop.run_until(end_ms);

    for (const auto& [end, count] : first_ends)
    {
        record.result(std::string("first requests ") + text_of(end) + ": " + std::to_string(count));
    }
    for (const auto& [end, count] : second_ends)
    {
        record.result(std::string("second requests ") + text_of(end) + ": " +
                      std::to_string(count));
    }
    record.result("flows broken: " + std::to_string(broken));
    if (!was_ready || second_ends[attempt_end::answered] < flow_count / 2)
    {
        record.result("the case could not run");
        return 2;
    }
    return broken > 0 ? 1 : 0;
}

// The daemons' connections to the store go silent while the operator changes a large configuration
// a few times in a row. Some seconds later a server drains and leaves.
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "../standins/fleet.hpp"

namespace
{

using namespace review;

constexpr int daemon_count = 3;
constexpr int server_count = 6;
// Routes that see no traffic. With them the configuration stays below ValueBytes.
constexpr int idle_routes = 6'000;
constexpr std::size_t max_value_bytes = 1'048'576;
constexpr std::int64_t daemons_start_ms = 1'000;
constexpr std::int64_t first_change_ms = 8'000;
constexpr std::int64_t change_interval_ms = 330;
constexpr int change_count = 12;
constexpr std::int64_t silence_ms = first_change_ms + 1'000;
constexpr std::int64_t last_change_ms = first_change_ms + (change_count - 1) * change_interval_ms;
// The store and all daemons have been without a disruption for the stable window, and the last
// version has been acknowledged for longer than it may take.
constexpr std::int64_t judged_ms = last_change_ms + config_apply_ms + 500;
constexpr std::int64_t drain_start_ms = silence_ms + stable_window_ms + 1'000;
constexpr std::int64_t leave_after_ms = drain_ms + 5'000;
constexpr std::int64_t end_ms = judged_ms + 25'000;
constexpr std::int64_t flow_interval_ms = 40;
constexpr std::int64_t probe_interval_ms = 500;

} // namespace

int main(int argc, char** argv)
{
    const std::string folder = argc > 2 ? argv[2] : "/tmp";
    case_record record(argc > 1 ? argv[1] : "record.txt");
    event_loop loop;
    const address_plan plan = find_free_addresses();
    kv_store store(loop, record, plan.at(4, 1, 3));
    const address kept = plan.at(9, 1, 0);
    const address removed = plan.at(9, 2, 0);
    const address added = plan.at(9, 3, 0);
    const auto make_config = [&](int version)
    {
        std::vector<config_route> routes{{"kept", kept, "desk"}};
        const bool is_last = version == 1 + change_count;
        routes.push_back({is_last ? "added" : "removed", is_last ? added : removed, "desk"});
        for (int i = 0; i < idle_routes; ++i)
        {
            const address at = plan.at(10 + static_cast<std::uint32_t>(i / 200),
                                       static_cast<std::uint32_t>(i % 200), 0);
            routes.push_back({"r-" + std::to_string(i), at, "desk"});
        }
        return config_text(static_cast<std::uint64_t>(version), routes, {"desk"});
    };
    store.put("op/config", make_config(1));
    record.line("bytes of the configuration: " + std::to_string(make_config(1).size()));
    if (make_config(1).size() > max_value_bytes)
    {
        return 2;
    }
    std::map<std::string, int> runs;
    int late_openings = 0;
    std::vector<std::unique_ptr<backend_server>> servers;
    for (int i = 0; i < server_count; ++i)
    {
        servers.push_back(std::make_unique<backend_server>(
            loop, record, store, "i-" + std::to_string(70'000'001 + i * 1'234'567), "desk",
            "zone-a", plan.at(2, static_cast<std::uint32_t>(i + 1), 0)));
        servers.back()->start_reporting();
        servers.back()->on_run = [&](backend_server&, const std::string& id)
        {
            ++runs[id];
        };
        servers.back()->on_open = [&](backend_server& at, const packet_head& head)
        {
            if (at.is_draining && now_ms() > at.drain_acked_at + drain_ms && ++late_openings <= 5)
            {
                record.result("DRAIN broken: the flow of port " + std::to_string(head.sport) +
                              " opens at " + at.name + " " +
                              std::to_string(now_ms() - at.drain_acked_at) +
                              " ms after the acknowledgement that it drains");
            }
        };
    }
    daemon_fleet daemons(loop, record, plan, folder);
    for (int i = 0; i < daemon_count; ++i)
    {
        daemons.add("zone-a");
    }
    caller_group callers(loop, record, daemons, plan.at(3, 1, 0));
    loop.after(daemons_start_ms, [&]() { daemons.start_all(); });
    std::int64_t acked_at = 0;
    for (int i = 0; i < change_count; ++i)
    {
        loop.after(first_change_ms + i * change_interval_ms,
                   [&, i]()
                   {
                       store.put("op/config", make_config(2 + i));
                       acked_at = now_ms();
                       record.line("version " + std::to_string(2 + i) + " is acknowledged");
                   });
    }
    if (has_trouble())
    {
        loop.after(silence_ms,
                   [&]()
                   {
                       record.line("the open connections to the store go silent");
                       store.silence_connections();
                   });
    }
    loop.after(drain_start_ms, [&]() { servers[0]->drain(leave_after_ms); });

    std::map<std::string, int> ends;
    int wrong = 0;
    std::int64_t last_wrong_ms = 0;
    for (std::int64_t at = daemons_start_ms + 2'000; at < end_ms - 4'000; at += flow_interval_ms)
    {
        loop.after(at,
                   [&]()
                   {
                       callers.open(kept, -1,
                                    [&](caller_flow& flow, attempt_end end)
                                    {
                                        ++ends[std::string("kept ") + text_of(end)];
                                        callers.close(flow);
                                    });
                   });
    }
    const auto judge = [&](int daemon, const std::string& route, caller_flow& flow, attempt_end end)
    {
        ++ends[route + " " + text_of(end)];
        const bool has_run = runs.count(flow.request_id) > 0;
        if (route == "removed" ? has_run : end == attempt_end::refused)
        {
            last_wrong_ms = flow.sent_at;
            if (++wrong <= 6)
            {
                record.result("CONFIG broken: " + flow.request_id + ", sent " +
                              std::to_string(flow.sent_at - acked_at) +
                              " ms after the acknowledgement of the last version through " +
                              daemons.at(static_cast<std::size_t>(daemon)).name + " on the " +
                              route + " route: " + text_of(end));
            }
        }
        callers.close(flow);
    };
    for (std::int64_t at = judged_ms; at < end_ms - 4'000; at += probe_interval_ms)
    {
        for (int daemon = 0; daemon < daemon_count; ++daemon)
        {
            loop.after(at + std::int64_t{daemon} * 20,
                       [&, daemon]()
                       {
                           for (const auto& [name, route] :
                                {std::pair<std::string, address>{"removed", removed},
                                 std::pair<std::string, address>{"added", added}})
                           {
                               const std::string route_name = name;
                               callers.open(
                                   route, daemon,
                                   [&, daemon, route_name](caller_flow& flow, attempt_end end)
                                   { judge(daemon, route_name, flow, end); });
                           }
                       });
        }
    }
    loop.run_until(end_ms);

    for (const auto& [what, count] : ends)
    {
        record.result("requests on the route " + what + ": " + std::to_string(count));
    }
    record.result("handled as only an older version allows: " + std::to_string(wrong) +
                  ", the last one sent " + std::to_string(last_wrong_ms - acked_at) +
                  " ms after the acknowledgement");
    record.result("flows opened too late at a draining server: " + std::to_string(late_openings));
    if (ends["kept answered"] < 200)
    {
        record.result("the case could not run");
        return 2;
    }
    return wrong + late_openings > 0 ? 1 : 0;
}

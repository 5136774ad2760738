// The store answers slowly and drops its history, so the daemons that watch it read the list of all
// entries again. An operator changes the configuration while they do, and a service's servers are
// being replaced.
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "../standins/fleet.hpp"

namespace
{

using namespace review;

constexpr int daemon_count = 6;
constexpr int server_count = 8;
// Entries of servers of another service, to which no request goes.
constexpr int other_count = 1'192;
constexpr std::int64_t slow_answer_ms = 60 * usual_answer_ms;
constexpr std::int64_t daemons_start_ms = 1'500;
constexpr int round_count = 4;
constexpr std::int64_t first_round_ms = 8'000;
constexpr std::int64_t round_ms = 16'000;
// Times within a round. From `judged_ms` on the store is stable and all daemons are in touch.
constexpr std::int64_t discard_ms = 1'000;
constexpr std::int64_t change_ms = discard_ms + 420;
constexpr std::int64_t slow_ms = 4'500;
constexpr std::int64_t judged_ms = slow_ms + stable_window_ms + 500;
constexpr std::int64_t judged_end_ms = round_ms - 2'000;
constexpr std::int64_t end_ms = first_round_ms + round_count * round_ms + 1'000;
constexpr std::int64_t probe_interval_ms = 500;

// Three servers a second are replaced.
constexpr std::int64_t release_start_ms = 6'000;
constexpr std::int64_t release_gap_ms = 333;
constexpr std::int64_t leave_after_ms = drain_ms + 1'000;
constexpr int replaced_count = 200;

// The keys of the other service's servers, in no order.
std::string other_key(int number)
{
    char text[32];
    std::snprintf(text, sizeof(text), "servers/i-%08x",
                  static_cast<unsigned>(number) * 2'654'435'761U);
    return text;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string folder = argc > 2 ? argv[2] : "/tmp";
    case_record record(argc > 1 ? argv[1] : "record.txt");
    event_loop loop;
    const address_plan plan = find_free_addresses();
    kv_store store(loop, record, plan.at(4, 1, 3));
    const address kept = plan.at(9, 1, 0);
    const std::vector<std::string> services{"desk", "archive"};
    // Version 1 has route 1. Each round adds the next route and removes the last one.
    const auto route_at = [&plan](int number)
    {
        return plan.at(9, static_cast<std::uint32_t>(number + 1), 0);
    };
    const auto put_version = [&](int version)
    {
        return store.put("op/config",
                         config_text(static_cast<std::uint64_t>(version),
                                     {{"kept", kept, "desk"},
                                      {"r-" + std::to_string(version), route_at(version), "desk"}},
                                     services));
    };
    put_version(1);
    std::vector<std::unique_ptr<backend_server>> servers;
    std::map<std::string, int> runs;
    for (int i = 0; i < server_count; ++i)
    {
        servers.push_back(std::make_unique<backend_server>(
            loop, record, store, "i-" + std::to_string(70'000'001 + i * 1'234'567), "desk",
            "zone-a", plan.at(2, static_cast<std::uint32_t>(i + 1), 0)));
        servers.back()->on_run = [&](backend_server&, const std::string& id)
        {
            ++runs[id];
        };
        loop.after(std::int64_t{i} * 37,
                   [&, i]() { servers[static_cast<std::size_t>(i)]->start_reporting(); });
    }
    // The other service is replaced: each new server starts first, the old one drains and leaves.
    const auto report_other = [&](int number, bool is_draining)
    {
        const auto host = static_cast<std::uint32_t>(number % 200 + 20);
        const address at = plan.at(2, host, static_cast<std::uint16_t>(100 + number / 200));
        store.put(other_key(number), backend_server::entry_text("archive", at, "zone-a",
                                                                is_draining, 1, 1'700'000'000'000));
    };
    for (int i = 0; i < other_count; ++i)
    {
        report_other(i, false);
    }
    for (int i = 0; i < replaced_count; ++i)
    {
        const std::int64_t at = release_start_ms + i * release_gap_ms;
        loop.after(at, [&, i]() { report_other(other_count + i, false); });
        loop.after(at + release_gap_ms / 2, [&, i]() { report_other(i, true); });
        loop.after(at + release_gap_ms / 2 + leave_after_ms,
                   [&, i]() { store.remove(other_key(i)); });
    }
    daemon_fleet daemons(loop, record, plan, folder);
    for (int i = 0; i < daemon_count; ++i)
    {
        daemons.add("zone-a");
    }
    caller_group callers(loop, record, daemons, plan.at(3, 1, 0));
    loop.after(daemons_start_ms, [&]() { daemons.start_all(); });
    std::int64_t acked_at = 0;
    int version = 1;
    std::vector<int> wrong(daemon_count, 0);
    int wrong_total = 0;
    std::map<std::string, int> ends;
    // Judges a flow that was sent directly to a daemon that is ready.
    const auto judge = [&](int daemon, const std::string& route, caller_flow& flow, attempt_end end)
    {
        ++ends[route + " " + text_of(end)];
        const bool has_run = runs.count(flow.request_id) > 0;
        if (route == "removed" ? has_run : end == attempt_end::refused)
        {
            ++wrong_total;
            if (++wrong[static_cast<std::size_t>(daemon)] <= 2)
            {
                record.result("CONFIG broken: " + flow.request_id + ", sent " +
                              std::to_string(flow.sent_at - acked_at) +
                              " ms after the acknowledgement of version " +
                              std::to_string(version) + " through " +
                              daemons.at(static_cast<std::size_t>(daemon)).name + " on the " +
                              route + " route: " + text_of(end));
            }
        }
        callers.close(flow);
    };
    const auto probe = [&](int daemon)
    {
        if (!daemons.at(static_cast<std::size_t>(daemon)).is_ready)
        {
            return;
        }
        for (const auto& [name, route] :
             {std::pair<std::string, address>{"removed", route_at(version - 1)},
              std::pair<std::string, address>{"added", route_at(version)},
              std::pair<std::string, address>{"kept", kept}})
        {
            const std::string route_name = name;
            callers.open(route, daemon,
                         [&, daemon, route_name](caller_flow& flow, attempt_end end)
                         { judge(daemon, route_name, flow, end); });
        }
    };
    for (int round = 0; round < round_count; ++round)
    {
        const std::int64_t begin = first_round_ms + round * round_ms;
        if (has_trouble())
        {
            loop.after(begin,
                       [&]()
                       {
                           record.line("the store answers in " + std::to_string(slow_answer_ms) +
                                       " ms");
                           store.set_answer_time(slow_answer_ms);
                       });
            loop.after(begin + discard_ms,
                       [&]()
                       {
                           record.line("the store drops its history and cuts the watches");
                           store.discard_history();
                       });
            loop.after(begin + slow_ms,
                       [&]()
                       {
                           record.line("the store answers in " + std::to_string(usual_answer_ms) +
                                       " ms");
                           store.set_answer_time(usual_answer_ms);
                       });
        }
        loop.after(begin + change_ms,
                   [&]()
                   {
                       ++version;
                       const std::uint64_t revision = put_version(version);
                       acked_at = now_ms();
                       record.line("version " + std::to_string(version) +
                                   " is acknowledged at revision " + std::to_string(revision));
                   });
        for (std::int64_t at = begin + judged_ms; at < begin + judged_end_ms;
             at += probe_interval_ms)
        {
            for (int daemon = 0; daemon < daemon_count; ++daemon)
            {
                loop.after(at + std::int64_t{daemon} * 20, [&, daemon]() { probe(daemon); });
            }
        }
    }
    loop.run_until(end_ms);

    for (const auto& [what, count] : ends)
    {
        record.result("requests on the route " + what + ": " + std::to_string(count));
    }
    for (int daemon = 0; daemon < daemon_count; ++daemon)
    {
        record.result(daemons.at(static_cast<std::size_t>(daemon)).name +
                      " handled as only an older version allows: " +
                      std::to_string(wrong[static_cast<std::size_t>(daemon)]));
    }
    if (ends["kept answered"] < daemon_count * 4 * round_count)
    {
        record.result("the case could not run");
        return 2;
    }
    return wrong_total > 0 ? 1 : 0;
}

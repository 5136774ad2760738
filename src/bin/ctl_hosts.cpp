#include "bin/ctl_hosts.hpp"

#include <iostream>

#include "net/monotonic_clock.hpp"

namespace briarbarrow
{

namespace
{

constexpr millis apply_wait_timeout{10'000};
constexpr gulong poll_interval_microseconds = 200'000;

std::uint64_t revision_of(const host_report& report)
{
    return report.fault.empty() ? report.status.value("revision", std::uint64_t{0}) : 0;
}

} // namespace

int fail(const std::string& text, int code)
{
    std::cerr << "briarbarrowctl: " << text << '\n';
    return code;
}

std::vector<host_report> query_hosts(const command_context& context,
                                     const std::vector<reported_host>& hosts)
{
    std::vector<host_report> reports;
    for (const reported_host& host : hosts)
    {
        host_report report{host, "", {}};
        const auto answer = get_and_wait(context.session, host.info.operators, "/status");
        if (answer)
        {
            report.status = nlohmann::json::parse(answer.value(), nullptr, false);
        }
        const bool good = answer && report.status.is_object();
        if (!good)
        {
            report.fault = answer ? "malformed response" : answer.error().message;
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

int wait_until_in_force(const command_context& context, std::uint64_t revision)
{
    const millis begin = monotonic_now();
    std::vector<host_report> late;
    std::size_t asked = 0;
    while (monotonic_now() - begin < apply_wait_timeout)
    {
        const auto hosts = read_hosts(context.session, context.location);
        if (!hosts)
        {
            return fail(hosts.error().message, exit_not_in_force);
        }
        late = query_hosts(context, hosts.value());
        asked = late.size();
        std::erase_if(late, [revision](const host_report& report)
                      { return revision_of(report) >= revision; });
        if (late.empty())
        {
            std::cout << "revision " << revision << " is in force on all " << asked << " hosts\n";
            return exit_good;
        }
        g_usleep(poll_interval_microseconds);
    }
    for (const host_report& report : late)
    {
        const std::string why = report.fault.empty()
                                    ? "has revision " + std::to_string(revision_of(report))
                                    : report.fault;
        std::cerr << "not in force on " << report.listed.info.name << ": " << why << '\n';
    }
    return exit_not_in_force;
}

newest_in_force find_newest(const command_context& context)
{
    newest_in_force newest;
    const auto hosts = read_hosts(context.session, context.location);
    if (!hosts)
    {
        return newest;
    }
    for (const host_report& report : query_hosts(context, hosts.value()))
    {
        if (revision_of(report) > newest.revision)
        {
            newest = {revision_of(report), report.listed};
        }
    }
    return newest;
}

void print_report(const host_report& report)
{
    const host_info& host = report.listed.info;
    if (!report.fault.empty())
    {
        std::cout << host.name << "  " << host.zone << "  no status: " << report.fault << '\n';
        return;
    }
    const auto& counters = report.status.at("counters");
    std::string state = "unknown";
    for (const auto& member : report.status.at("hosts"))
    {
        state = member.value("self", false) ? member.value("state", state) : state;
    }
    const auto number = [&counters](const char* name)
    {
        return counters.value(name, 0ULL);
    };
    std::cout << host.name << "  " << host.zone << "  " << state << "  revision "
              << revision_of(report) << "  entries " << report.status.value("flows", 0ULL)
              << "  from fabric " << number("packets_from_fabric") << "  to backend servers "
              << number("packets_to_backends") << "  opened " << number("flows_opened")
              << "  resets " << number("resets_to_callers") << '\n';
}

void print_zone_report(const host_report& report, const std::string& zone, bool as_json)
{
    const std::string& name = report.listed.info.name;
    bool is_in_force = report.fault.empty();
    std::uint64_t records = 0;
    if (report.fault.empty())
    {
        for (const auto& backend : report.status.value("backends", nlohmann::json::array()))
        {
            if (backend.value("zone", "") == zone)
            {
                is_in_force = is_in_force && !backend.value("takes_flows", true);
                records += backend.value("in_flight", 0ULL);
            }
        }
    }
    if (as_json)
    {
        const nlohmann::json line{{"zone", zone},
                                  {"host", name},
                                  {"fault", report.fault},
                                  {"in_force", is_in_force},
                                  {"open_flow_records", records}};
        std::cout << line.dump() << '\n';
        return;
    }
    std::cout << "zone " << zone << "  host " << name << "  ";
    if (!report.fault.empty())
    {
        std::cout << "no status: " << report.fault << '\n';
        return;
    }
    std::cout << (is_in_force ? "evacuated" : "not in force yet") << "  records of open flows "
              << records << '\n';
}

} // namespace briarbarrow

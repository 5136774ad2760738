#include "standin/run_report.hpp"

#include <algorithm>
#include <iomanip>
#include <numeric>
#include <set>

namespace briarbarrow
{

namespace
{

// Below this mean number of connections a ratio says nothing.
constexpr double least_mean_load = 1.0;

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    const auto place = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(place),
                     values.end());
    return values[place];
}

double mean(const std::vector<double>& values)
{
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

} // namespace

void take_report(backend_reports& reports, const report_line& line)
{
    switch (line.what)
    {
    case report_line::kind::receipt:
        reports.receipts[line.value].push_back(line.backend);
        break;
    case report_line::kind::load:
        reports.load[line.service][line.backend] = line.value;
        break;
    case report_line::kind::misrouted:
        reports.misrouted += line.value;
        break;
    }
}

void sample_imbalance(backend_reports& reports)
{
    for (const auto& [service, backends] : reports.load)
    {
        double sum = 0;
        double busiest = 0;
        for (const auto& [backend, connections] : backends)
        {
            const auto value = static_cast<double>(connections);
            sum += value;
            busiest = std::max(busiest, value);
        }
        const double average = sum / static_cast<double>(backends.size());
        if (average >= least_mean_load)
        {
            reports.imbalance[service].push_back(busiest / average);
        }
    }
}

std::uint64_t count_doubled(const backend_reports& reports)
{
    std::uint64_t doubled = 0;
    for (const auto& [id, backends] : reports.receipts)
    {
        const std::set<std::string> distinct(backends.begin(), backends.end());
        doubled += distinct.size() > 1 ? 1 : 0;
    }
    return doubled;
}

bool write_summary(std::ostream& out, const caller_tally& tally, const backend_reports& reports,
                   const std::vector<host_control>& hosts)
{
    const std::uint64_t doubled = count_doubled(reports);
    const std::uint64_t misrouted = reports.misrouted + tally.misrouted;
    out << std::fixed << std::setprecision(2);
    out << "flows opened        " << tally.opened << '\n';
    out << "answered whole      " << tally.answered << '\n';
    out << "broken              " << tally.broken_flows() << '\n';
    for (const auto& [reason, count] : tally.broken)
    {
        out << "    " << reason << ": " << count << '\n';
    }
    out << "refused             " << tally.refused << '\n';
    out << "misrouted           " << misrouted << '\n';
    out << "mixed up            " << tally.mixed_up << '\n';
    out << "doubled             " << doubled << '\n';
    out << "datagrams repeated  " << tally.retransmitted_datagrams << '\n';
    out << "answer time         median " << quantile(tally.answer_ms, 0.5) << " ms, 99% "
        << quantile(tally.answer_ms, 0.99) << " ms\n";
    out << "imbalance           (busiest / mean open connections)\n";
    for (const auto& [service, samples] : reports.imbalance)
    {
        out << "    " << service << ": mean " << mean(samples) << ", 99% "
            << quantile(samples, 0.99) << '\n';
    }
    out << "control traffic     (bytes a second)\n";
    for (const host_control& host : hosts)
    {
        out << "    " << host.host << ": ";
        if (host.fault.empty())
        {
            out << host.bytes_per_second << '\n';
        }
        else
        {
            out << "not known, " << host.fault << '\n';
        }
    }
    return tally.broken_flows() == 0 && misrouted == 0 && tally.mixed_up == 0 && doubled == 0 &&
           tally.refused == 0 && tally.answered > 0;
}

} // namespace briarbarrow

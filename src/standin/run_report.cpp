#include "standin/run_report.hpp"

#include <algorithm>
#include <iomanip>
#include <numeric>
#include <set>

namespace briarbarrow
{

namespace
{

// With fewer connections per backend server the ratio is too noisy to be of use.
constexpr double min_mean_load = 1.0;

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
    {
        return 0;
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

double mean(const std::vector<double>& values)
{
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

} // namespace

void add_report(backend_reports& reports, const report_line& line)
{
    switch (line.type)
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
        if (average >= min_mean_load)
        {
            reports.imbalance[service].push_back(busiest / average);
        }
    }
}

std::uint64_t count_duplicated_requests(const backend_reports& reports)
{
    std::uint64_t duplicated = 0;
    for (const auto& [id, backends] : reports.receipts)
    {
        const std::set<std::string> distinct(backends.begin(), backends.end());
        duplicated += distinct.size() > 1 ? 1 : 0;
    }
    return duplicated;
}

bool write_summary(std::ostream& out, const caller_tally& tally, const backend_reports& reports,
                   const std::vector<host_control_traffic>& hosts)
{
    const std::uint64_t duplicated = count_duplicated_requests(reports);
    const std::uint64_t misrouted = reports.misrouted + tally.misrouted;
    out << std::fixed << std::setprecision(2);
    out << "flows opened        " << tally.opened << '\n';
    out << "answered whole      " << tally.answered << '\n';
    out << "broken              " << tally.broken_flow_count() << '\n';
    for (const auto& [reason, count] : tally.broken)
    {
        out << "    " << reason << ": " << count << '\n';
    }
    out << "refused             " << tally.refused << '\n';
    out << "misrouted           " << misrouted << '\n';
    out << "mixed up            " << tally.mismatched_answers << '\n';
    out << "doubled             " << duplicated << '\n';
    out << "datagrams repeated  " << tally.retried_datagrams << '\n';
    out << "answer time         median " << quantile(tally.answer_ms, 0.5) << " ms, 99% "
        << quantile(tally.answer_ms, 0.99) << " ms\n";
    out << "imbalance           (busiest / mean open connections)\n";
    for (const auto& [service, samples] : reports.imbalance)
    {
        out << "    " << service << ": mean " << mean(samples) << ", 99% "
            << quantile(samples, 0.99) << '\n';
    }
    out << "control traffic     (bytes a second)\n";
    for (const host_control_traffic& host : hosts)
    {
        out << "    " << host.host << ": ";
        if (host.error.empty())
        {
            out << host.bytes_per_second << '\n';
        }
        else
        {
            out << "not known, " << host.error << '\n';
        }
    }
    return tally.broken_flow_count() == 0 && misrouted == 0 && tally.mismatched_answers == 0 &&
           duplicated == 0 && tally.refused == 0 && tally.answered > 0;
}

} // namespace briarbarrow

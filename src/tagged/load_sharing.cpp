// The part of the router that exchanges with other daemons how fast backend servers are.
#include <algorithm>
#include <cmath>

#include "tagged/router_parts.hpp"

namespace briarbarrow
{

namespace
{

// Units of a report.
constexpr double tenths = 10;
constexpr double thousandths = 1'000;

} // namespace

load_report make_load_report(const router_state& state, millis now)
{
    load_report report;
    for (const known_backend& backend : state.backends.entries)
    {
        const pace_record& pace = backend.evidence.pace;
        const double weight = weight_to_report(pace, state.settings.pace, now);
        if (weight > 0)
        {
            report.backends.push_back(
                {static_cast<std::uint64_t>(backend.service), backend.tag,
                 static_cast<std::uint32_t>(std::lround(weight * tenths)),
                 static_cast<std::int32_t>(std::lround(pace.own.mean * thousandths))});
        }
    }
    std::sort(report.backends.begin(), report.backends.end(),
              [](const reported_pace& left, const reported_pace& right)
              { return left.weight > right.weight; });
    report.backends.resize(std::min(report.backends.size(), max_reported_backends));
    return report;
}

void handle_load_report(router_state& state, const load_report& report, millis now)
{
    if (!state.settings.learns_pace)
    {
        return;
    }
    for (const reported_pace& entry : report.backends)
    {
        const std::optional<backend_index> found =
            find_by_tag(state.backends, static_cast<service_id>(entry.service), entry.tag);
        if (found)
        {
            merge_pace(state.backends.entries[*found].evidence.pace, entry.weight / tenths,
                       entry.log_ratio / thousandths, state.settings.pace, now);
        }
    }
}

} // namespace briarbarrow

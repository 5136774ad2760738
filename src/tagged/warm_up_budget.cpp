#include "tagged/warm_up_budget.hpp"

#include <algorithm>
#include <cmath>

#include "core/ids.hpp"

namespace briarbarrow
{

namespace
{

constexpr millis one_second{1'000};

// A feeder's share: `count` placements in any `window`. Below one a second the window is longer.
struct feeder_share
{
    std::size_t count = 1;
    millis window = one_second;
};

feeder_share share_of(const warm_up_limit& limit)
{
    const double per_s = limit.requests_per_s / static_cast<double>(feeders_per_backend);
    if (per_s >= 1)
    {
        return {static_cast<std::size_t>(per_s), one_second};
    }
    return {1, millis{static_cast<std::int64_t>(std::ceil(1'000 / per_s))}};
}

} // namespace

bool is_feeder(const feeder_view& view, std::uint32_t tag, millis now)
{
    if (now < view.settled_at)
    {
        return false;
    }
    const std::uint64_t own_rank = mix(view.self, tag);
    const auto higher = std::count_if(view.zone_daemons.begin(), view.zone_daemons.end(),
                                      [own_rank, tag](std::uint64_t daemon)
                                      { return mix(daemon, tag) > own_rank; });
    return static_cast<std::size_t>(higher) < feeders_per_backend;
}

millis next_cold_placement(const cold_placements& placed, const warm_up_limit& limit)
{
    const feeder_share share = share_of(limit);
    if (placed.size() < share.count)
    {
        return millis{};
    }
    return placed[placed.size() - share.count] + share.window;
}

bool record_cold_placement(cold_placements& placed, const warm_up_limit& limit, millis now)
{
    const feeder_share share = share_of(limit);
    std::erase_if(placed, [share, now](millis earlier) { return now >= earlier + share.window; });
    placed.push_back(now);
    return placed.size() >= share.count;
}

} // namespace briarbarrow

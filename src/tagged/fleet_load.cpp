#include "tagged/fleet_load.hpp"

#include <algorithm>

namespace briarbarrow
{

namespace
{

// A queue may have grown to this multiple of the wait that the last answers show, and by this
// multiple of the processing time if they show none.
constexpr double max_measured_wait_factor = 3;
constexpr double max_unseen_wait_factor = 2;

} // namespace

double compute_fleet_share(const std::vector<double>& relative_rates)
{
    double fleet = 1;
    for (const double rate : relative_rates)
    {
        fleet += std::clamp(rate, 1 / max_relative_rate, max_relative_rate);
    }
    return 1 / fleet;
}

double estimate_fleet_wait_ms(const service_load& load, const wait_evidence& waits,
                              double uncontended_ms)
{
    const double estimated_ms =
        estimate_wait_ms(load.fleet_flows * waits.load_factor, load.slots, uncontended_ms);
    const double bound_ms = max_measured_wait_factor * std::max(0.0, waits.measured_wait_ms) +
                            max_unseen_wait_factor * uncontended_ms;
    return std::min(estimated_ms, bound_ms);
}

} // namespace briarbarrow

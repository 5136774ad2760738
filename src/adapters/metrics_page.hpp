// The metrics of a host in the Prometheus text exposition format, version 0.0.4.
#ifndef BRIARBARROW_ADAPTERS_METRICS_PAGE_HPP
#define BRIARBARROW_ADAPTERS_METRICS_PAGE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/histogram.hpp"
#include "core/core.hpp"

namespace briarbarrow
{

// A counter of an adapter.
struct adapter_metric
{
    std::string_view name;
    std::uint64_t value = 0;
};

// A distribution of an adapter, exported as a summary with quantiles.
struct adapter_summary
{
    std::string_view name;
    std::string_view help;
    const histogram* values = nullptr;
};

// Renders all metrics of a host.
std::string make_metrics_page(const core_state& state, millis now,
                              const std::vector<adapter_metric>& counters,
                              const std::vector<adapter_summary>& summaries);

} // namespace briarbarrow

#endif

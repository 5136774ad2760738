// Streaming summaries of measured values, for the metrics page.
#ifndef BRIARBARROW_ADAPTERS_HISTOGRAM_HPP
#define BRIARBARROW_ADAPTERS_HISTOGRAM_HPP

#include <array>
#include <cstddef>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace briarbarrow
{

// Quantiles that are estimated and exported.
constexpr std::array<double, 4> reported_quantiles{0.5, 0.9, 0.99, 0.999};

// Count, sum, maximum and quantile estimates (extended P-square algorithm) of a series of values,
// in constant memory.
class histogram
{
public:
    histogram();

    // Adds one value.
    void add(double value);

    // Number of values, their sum and the maximum; 0 without values.
    std::size_t count() const;
    double sum() const;
    double largest() const;

    // Estimate of the quantile reported_quantiles[index]; 0 without values.
    double quantile(std::size_t index) const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<
                    boost::accumulators::tag::count, boost::accumulators::tag::sum,
                    boost::accumulators::tag::max, boost::accumulators::tag::extended_p_square>>;

    accumulator values;
};

} // namespace briarbarrow

#endif

#include "adapters/histogram.hpp"

namespace briarbarrow
{

namespace accumulators = boost::accumulators;

histogram::histogram()
    : values(accumulators::tag::extended_p_square::probabilities = reported_quantiles)
{
}

void histogram::add(double value)
{
    this->values(value);
}

std::size_t histogram::count() const
{
    return accumulators::count(this->values);
}

double histogram::sum() const
{
    return accumulators::sum(this->values);
}

double histogram::largest() const
{
    return this->count() == 0 ? 0.0 : accumulators::max(this->values);
}

double histogram::quantile(std::size_t index) const
{
    return this->count() == 0 ? 0.0 : accumulators::extended_p_square(this->values)[index];
}

} // namespace briarbarrow

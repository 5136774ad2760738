// The one clock type of the project. A millis is either a point on a clock that only moves
// forward or the distance between two such points; the core never asks what time it is, each
// step is told.
#ifndef BRIARBARROW_CORE_CLOCK_HPP
#define BRIARBARROW_CORE_CLOCK_HPP

#include <compare>
#include <cstdint>

namespace briarbarrow
{

// A count of milliseconds. Unit: 1 ms.
struct millis
{
    std::int64_t count = 0;

    friend constexpr auto operator<=>(millis, millis) = default;
};

constexpr millis operator+(millis left, millis right)
{
    return millis{left.count + right.count};
}

constexpr millis operator-(millis left, millis right)
{
    return millis{left.count - right.count};
}

constexpr millis operator*(millis span, std::int64_t times)
{
    return millis{span.count * times};
}

} // namespace briarbarrow

#endif

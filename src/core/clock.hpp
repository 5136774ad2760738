// The time type of the project. A millis is either a point in time on a monotonic clock or a
// duration. The core never reads a clock: the caller passes the time to each step.
#ifndef BRIARBARROW_CORE_CLOCK_HPP
#define BRIARBARROW_CORE_CLOCK_HPP

#include <compare>
#include <cstdint>

namespace briarbarrow
{

// A number of milliseconds.
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

constexpr millis operator*(millis duration, std::int64_t times)
{
    return millis{duration.count * times};
}

} // namespace briarbarrow

#endif

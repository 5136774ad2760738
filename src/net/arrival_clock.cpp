#include "net/arrival_clock.hpp"

#include <algorithm>

#include "net/monotonic_clock.hpp"

namespace briarbarrow
{

namespace
{

// The difference between both clocks changes by more than this only when the wall clock is set.
constexpr millis max_clock_drift{10};

} // namespace

clock_reading read_clocks()
{
    return {monotonic_now(), wall_now()};
}

millis arrival_time(const arrival_clock& clock, std::optional<millis> stamp,
                    const clock_reading& now)
{
    const millis offset = now.wall - now.monotonic;
    const millis previous_offset = clock.drained.wall - clock.drained.monotonic;
    const bool was_set =
        offset > previous_offset + max_clock_drift || previous_offset > offset + max_clock_drift;
    return stamp && !was_set ? std::max(*stamp - offset, clock.drained.monotonic)
                             : clock.drained.monotonic;
}

} // namespace briarbarrow

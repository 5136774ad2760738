// The clocks that adapters read; the core receives the time as a parameter.
#ifndef BRIARBARROW_NET_MONOTONIC_CLOCK_HPP
#define BRIARBARROW_NET_MONOTONIC_CLOCK_HPP

#include <cstdint>
#include <ctime>

#include <glib.h>

#include "core/clock.hpp"

namespace briarbarrow
{

// Milliseconds on a clock that never goes back. It advances while the machine is suspended, so that
// leases and lists that are held then expire.
inline millis monotonic_now()
{
    constexpr std::int64_t milliseconds_per_second = 1'000;
    constexpr std::int64_t nanoseconds_per_millisecond = 1'000'000;
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return millis{static_cast<std::int64_t>(time.tv_sec) * milliseconds_per_second +
                  static_cast<std::int64_t>(time.tv_nsec) / nanoseconds_per_millisecond};
}

// Milliseconds since the Unix epoch, for log lines and for incarnations.
inline millis wall_now()
{
    constexpr std::int64_t microseconds_per_millisecond = 1000;
    return millis{g_get_real_time() / microseconds_per_millisecond};
}

} // namespace briarbarrow

#endif

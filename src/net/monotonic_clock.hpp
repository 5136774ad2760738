// The clocks that adapters read; the core receives the time as a parameter.
#ifndef BRIARBARROW_NET_MONOTONIC_CLOCK_HPP
#define BRIARBARROW_NET_MONOTONIC_CLOCK_HPP

#include <cstdint>

#include <glib.h>

#include "core/clock.hpp"

namespace briarbarrow
{

// Milliseconds on a clock that never goes back. It does not advance while the machine is suspended.
inline millis monotonic_now()
{
    constexpr std::int64_t microseconds_per_millisecond = 1000;
    return millis{g_get_monotonic_time() / microseconds_per_millisecond};
}

// Milliseconds since the Unix epoch, for log lines and for incarnations.
inline millis wall_now()
{
    constexpr std::int64_t microseconds_per_millisecond = 1000;
    return millis{g_get_real_time() / microseconds_per_millisecond};
}

} // namespace briarbarrow

#endif

// Tells when a datagram arrived at this host, which may be long before the process read it: a
// process that was paused finds in its sockets what arrived meanwhile.
#ifndef BRIARBARROW_NET_ARRIVAL_CLOCK_HPP
#define BRIARBARROW_NET_ARRIVAL_CLOCK_HPP

#include <optional>

#include "core/clock.hpp"

namespace briarbarrow
{

// The same moment on the monotonic clock and on the wall clock, which stamps datagrams.
struct clock_reading
{
    millis monotonic;
    millis wall;
};

// What is known about the arrival of a socket's next datagrams.
struct arrival_clock
{
    // When the socket was last known to be empty.
    clock_reading drained;
};

// Reads both clocks.
clock_reading read_clocks();

// Returns the arrival time on the monotonic clock. `stamp` is the kernel's time stamp on the wall
// clock. Without one, or if the wall clock has been set since the socket was empty, it returns the
// earliest time at which the datagram can have arrived.
millis arrival_time(const arrival_clock& clock, std::optional<millis> stamp,
                    const clock_reading& now);

} // namespace briarbarrow

#endif

// Decides when a response that is being received is given up. A silent server has to be told apart
// from a large response on a slow link: giving up the latter gains nothing, since the next attempt
// begins with nothing.
#ifndef BRIARBARROW_FOLLOW_TRANSFER_PROGRESS_HPP
#define BRIARBARROW_FOLLOW_TRANSFER_PROGRESS_HPP

#include <cstddef>
#include <optional>

#include "core/clock.hpp"

namespace briarbarrow
{

// A response that has begun makes progress if each interval brings this much, or its end. So a
// response of n bytes takes at most n / min_progress_bytes intervals. Unit: bytes.
constexpr std::size_t min_progress_bytes = 16'384;

// Limits of one request.
struct transfer_limits
{
    // Time until the response begins; without a progress interval, until its end.
    millis timeout;
    // A response that has begun may take longer while each of these intervals brings progress.
    std::optional<millis> progress_interval;
    // Largest body that is accepted. Unit: bytes.
    std::size_t max_bytes = 0;
};

// State of a transfer.
struct transfer_progress
{
    // Begin of the response, once there is one.
    std::optional<millis> begun;
    // The transfer is given up then, unless it has made progress.
    millis deadline;
    std::size_t interval_bytes = 0;
};

// Starts when the request is sent.
transfer_progress start_transfer(const transfer_limits& limits, millis now);

// Records that bytes of the response arrived. True when the deadline changed.
bool observe_received(transfer_progress& progress, const transfer_limits& limits, std::size_t bytes,
                      millis now);

// Checks the transfer once its deadline has passed. False if it has to be given up; otherwise it
// has a new deadline.
bool renew_deadline(transfer_progress& progress, const transfer_limits& limits, millis now);

} // namespace briarbarrow

#endif

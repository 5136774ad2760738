#include "follow/transfer_progress.hpp"

namespace briarbarrow
{

transfer_progress start_transfer(const transfer_limits& limits, millis now)
{
    transfer_progress progress;
    progress.deadline = now + limits.timeout;
    return progress;
}

bool observe_received(transfer_progress& progress, const transfer_limits& limits, std::size_t bytes,
                      millis now)
{
    progress.interval_bytes += bytes;
    if (progress.begun)
    {
        return false;
    }
    progress.begun = now;
    if (!limits.progress_interval)
    {
        return false;
    }
    progress.deadline = now + *limits.progress_interval;
    return true;
}

bool renew_deadline(transfer_progress& progress, const transfer_limits& limits, millis now)
{
    const bool makes_progress =
        progress.begun && limits.progress_interval && progress.interval_bytes >= min_progress_bytes;
    if (!makes_progress)
    {
        return false;
    }
    progress.interval_bytes = 0;
    progress.deadline = now + *limits.progress_interval;
    return true;
}

} // namespace briarbarrow

// What a daemon tells others about load, as part of its gossip. It holds only what is out of the
// ordinary, and is empty while every service is served well.
#ifndef BRIARBARROW_SPREAD_LOAD_REPORT_HPP
#define BRIARBARROW_SPREAD_LOAD_REPORT_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace briarbarrow
{

// Maximum entries of a report. Full ones add 3.6 KB a second to the gossip of a daemon, for as long
// as the trouble lasts.
constexpr std::size_t max_reported_backends = 24;

// How long requests take at a backend server, relative to its service (backend_pace.hpp). Only what
// the sender has measured itself, so that daemons don't confirm each other's hearsay.
struct reported_pace
{
    std::uint64_t service = 0;
    std::uint32_t tag = 0;
    // Requests measured, recent ones counting more. Unit: tenths.
    std::uint32_t weight = 0;
    // Mean logarithm of the ratio. Unit: thousandths.
    std::int32_t log_ratio = 0;

    friend bool operator==(const reported_pace&, const reported_pace&) = default;
};

struct load_report
{
    std::vector<reported_pace> backends;

    friend bool operator==(const load_report&, const load_report&) = default;
};

} // namespace briarbarrow

#endif

// The metrics page of a daemon whose packets carry a tag, in the text exposition format that the
// usual collectors read (version 0.0.4).
#ifndef BRIARBARROW_REPORT_TAGGED_METRICS_HPP
#define BRIARBARROW_REPORT_TAGGED_METRICS_HPP

#include <array>
#include <cstdint>
#include <string>

#include "adapters/histogram.hpp"
#include "follow/store_follower.hpp"
#include "net/packet_port.hpp"
#include "spread/knowledge.hpp"
#include "tagged/tag_router.hpp"

namespace briarbarrow
{

// What an adapter counts and measures beside the router.
struct daemon_counts
{
    // By reason.
    std::array<std::uint64_t, packet_error_names.size()> bad_packets{};
    // By outcome.
    std::array<std::uint64_t, store_outcome_names.size()> store_calls{};
    std::uint64_t refused_entries = 0;
    std::uint64_t omitted_lines = 0;
    // Time from an opening to its answer, life of a flow, expected wait of a placed one. Unit:
    // milliseconds.
    histogram answer_ms;
    histogram flow_lifetime_ms;
    histogram wait_ms;
};

// Everything that the page shows.
struct metrics_source
{
    const router_state& router;
    const knowledge& known;
    const packet_port_counts& datagrams;
    const daemon_counts& counts;
};

// Writes the page.
std::string make_tagged_metrics(const metrics_source& source, millis now);

} // namespace briarbarrow

#endif

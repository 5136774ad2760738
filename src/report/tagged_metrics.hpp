// The metrics page of a daemon whose packets carry a tag, in the Prometheus text exposition format
// (version 0.0.4).
#ifndef BRIARBARROW_REPORT_TAGGED_METRICS_HPP
#define BRIARBARROW_REPORT_TAGGED_METRICS_HPP

#include <array>
#include <cstdint>
#include <string>

#include "adapters/histogram.hpp"
#include "follow/store_follower.hpp"
#include "net/packet_port.hpp"
#include "spread/replica_sync.hpp"
#include "tagged/tag_router.hpp"

namespace briarbarrow
{

// Counters and measurements that the daemon keeps outside the router.
struct daemon_counts
{
    // Packets by reason.
    std::array<std::uint64_t, packet_error_names.size()> bad_packets{};
    // Store calls by outcome.
    std::array<std::uint64_t, store_outcome_names.size()> store_calls{};
    std::uint64_t refused_entries = 0;
    // Records of contested flows, and packets that could not be held.
    std::uint64_t written_records = 0;
    std::uint64_t dropped_records = 0;
    std::uint64_t dropped_held_packets = 0;
    std::uint64_t omitted_lines = 0;
    // Time from an opening packet to its answer, lifetime of a flow, and expected wait of a newly
    // placed flow. Unit: milliseconds.
    histogram answer_ms;
    histogram flow_lifetime_ms;
    histogram wait_ms;
};

// Everything that the metrics page is made from.
struct metrics_source
{
    const router_state& router;
    const replica_sync& known;
    const packet_port_counts& datagrams;
    const daemon_counts& counts;
};

// Makes the page.
std::string make_tagged_metrics(const metrics_source& source, millis now);

} // namespace briarbarrow

#endif

// A field of daemons, backend servers and callers in memory, on a clock moved by hand: the real
// routers under the loads that they are meant for. Callers open flows as the users' pages have it
// (copies of an opening after 200 and 600 ms, retries, timeouts); backend servers work in slots
// with a queue; links between availability zones, backend servers and daemons can fail for a span.
#ifndef BRIARBARROW_TESTING_TAGGED_SIMULATION_HPP
#define BRIARBARROW_TESTING_TAGGED_SIMULATION_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "tagged/route_table.hpp"

namespace briarbarrow
{

// How flows are placed.
enum class placement_policy : std::uint8_t
{
    // The product's routers.
    product,
    // The simplest rule: fewest own flows, the own zone first among equals, no memory of silence.
    fewest_flows,
    // One mind that sees every backend server's queue and state at once.
    oracle
};

// A span of the run in which something fails. Unit: milliseconds from the start.
struct fault_window
{
    std::int64_t begin = 0;
    std::int64_t end = 0;
    // Numbers of backend servers, of daemons or of zones.
    std::vector<std::size_t> indices;
};

// What is run.
struct simulation_options
{
    std::uint64_t seed = 1;
    placement_policy policy = placement_policy::product;
    std::size_t zones = 3;
    // Daemons and backend servers are dealt to the zones in turn.
    std::size_t daemons = 4;
    std::size_t backends = 14;
    std::uint32_t slots = 2;
    std::uint32_t queue_capacity = 8;
    std::int64_t duration_ms = 10'000;
    // Openings a second, of all callers.
    double idempotent_per_s = 292;
    double at_most_once_per_s = 83;
    double mean_service_ms = 22;
    std::int64_t objective_ms = 120;
    std::int64_t timeout_ms = 800;
    // Part of the callers of the last zone that are at the first one instead.
    double shifted_share = 0;
    // Part of all datagrams that are lost.
    double loss_rate = 0;
    fault_window unresponsive_backends;
    fault_window slow_backends;
    double slow_factor = 5;
    // Backend servers that answer this part of their requests at once with an error, looking well.
    fault_window failing_backends;
    double failure_rate = 0.5;
    // They answer nothing instead of an error.
    bool fails_without_answer = false;
    fault_window partitioned_zones;
    fault_window paused_daemons;
    // All entries of the store lapse at this time and come back one by one within the span; 0 for
    // never.
    std::int64_t expiry_at_ms = 0;
    std::int64_t expiry_recovery_ms = 1'500;
};

// What callers of one kind saw.
struct request_counts
{
    std::uint64_t total = 0;
    std::uint64_t on_time = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
};

// What a run came to.
struct simulation_report
{
    request_counts idempotent;
    request_counts at_most_once;
    // Openings that were sent to a backend server while it was dark.
    std::uint64_t openings_to_unresponsive = 0;
    // Requests that were answered with an error, or with nothing by a backend server that failed.
    std::uint64_t errors = 0;
    // Times that daemons set a backend server aside for its answers, by what they saw themselves.
    std::uint64_t demotions = 0;
    // Resets that daemons sent, and those of them that hit a flow whose backend server lived.
    std::uint64_t resets = 0;
    std::uint64_t resets_of_healthy_flows = 0;
    // At-most-once requests that failed since a cut came between the handshake and the data of
    // their flow: whether they ran can't be known, so that nobody may send them again.
    std::uint64_t at_most_once_lost_in_partition = 0;
    // Packets of an open flow that reached another backend server.
    std::uint64_t misrouted_packets = 0;
    // Requests that may run once and ran twice.
    std::uint64_t duplicate_executions = 0;
    // Openings that went to another zone than the daemon's.
    std::uint64_t cross_zone_openings = 0;
    std::uint64_t openings = 0;
    // Requests worked off, and the most that could have been.
    std::uint64_t completed = 0;
    double capacity = 0;
    // Connections that daemons opened to check a backend server.
    std::uint64_t health_checks = 0;
};

// Runs a field to its end.
simulation_report run_simulation(const simulation_options& options);

// On time and late ones of both kinds, as a part of those asked.
double on_time_share(const simulation_report& report);
double failed_share(const simulation_report& report);

} // namespace briarbarrow

#endif

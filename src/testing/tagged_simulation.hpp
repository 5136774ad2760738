// Discrete-event simulation of callers, daemons and backend servers in memory, on a simulated
// clock. It runs the real routers under the loads that they are made for. Callers open flows as the
// users' pages describe (retransmissions of an opening packet after 200 and 600 ms, retries,
// timeouts); backend servers have slots and a queue; zones can be partitioned, and backend servers
// and daemons can fail, for a time window.
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

// How flows are placed on backend servers.
enum class placement_policy : std::uint8_t
{
    // The product's routers.
    product,
    // Baseline: the backend server with the fewest flows of the daemon, the own zone preferred on a
    // tie, without memory of unresponsive backend servers.
    fewest_flows,
    // Baseline: the product's routers without admission control.
    admit_all,
    // Ideal: a central placement that sees the flows and the state of every backend server.
    oracle
};

// A time window in which something fails. Unit: milliseconds from the start of the run.
struct fault_window
{
    std::int64_t begin = 0;
    std::int64_t end = 0;
    // Indices of backend servers, daemons or zones.
    std::vector<std::size_t> indices;
};

// All daemons lose power and restart with empty memory. Unit: milliseconds from the start of the
// run.
struct power_loss
{
    // 0 for never.
    std::int64_t begin = 0;
    // When each daemon is ready again.
    std::vector<std::int64_t> ready_at;
};

// Topology, load and faults of a run.
struct simulation_options
{
    std::uint64_t seed = 1;
    placement_policy policy = placement_policy::product;
    std::size_t zones = 3;
    // Daemons and backend servers are assigned to the zones round-robin.
    std::size_t daemons = 4;
    std::size_t backends = 14;
    std::uint32_t slots = 2;
    std::uint32_t queue_capacity = 8;
    // Length of the answer of a full backend server; 0 if it closes the flow without one.
    std::uint32_t shed_answer_bytes = 0;
    std::int64_t duration_ms = 10'000;
    // New requests per second, of all callers.
    double idempotent_per_s = 292;
    double at_most_once_per_s = 83;
    // The rates are multiplied by this in a time window. Unit of the window: milliseconds from the
    // start of the run.
    double burst_factor = 1;
    fault_window burst;
    double mean_service_ms = 22;
    std::int64_t objective_ms = 120;
    std::int64_t timeout_ms = 800;
    // Share of the last zone's callers that are in the first zone instead.
    double shifted_share = 0;
    // Share of all packets that are lost.
    double loss_rate = 0;
    fault_window unresponsive_backends;
    fault_window slow_backends;
    // Executions by backend server are counted in this time.
    fault_window counted{0, 1'000'000, {}};
    // The daemons learn the pace of backend servers together.
    bool learns_pace = false;
    // They estimate the load of all daemons.
    bool estimates_fleet_load = false;
    double slow_factor = 5;
    // Backend servers that answer a share of `failure_rate` of their requests at once with an
    // error, while their health checks succeed.
    fault_window failing_backends;
    double failure_rate = 0.5;
    // Failing requests get no answer instead of an error.
    bool fails_without_answer = false;
    fault_window partitioned_zones;
    fault_window paused_daemons;
    power_loss power;
    // All backend entries in the store expire at this time and return one by one within
    // `expiry_recovery_ms`; 0 for never.
    std::int64_t expiry_at_ms = 0;
    std::int64_t expiry_recovery_ms = 1'500;
};

// Requests of one kind, by outcome.
struct request_counts
{
    std::uint64_t total = 0;
    std::uint64_t on_time = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
};

// Results of a run.
struct simulation_report
{
    request_counts idempotent;
    request_counts at_most_once;
    // Opening packets that were sent to a backend server while it was unresponsive.
    std::uint64_t openings_to_unresponsive = 0;
    // Requests that a failing backend server answered with an error or not at all.
    std::uint64_t errors = 0;
    // Demotions of backend servers that a daemon decided from answers it saw itself.
    std::uint64_t demotions = 0;
    // Resets that daemons sent, and those of them for flows with a reachable, responsive backend
    // server.
    std::uint64_t resets = 0;
    std::uint64_t resets_of_healthy_flows = 0;
    // New flows that daemons refused, and those of them at whose refusal a responsive backend
    // server could have answered within the objective.
    std::uint64_t refusals = 0;
    std::uint64_t needless_refusals = 0;
    // Those at whose refusal a responsive backend server had a free slot.
    std::uint64_t refusals_with_free_slot = 0;
    // At-most-once requests that failed because a partition began between the handshake and the
    // data of their flow. Nobody can tell whether they ran, so they must not be sent again.
    std::uint64_t at_most_once_lost_in_partition = 0;
    // Packets of an open flow that reached a backend server other than its own.
    std::uint64_t misrouted_packets = 0;
    // At-most-once requests that ran twice.
    std::uint64_t duplicate_executions = 0;
    // Opening packets that were sent to a backend server outside the daemon's zone.
    std::uint64_t cross_zone_openings = 0;
    std::uint64_t openings = 0;
    // Requests completed, and the maximum that all slots can complete.
    std::uint64_t completed = 0;
    double capacity = 0;
    // Of the requests that started in the burst: all, completed and on time.
    std::uint64_t burst_total = 0;
    std::uint64_t burst_completed = 0;
    std::uint64_t burst_on_time = 0;
    // Requests that started in the burst by zone of their callers: all, and on time.
    std::vector<std::uint64_t> burst_total_by_zone;
    std::vector<std::uint64_t> burst_on_time_by_zone;
    // Answers of full backend servers.
    std::uint64_t sheds = 0;
    // Requests that each backend server executed in the counted time.
    std::vector<std::uint64_t> executions;
    // Health checks that daemons made.
    std::uint64_t health_checks = 0;
};

// Runs a simulation to its end.
simulation_report run_simulation(const simulation_options& options);

// Share of all requests that was completed on time, and that failed.
double on_time_share(const simulation_report& report);
double failed_share(const simulation_report& report);

} // namespace briarbarrow

#endif

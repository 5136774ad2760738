// Discrete-event simulation of callers that keep flows open with long pauses between requests, and
// of the daemons and backend servers that their packets reach. It runs the real routers. Daemons
// and backend servers can be paused, and daemons restarted, at any moment; what arrives at a paused
// process waits in its socket. Callers and backend servers behave as the users' pages describe.
#ifndef BRIARBARROW_TESTING_IDLE_FLOW_FLEET_HPP
#define BRIARBARROW_TESTING_IDLE_FLOW_FLEET_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace briarbarrow
{

constexpr std::int64_t stable_window_ms = 4'000;

// A time in which a process is paused or a daemon is restarted. Unit: milliseconds from the start
// of the run.
struct process_window
{
    std::size_t index = 0;
    std::int64_t begin = 0;
    std::int64_t end = 0;
};

// Size, load and disruptions of a run.
struct idle_flow_options
{
    std::uint64_t seed = 1;
    std::size_t daemons = 2;
    // Daemons of other zones that keep the reports of contested flows; numbered after the daemons.
    std::size_t keepers = 0;
    std::size_t backends = 8;
    std::size_t flows = 400;
    std::int64_t opening_interval_ms = 20;
    // Time between an answer and the next request.
    std::int64_t think_ms = 9'000;
    std::size_t requests = 2;
    // Whether a change of the rotation moves nearly all flows, or those of one daemon.
    bool moves_all_flows = false;
    // Backend servers repeat a SYN+ACK that is not acknowledged.
    bool repeats_syn_ack = true;
    std::vector<process_window> paused_daemons;
    std::vector<process_window> paused_backends;
    // A planned stop: not ready from `begin` on, a new process at `end`.
    std::vector<process_window> restarts;
};

// Results of a run.
struct idle_flow_report
{
    // Flows that opened, and all answers that callers got.
    std::uint64_t opened = 0;
    std::uint64_t answers = 0;
    // Open flows whose caller got a reset that the flow's backend server didn't send.
    std::uint64_t broken = 0;
    // Those of them at which no process that took part had been paused within `stable_window_ms`:
    // the daemon that took the packet, the flow's backend server, and the sender of the reset.
    std::uint64_t broken_in_touch = 0;
    // Flows of which two backend servers had answered the opening packet.
    std::uint64_t answered_twice = 0;
};

// Runs a simulation to its end.
idle_flow_report run_idle_flows(const idle_flow_options& options);

} // namespace briarbarrow

#endif

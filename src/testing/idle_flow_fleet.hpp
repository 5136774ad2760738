// Discrete-event simulation of callers that keep flows open with long pauses between requests, and
// of the daemons and backend servers that their packets reach. It runs the real routers. Daemons
// and backend servers can be paused, daemons restarted, killed and added, and links of backend
// servers be full, at any moment; what arrives at a paused process waits in its socket. Callers,
// backend servers and the store behave as the users' pages describe.
#ifndef BRIARBARROW_TESTING_IDLE_FLOW_FLEET_HPP
#define BRIARBARROW_TESTING_IDLE_FLOW_FLEET_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace briarbarrow
{

constexpr std::int64_t stable_window_ms = 4'000;

// A time in which something is disturbed. Unit: milliseconds from the start of the run.
struct process_window
{
    std::size_t index = 0;
    std::int64_t begin = 0;
    std::int64_t end = 0;
};

// A version of the route that shares its flows between its own service and a second one.
struct split_change
{
    std::int64_t at = 0;
    // Out of 100 flows; with none the second service is no longer part of the route.
    std::uint32_t second_share = 0;
};

// Size, load and disruptions of a run.
struct idle_flow_options
{
    std::uint64_t seed = 1;
    std::size_t daemons = 2;
    // Daemons of other zones, numbered after the daemons. They get the zone's flows while none of
    // its daemons is in rotation.
    std::size_t away_daemons = 0;
    std::size_t backends = 8;
    // So many of them are of the second service.
    std::size_t second_backends = 0;
    // In the order of their times. Each daemon has a change within `split_delay_ms`.
    std::vector<split_change> split_changes;
    std::int64_t split_delay_ms = 300;
    std::size_t flows = 400;
    std::int64_t opening_interval_ms = 20;
    // Time between an answer and the next request.
    std::int64_t think_ms = 9'000;
    std::size_t requests = 2;
    // Whether a change of the rotation moves nearly all flows, or those of one daemon.
    bool moves_all_flows = false;
    // Backend servers repeat a SYN+ACK that is not acknowledged.
    bool repeats_syn_ack = true;
    // The caller's ports, each used again by a later flow once the earlier one has ended; 0 gives
    // each flow a port of its own.
    std::size_t ports = 0;
    // Callers begin each flow with the same sequence number.
    bool repeats_sequence = false;
    std::vector<process_window> paused_daemons;
    std::vector<process_window> paused_backends;
    // A planned stop: not ready from `begin` on, a new process at `end`.
    std::vector<process_window> restarts;
    // A daemon is killed at `begin`, and a new process starts at `end`.
    std::vector<process_window> kills;
    // What these backend servers send is lost.
    std::vector<process_window> full_links;
    // The store doesn't answer. The index has no meaning.
    std::vector<process_window> store_outages;
    // Daemons that no other daemon knows and that know none, as with stale seeds.
    std::vector<std::size_t> isolated_daemons;
    // All daemons begin as those of an earlier version, which write plain tags and read no others,
    // until they are restarted. The others write plain tags until the last of them is forgotten.
    bool is_update = false;
    // Daemons that are added at `begin`; the end has no meaning.
    std::vector<process_window> added_daemons;
};

// Results of a run.
struct idle_flow_report
{
    // Flows that opened, and all answers that callers got.
    std::uint64_t opened = 0;
    std::uint64_t answers = 0;
    // Open flows whose caller got a reset that the flow's backend server didn't send.
    std::uint64_t broken = 0;
    // Those of them at which no process that took part had been disturbed within
    // `stable_window_ms`, other than by a planned restart: the daemon that took the packet, the
    // flow's backend server, and the sender of the reset.
    std::uint64_t broken_in_touch = 0;
    // Flows of which two backend servers had answered the opening packet.
    std::uint64_t answered_twice = 0;
};

// Runs a simulation to its end.
idle_flow_report run_idle_flows(const idle_flow_options& options);

} // namespace briarbarrow

#endif

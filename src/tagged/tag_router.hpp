// The whole of a daemon's behaviour on ports whose packets carry a tag, without input or output,
// threads or a clock of its own.
//
// The way of a packet
//
//  1. An opening is placed (placement.hpp), unless that is hopeless (admission.hpp), and the chosen
//     backend server's tag is written into it. Both ends repeat the tag, so that any daemon can
//     send later packets on without having seen the flow.
//  2. A copy of an opening goes to the same backend server while that one answers others; the
//     packet or its answer was lost then. Otherwise it goes to another one.
//  3. A later packet goes where the flow is remembered to have opened (flow_memory.hpp), and where
//     its tag says if it is not remembered. The tag alone does not do: a caller repeats the newest
//     tag, also that of a backend server which answered second.
//  4. A packet whose route is gone, and a flow whose backend server is surely gone, get a reset, so
//     that the caller may try again at once. In doubt the packet is sent on or dropped: a flow that
//     lives is never reset.
//
// Invariants, checked by the tests:
//  - a packet reaches backend servers of its route's services only;
//  - packets of an open flow reach one backend server;
//  - a refusal is sent for an opening, or for a flow that its backend server no longer holds;
//  - a draining backend server gets no opening;
//  - the version in force never falls.
#ifndef BRIARBARROW_TAGGED_TAG_ROUTER_HPP
#define BRIARBARROW_TAGGED_TAG_ROUTER_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "tagged/admission.hpp"
#include "tagged/answer_quality.hpp"
#include "tagged/backend_directory.hpp"
#include "tagged/flow_memory.hpp"
#include "tagged/placement.hpp"
#include "tagged/route_table.hpp"
#include "tagged/suspicion.hpp"
#include "tagged/tagged_packet.hpp"

namespace briarbarrow
{

// Lists and routes that were heard of within this span count as fresh.
constexpr millis max_list_age{2'000};
// A tag that no list explains is taken as dead after this long, with fresh lists all the while.
constexpr millis unknown_tag_timeout{1'000};
// An open flow at a dead backend server that made no progress for this long is stuck.
constexpr millis min_stall_timeout{150};
// The same in service times.
constexpr double stall_timeout_factor = 5;
// Wanted distance of ticks.
constexpr millis router_tick_interval{20};
// A longer distance means that this process stood still, so that silence proves nothing.
constexpr millis pause_threshold{100};

enum class packet_verdict : std::uint8_t
{
    forward,
    reset,
    drop
};

constexpr std::array<std::string_view, 3> packet_verdict_names{"forward", "reset", "drop"};

// Why a packet was sent on, answered or dropped. Each is counted.
enum class verdict_reason : std::uint8_t
{
    placed,
    rerouted,
    resent_to_same_backend,
    remembered,
    tagged,
    no_route,
    no_backend,
    wait_too_long,
    dead_backend,
    dead_tag,
    routes_not_known,
    route_not_fresh,
    tag_not_known,
    proactive_reset
};

constexpr std::array<std::string_view, 14> verdict_reason_names{
    "placed",           "placed_again",    "same_again",    "remembered",   "tagged",
    "no_route",         "no_backend",      "hopeless_wait", "dead_backend", "dead_tag",
    "routes_not_known", "route_not_fresh", "tag_not_known", "own_reset"};

// What to do with a packet.
struct packet_decision
{
    packet_verdict verdict = packet_verdict::drop;
    verdict_reason reason = verdict_reason::routes_not_known;
    backend_index backend = no_backend;
    // Written into a packet that is sent on.
    std::uint32_t tag = no_tag;
    // Sequence number of a reset.
    std::uint32_t reset_sequence = 0;
    // Expected wait for a slot of a placed flow. Unit: milliseconds.
    double wait_ms = 0;
    // True for the first data of a flow, which names its request.
    bool is_first_request = false;
    // Time from the opening to the caller's answer to it, where this packet shows it; from there to
    // the caller's close.
    std::optional<millis> answer_time;
    std::optional<millis> flow_lifetime;
};

// A change of what a daemon believes, or a flow that it gave up.
enum class state_change_kind : std::uint8_t
{
    backend_suspected,
    backend_responsive,
    check_failed,
    backend_demoted,
    backend_on_probation,
    backend_listed,
    backend_unlisted,
    routes_applied,
    flow_reset,
    process_paused,
    zone_unreachable,
    zone_reachable
};

constexpr std::array<std::string_view, 12> state_change_kind_names{
    "backend_suspected", "backend_answers", "check_failed",      "backend_set_aside",
    "backend_on_trial",  "backend_listed",  "backend_unlisted",  "routes_taken",
    "flow_given_up",     "stood_still",     "zone_out_of_reach", "zone_in_reach"};

struct state_change
{
    state_change_kind kind = state_change_kind::backend_listed;
    backend_index backend = no_backend;
    flow_tuple flow;
    // What decided it, as key=value pairs.
    std::string detail;
};

// A reset to send without a packet to answer.
struct proactive_reset
{
    flow_tuple flow;
    std::uint32_t sequence = 0;
};

// A request that a backend server failed.
struct failure_report
{
    std::string backend;
    request_failure failure;
};

// What a tick wants done.
struct router_actions
{
    std::vector<proactive_reset> resets;
    // Backend servers to check by a connection.
    std::vector<backend_index> checks;
    // What other daemons should be told of: names of backend servers that a check found silent, and
    // requests that failed.
    std::vector<std::string> unresponsive;
    std::vector<failure_report> failures;
};

// What a router is told once.
struct router_settings
{
    std::string own_zone;
    placement_weights weights;
    admission_limits admission;
    suspicion_limits suspicion;
    answer_limits answers;
};

// An opening that waits for its answer.
struct pending_opening
{
    flow_key key;
    backend_index backend = no_backend;
    millis sent;
};

// What is known of a service's queue.
struct service_queue
{
    queue_history memory;
    // Smoothed life of flows that found no queue. Unit: milliseconds; 0 for none yet.
    double uncontended_ms = 0;
};

// All state of a router.
struct router_state
{
    router_settings settings;
    route_table routes;
    backend_directory backends;
    flow_memory flows;
    zone_status_list zones;
    std::unordered_map<service_id, double> service_ms;
    std::unordered_map<service_id, service_queue> queues;
    // By the address of their route.
    std::unordered_map<endpoint, answer_profile, endpoint_hash> answers;
    std::deque<pending_opening> pending;
    // For the next tick's orders.
    std::vector<backend_index> requested_checks;
    std::vector<std::string> newly_unresponsive;
    std::vector<failure_report> failure_reports;
    std::uint32_t failure_report_budget = 0;
    // When the lists were last known to be complete, and since when without a break.
    bool has_lists = false;
    millis lists_confirmed_at;
    millis lists_fresh_since;
    millis last_tick;
    // Silence before this point proves nothing.
    millis resumed_at;
    millis last_decay;
    // Openings of callers, and their smoothed rate.
    std::uint64_t openings_in_interval = 0;
    double openings_per_s = 0;
    // What others say: this daemon's part of all openings, and the daemons of the own zone.
    double opening_share = 1;
    std::size_t zone_daemons = 1;
    std::array<std::uint64_t, verdict_reason_names.size()> reasons{};
    std::vector<state_change> state_changes;
};

// Begins a router that knows nothing.
void start_router(router_state& state, const router_settings& settings, millis now);

// Decides about one packet from a caller.
packet_decision route_packet(router_state& state, const tagged_packet& packet, millis now);

// Time has moved on.
void tick_router(router_state& state, millis now, router_actions& actions);

// The outcome of a check that a tick ordered.
void handle_check_result(router_state& state, const std::string& name, check_outcome outcome,
                         millis now);

// Another daemon has found a backend server silent. It is checked before it is believed.
void handle_unresponsive_report(router_state& state, const std::string& name, millis now);

// Another daemon has seen a request fail.
void handle_failure_report(router_state& state, const failure_report& report, millis now);

// Takes a newer list of routes; older ones are passed over.
void apply_route_list(router_state& state, const route_list& list);

// Takes what a backend server says of itself, or that its entry is not there.
void apply_backend_notice(router_state& state, const backend_notice& notice, millis now);
void handle_backend_unlisted(router_state& state, const std::string& name, millis now);

// The lists were complete at this time.
void confirm_lists(router_state& state, millis heard);

// True when packets can be decided about.
bool is_router_ready(const router_state& state);

} // namespace briarbarrow

#endif

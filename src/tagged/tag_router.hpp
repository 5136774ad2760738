// Routes packets on ports whose packets carry a tag. This is the daemon's complete decision logic;
// it performs no I/O, starts no threads and reads no clock.
//
// How a packet is routed
//
//  1. An opening packet is placed on a backend server (placement.hpp) unless the expected wait is
//     too long (admission.hpp), and the backend server's tag is written into it. Both ends repeat
//     the tag, so any daemon can forward later packets without having seen the flow. Packets of an
//     open flow get another form of the tag (tag_form.hpp).
//  2. A retransmitted opening packet goes to the same backend server if that one has responded to
//     others since: the packet or its answer was lost. Otherwise it goes to another one.
//     An opening packet that has waited at this host until its caller sends the next copy is
//     dropped: the copy may go through another daemon, and only one of them may be answered.
//  3. A later packet goes to the backend server at which the flow opened, if the flow is
//     remembered (flow_memory.hpp), or known to be contested (contested_flows.hpp), and otherwise
//     to the one that its tag names, if the tag has the form of an open flow's. With the form of an
//     opening packet's it may be that of a backend server that answered second, so the flow is
//     looked up first (flow_lookups.hpp).
//  4. A packet whose route has been removed, and a flow whose backend server is presumed dead, get
//     a reset so that the caller can retry at once. While that is uncertain the packet is forwarded
//     or dropped: a live flow is never reset.
//
// Invariants, checked by the tests:
//  - a packet reaches only backend servers of its route's services;
//  - all packets of an open flow reach the same backend server;
//  - a reset is sent only for an opening packet, or for a flow that its backend server no longer
//    holds;
//  - a draining backend server, and one in an evacuated zone, gets no opening packets;
//  - the version of the routes in force never decreases.
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
#include "follow/store_position.hpp"
#include "spread/contested_flow.hpp"
#include "spread/load_report.hpp"
#include "tagged/admission.hpp"
#include "tagged/answer_quality.hpp"
#include "tagged/backend_directory.hpp"
#include "tagged/contested_flows.hpp"
#include "tagged/fleet_load.hpp"
#include "tagged/flow_lookups.hpp"
#include "tagged/flow_memory.hpp"
#include "tagged/placement.hpp"
#include "tagged/route_table.hpp"
#include "tagged/suspicion.hpp"
#include "tagged/tag_form.hpp"
#include "tagged/tagged_packet.hpp"
#include "tagged/wait_estimate.hpp"
#include "tagged/warm_up_budget.hpp"

namespace briarbarrow
{

// Lists and routes that were confirmed at most this long ago count as fresh.
constexpr millis max_list_age{2'000};
// A tag that matches no listed backend server is considered dead after this long, if the lists
// were fresh all the time.
constexpr millis unknown_tag_timeout{1'000};
// An open flow counts as stalled after at least this long without progress.
constexpr millis min_stall_timeout{150};
// The longest such time: beyond it, waiting serves no caller better than trying again.
constexpr millis max_stall_timeout{1'500};
// The same as a multiple of the service time; the longer of the two applies to health checks.
constexpr double stall_timeout_factor = 5;
// Intended interval between ticks.
constexpr millis router_tick_interval{20};
// A longer interval between two ticks means that this process was paused, so a response that is
// missing from that time is no evidence against a backend server.
constexpr millis pause_threshold{100};

// After a pause of more than max_list_age a daemon is not ready for new flows until its lists have
// been confirmed, but for this long at most.
constexpr millis max_unconfirmed_time{1'000};
// An open flow that made progress within this time holds its addresses: an opening packet with
// another sequence number is a late copy, or for its backend server to judge.
constexpr millis tuple_reuse_delay{2'000};

// What to do with a packet. `reset` answers it with a reset; `hold` keeps it until its flow is no
// longer looked up, and routes it again then.
enum class packet_verdict : std::uint8_t
{
    forward,
    reset,
    drop,
    hold
};

constexpr std::array<std::string_view, 4> packet_verdict_names{"forward", "reset", "drop", "hold"};

// Why a packet was forwarded, reset or dropped. Packets are counted by reason.
enum class verdict_reason : std::uint8_t
{
    placed,
    // A retransmitted opening packet, sent to another or to the same backend server.
    rerouted,
    resent_to_same_backend,
    // An opening packet for the addresses of an open flow.
    tuple_in_use,
    // A later packet of a remembered flow, one that was routed by its tag, and one of a contested
    // flow, which was not.
    remembered,
    tagged,
    contested,
    no_route,
    no_backend,
    // The service's backend servers are all in evacuated zones.
    zone_evacuated,
    // Its backend servers are all cold and have as many flows as they bear.
    warm_up_limit_reached,
    standing_queue,
    // The expected wait outlasts the caller's timeout.
    wait_too_long,
    // Dropped to let the caller send it again.
    deferred,
    // Dropped, since it has waited at this host until its caller sends the next copy or gives up.
    overtaken,
    dead_backend,
    dead_tag,
    routes_not_known,
    route_not_fresh,
    tag_not_known,
    proactive_reset,
    // Its flow is looked up, and nobody knew where it is open.
    looked_up,
    location_not_known
};

constexpr std::array<std::string_view, 23> verdict_reason_names{
    "placed",        "placed_again",   "same_again",        "tuple_in_use",    "remembered",
    "tagged",        "contested",      "no_route",          "no_backend",      "zone_evacuated",
    "warm_up_limit", "standing_queue", "hopeless_wait",     "deferred",        "overtaken",
    "dead_backend",  "dead_tag",       "routes_not_known",  "route_not_fresh", "tag_not_known",
    "own_reset",     "looked_up",      "location_not_known"};

// The decision about one packet.
struct packet_decision
{
    packet_verdict verdict = packet_verdict::drop;
    verdict_reason reason = verdict_reason::routes_not_known;
    backend_index backend = no_backend;
    // Written into a packet that is forwarded.
    std::uint32_t tag = no_tag;
    // Sequence number of a reset.
    std::uint32_t reset_sequence = 0;
    // Expected wait of a newly placed flow for a slot. Unit: milliseconds.
    double wait_ms = 0;
    // True for the first data of a flow, which holds the request's id.
    bool is_first_request = false;
    // Time from the opening packet to the caller's acknowledgement of the answer, and from there to
    // the caller's close; each set only on the packet that shows it.
    std::optional<millis> answer_time;
    std::optional<millis> flow_lifetime;
};

// Events that the router reports: changes in its view of backend servers, zones and routes, pauses
// of the process, and flows that it reset.
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
    routes_outdated,
    flow_reset,
    process_paused,
    zone_unreachable,
    zone_reachable,
    zone_evacuated,
    evacuation_withdrawn,
    warm_up_budget_spent,
    backend_slow,
    backend_pace_regained
};

constexpr std::array<std::string_view, 18> state_change_kind_names{
    "backend_suspected", "backend_answers",      "check_failed",         "backend_set_aside",
    "backend_on_trial",  "backend_listed",       "backend_unlisted",     "routes_taken",
    "routes_outdated",   "flow_given_up",        "stood_still",          "zone_out_of_reach",
    "zone_in_reach",     "zone_evacuated",       "evacuation_withdrawn", "warm_up_budget_spent",
    "backend_slow",      "backend_pace_regained"};

// One such event.
struct state_change
{
    state_change_kind kind = state_change_kind::backend_listed;
    backend_index backend = no_backend;
    flow_tuple flow;
    // Details for the log, as key=value pairs.
    std::string detail;
};

// A reset that is sent without a packet that triggers it.
struct proactive_reset
{
    flow_tuple flow;
    std::uint32_t sequence = 0;
};

// A request that failed at a backend server; sent to and received from other daemons.
struct failure_report
{
    std::string backend;
    request_failure failure;
};

// What the daemon must do after a tick.
struct router_actions
{
    std::vector<proactive_reset> resets;
    // Backend servers that are due for a health check.
    std::vector<backend_index> checks;
    // Reports for the other daemons: names of backend servers that a health check found
    // unresponsive, requests that failed, and contested flows that have opened.
    std::vector<std::string> unresponsive;
    std::vector<failure_report> failures;
    std::vector<contested_flow> contested;
};

// Settings of a router; fixed once it has started.
struct router_settings
{
    std::string own_zone;
    placement_weights weights;
    admission_limits admission;
    suspicion_limits suspicion;
    answer_limits answers;
    // A flow that is older than this may be discarded by its ends.
    millis max_flow_age{60'000};
    // Learns the pace of each backend server together with the other daemons.
    bool learns_pace = false;
    pace_limits pace;
    // Estimates the load of all daemons from their shares of the new flows.
    bool estimates_fleet_load = false;
};

// An opening packet that has not been answered yet.
struct pending_opening
{
    flow_key key;
    backend_index backend = no_backend;
    millis sent;
};

// Queue state of one service.
struct service_queue
{
    queue_history history;
    wait_evidence waits;
    // Smoothed share of short answers.
    double short_share = 0;
    // Smoothed logarithm of the time that requests take. Unit of the time: milliseconds; no value
    // before the first one.
    std::optional<double> log_request_ms;
};

// New flows by admission verdict.
using admission_counts = std::array<std::uint64_t, admission_verdict_names.size()>;
constexpr std::uint32_t max_counted_priority = 3;

// The complete state of a router.
struct router_state
{
    router_settings settings;
    route_table routes;
    backend_directory backends;
    flow_memory flows;
    contested_flow_list contested;
    flow_lookups lookups;
    // Writes tags of all forms, since all other daemons know them.
    bool writes_tag_forms = false;
    zone_status_list zones;
    // Smoothed lifetime of each service's flows. Unit: milliseconds.
    std::unordered_map<service_id, double> service_ms;
    std::unordered_map<service_id, service_queue> queues;
    // By the address of the route.
    std::unordered_map<endpoint, answer_profile, endpoint_hash> answers;
    std::deque<pending_opening> pending;
    // Collected for the actions of the next tick.
    std::vector<backend_index> requested_checks;
    std::vector<std::string> newly_unresponsive;
    std::vector<failure_report> failure_reports;
    std::vector<contested_flow> newly_contested;
    std::uint32_t failure_report_budget = 0;
    // When the lists were last confirmed to be complete, and since when they have been fresh
    // without a break.
    bool has_lists = false;
    millis lists_confirmed_at;
    millis lists_fresh_since;
    millis last_tick;
    // Start of the process, or end of its last pause. Responses missing from before are no
    // evidence.
    millis resumed_at;
    // Length of that pause.
    millis pause_duration;
    // End of the time after a pause in which new flows may be the backlog of callers that waited.
    millis backlog_until;
    millis last_decay;
    millis last_load_sample;
    // New flows since `last_decay`, and their smoothed rate.
    std::uint64_t openings_in_interval = 0;
    double openings_per_s = 0;
    // From other daemons' reports: this daemon's share of all opening packets, and the number of
    // daemons in its zone.
    double opening_share = 1;
    std::size_t zone_daemons = 1;
    // This daemon's share of the new flows as its rate compares with the others' at equal times
    // (fleet_load.hpp).
    double fleet_share = 1;
    // The daemons that may place flows on cold backend servers of this zone.
    feeder_view feeders;
    // Flows placed on backend servers with a warm-up limit.
    std::uint64_t cold_placements_total = 0;
    // Requests that probed a slow backend server.
    std::uint64_t probes_total = 0;
    std::array<std::uint64_t, verdict_reason_names.size()> reasons{};
    // Admission of new flows by the priority of their routes; less urgent ones count as the last.
    std::array<admission_counts, max_counted_priority + 1> admissions{};
    std::vector<state_change> state_changes;
};

// Initializes a router, which knows no routes and no backend servers yet.
void start_router(router_state& state, const router_settings& settings, millis now);

// Decides about one packet from a caller.
packet_decision route_packet(router_state& state, const tagged_packet& packet, millis now);

// Advances the router's time and stores in `actions` what the daemon must do. Resets and checks are
// appended.
void tick_router(router_state& state, millis now, router_actions& actions);

// Handles the outcome of a health check that a tick requested.
void handle_check_result(router_state& state, const std::string& name, check_outcome outcome,
                         millis now);

// Handles another daemon's report that a backend server is unresponsive. The backend server is
// checked before it becomes suspected.
void handle_unresponsive_report(router_state& state, const std::string& name, millis now);

// Handles another daemon's report of a failed request.
void handle_failure_report(router_state& state, const failure_report& report, millis now);

// Handles another daemon's report of contested flows, and returns the answers to its questions.
std::vector<contested_flow>
handle_contested_flows(router_state& state, const std::vector<contested_flow>& flows, millis now);

// The contested flows that this daemon knows.
std::vector<contested_flow> known_contested_flows(const router_state& state, millis now);

// Handles the store's answer about a flow that is looked up; `recorded` is what it holds, if
// anything.
void handle_lookup_result(router_state& state, const flow_key& key, lookup_outcome outcome,
                          const std::optional<contested_flow>& recorded, millis now);

// Makes the report about load for the other daemons, and handles one of another daemon.
load_report make_load_report(const router_state& state, millis now);
void handle_load_report(router_state& state, const load_report& report, millis now);

// Applies a newer list of routes; ignores an older one.
void apply_route_list(router_state& state, const route_list& list);

// Applies a backend server's registration in the store, an entry that can't be used, or the absence
// of both.
void apply_backend_registration(router_state& state, const backend_registration& registration,
                                millis now);
void handle_unusable_entry(router_state& state, const std::string& name, millis now);
void handle_backend_unlisted(router_state& state, const std::string& name, millis now);

// Applies an operator's order to evacuate a zone, or its withdrawal, which the store held at
// `position`.
void apply_zone_evacuation(router_state& state, std::string_view zone, bool is_ordered,
                           const store_position& position);

// Records that the lists were complete at this time.
void confirm_lists(router_state& state, millis now);

// True once routes and lists are known, so that packets can be routed.
bool is_router_ready(const router_state& state);

// True when new flows should be sent to this daemon: it is ready, and what it knows isn't from
// before a long pause.
bool is_ready_for_new_flows(router_state& state, millis now);

} // namespace briarbarrow

#endif

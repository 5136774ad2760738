// Keeps a daemon's replica of the store up to date, from the store itself or from other daemons
// that follow it. Performs no I/O: an adapter sends the datagrams and makes the store calls.
//
// Changes are ordered by their position in the store's history, whichever source delivers them, so
// updates from several sources converge to the same list.
//
// A daemon without a list passes on early what it reads (docs/design/cold-start.md). Other daemons
// get only complete lists.
#ifndef BRIARBARROW_SPREAD_REPLICA_SYNC_HPP
#define BRIARBARROW_SPREAD_REPLICA_SYNC_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "follow/store_follower.hpp"
#include "spread/contested_flow.hpp"
#include "spread/item_replica.hpp"
#include "spread/peer_table.hpp"
#include "spread/spread_messages.hpp"
#include "spread/watcher_role.hpp"
#include "wire/messages.hpp"

namespace briarbarrow
{

// Interval between change requests to another daemon. A drain has to be known within three seconds,
// of which a watcher takes up to one and a half.
constexpr millis change_request_interval{250};
// Interval at which the watcher role is decided again.
constexpr millis role_update_interval{100};
// A request without a response by then counts as lost: a hundred round trips between zones.
constexpr millis change_request_timeout{100};
// Without a tick for longer than this the process was paused. A response that it then finds may
// have been written at any time since the pause began.
constexpr millis sync_pause_threshold{100};
// After this many lost requests in a row the source is avoided for `avoidance_duration`.
constexpr std::uint32_t max_lost_change_requests = 3;
constexpr millis avoidance_duration{2'000};
// Maximum number of daemons that one fault report is sent to.
constexpr std::size_t max_fault_report_recipients = 40;
// The same for contested flows, which are reported within the own zone, and to its keepers.
constexpr std::size_t max_contested_report_recipients = 40;
// Bytes of such reports: on average, and at once.
constexpr std::size_t contested_report_bytes_per_s = 1'000;
constexpr std::size_t contested_report_burst_bytes = 40'000;
// Daemons of its zone that a daemon which has started asks for the contested flows that they know,
// beside the zone's keepers.
constexpr std::size_t max_contested_sources = 3;
// Flows in the answer, the newest first.
constexpr std::size_t max_contested_answer_flows = 500;
// How long it looks for them.
constexpr millis contested_request_window{10'000};
// Daemons that are asked where a flow is open.
constexpr std::size_t max_flow_question_recipients = 40;
// The daemon that represents a group in the store is listed there after this long: at first each
// daemon is a group of its own, until they know each other.
constexpr millis listing_delay{2'000};

// A datagram to another daemon.
struct outgoing_datagram
{
    endpoint to;
    message_bytes bytes;
};

// Datagrams to send and the store call to make, if any.
struct sync_actions
{
    std::vector<outgoing_datagram> datagrams;
    std::optional<store_call> call;
};

// A change that the replica did not apply: outdated, or in conflict with what it holds.
struct rejected_change
{
    change_effect effect = change_effect::outdated;
    std::string key;
    store_position position;
    // Position that the replica holds; that of the whole replica if it has no such item.
    store_position held_position;
};

// Updates from the store and from other daemons.
struct sync_updates
{
    std::vector<store_item> changes;
    // Items of an unfinished list, for a daemon that has none yet. The replica doesn't hold them.
    std::vector<store_item> early_items;
    std::vector<std::string> removed;
    std::vector<rejected_change> rejected;
    // Number of items of a complete list that was received.
    std::optional<std::size_t> list_size;
    // The replica's list is complete, as of `confirmed_at`.
    bool is_complete = false;
    millis confirmed_at;
    // Faults of backend servers, and load, that other daemons reported.
    std::vector<fault_report> faults;
    std::vector<load_report> loads;
    // Contested flows that another daemon reported or asks for, that daemon, and daemons that ask
    // for all.
    std::vector<contested_flow> contested;
    std::optional<endpoint> contested_sender;
    std::vector<endpoint> contested_requesters;
};

// Counters for the metrics page.
struct sync_counts
{
    std::uint64_t gossip_sent = 0;
    std::uint64_t requests_sent = 0;
    std::uint64_t responses_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t malformed_datagrams = 0;
    // Contested flows that were reported, and those left out to save bytes.
    std::uint64_t contested_reported = 0;
    std::uint64_t contested_omitted = 0;
    // Changes by effect.
    std::array<std::uint64_t, change_effect_names.size()> changes{};
};

// The replica, the peers, and the state of the requests and calls that keep the replica up to date.
struct replica_sync
{
    peer_table peers;
    item_replica replica;
    store_follower follower;
    // Keys that were reported in `early_items` before there was a complete list.
    std::set<std::string> early_keys;
    // When the call in progress was made.
    millis called_at;
    millis last_active;
    // Begin and end of the last pause of the process.
    millis paused_at;
    millis resumed_at;
    change_requester requester;
    watcher_role assigned_role;
    // Since when this daemon has represented the daemons that it knows, without a break.
    std::optional<millis> representative_since;
    millis next_role_update;
    // The daemon that changes are requested from.
    std::optional<endpoint> source;
    // A source that lost too many requests, until `avoided_until`.
    std::optional<endpoint> avoided;
    millis avoided_until;
    // Time of the outstanding change request.
    std::optional<millis> requested_at;
    millis next_request_at;
    std::uint32_t lost_requests = 0;
    // Daemons that were asked for contested flows, in the own zone and elsewhere.
    std::vector<endpoint> contested_sources;
    std::vector<endpoint> contested_keepers;
    std::optional<millis> contested_request_end;
    std::uint64_t contested_random = 1;
    // Bytes that reports of contested flows may take now, as of `contested_budget_at`.
    std::size_t contested_budget = contested_report_burst_bytes;
    millis contested_budget_at;
    sync_counts counts;
};

// Starts with an empty replica and the addresses of some other daemons.
void start_replica_sync(replica_sync& sync, const peer_report& self,
                        const std::vector<endpoint>& seeds, std::uint64_t seed);

// Does what is due by `now`: gossip, a change request, a store call.
void tick_replica_sync(replica_sync& sync, millis now, sync_actions& actions);

// Processes a datagram from another daemon; responses go to the address that it came from, replies
// to gossip to the address that its sender reports.
void handle_daemon_datagram(replica_sync& sync, const endpoint& from,
                            std::span<const std::uint8_t> bytes, millis now, sync_actions& actions,
                            sync_updates& updates);

// Sends a fault report to the other live daemons.
void report_fault(replica_sync& sync, const fault_report& report, millis now,
                  sync_actions& actions);

// Reports contested flows to other daemons of the own zone and to its keepers.
void report_contested_flows(replica_sync& sync, const std::vector<contested_flow>& flows,
                            millis now, sync_actions& actions);

// Asks other daemons where flows are open.
void ask_for_flows(replica_sync& sync, const std::vector<contested_flow>& questions, millis now,
                   sync_actions& actions);

// True when this daemon is to be listed in the store, for daemons that know no other one.
bool should_be_listed(const replica_sync& sync, millis now);

// Answers a daemon that asks for contested flows.
void send_contested_flows(replica_sync& sync, const endpoint& to,
                          const std::vector<contested_flow>& flows, sync_actions& actions);

// Processes the response to a store call.
void handle_store_response(replica_sync& sync, const store_response& response, millis now,
                           sync_updates& updates);

// Time since the replica was known to be complete; very large when it never was.
millis replica_age(const replica_sync& sync, millis now);

} // namespace briarbarrow

#endif

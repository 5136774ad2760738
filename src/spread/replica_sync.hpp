// What a daemon knows of the store, and from whom it learns: the store itself, or other daemons
// that follow it. Without input or output; an adapter carries datagrams and calls.
//
// Whoever told something, a change is taken by its revision in the store, so that word from several
// sides settles to the same list.
#ifndef BRIARBARROW_SPREAD_REPLICA_SYNC_HPP
#define BRIARBARROW_SPREAD_REPLICA_SYNC_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "follow/store_follower.hpp"
#include "spread/item_replica.hpp"
#include "spread/peer_table.hpp"
#include "spread/spread_messages.hpp"
#include "spread/watcher_role.hpp"
#include "wire/messages.hpp"

namespace briarbarrow
{

// Pause between questions to another daemon. A drain has to be known within three seconds, of which
// a watcher takes one and a half at the worst.
constexpr millis change_request_interval{250};
// How often duties are dealt anew.
constexpr millis role_update_interval{100};
// A question that is not answered by then was lost: hundred round trips between zones.
constexpr millis change_request_timeout{100};
// So many lost questions in a row make a daemon avoided for a while.
constexpr std::uint32_t max_lost_change_requests = 3;
constexpr millis avoidance_duration{2'000};
// Most daemons that word of one fault goes to.
constexpr std::size_t max_fault_report_recipients = 40;

// A datagram to another daemon.
struct outgoing_datagram
{
    endpoint to;
    message_bytes bytes;
};

// What there is to do.
struct sync_actions
{
    std::vector<outgoing_datagram> datagrams;
    std::optional<store_call> call;
};

// What was learned.
struct sync_updates
{
    std::vector<store_item> changes;
    std::vector<std::string> removed;
    // The list is whole; it was so at this time.
    bool is_complete = false;
    millis confirmed_at;
    // What another daemon has found of backend servers.
    std::vector<fault_report> faults;
};

// Counts for the metrics page.
struct sync_counts
{
    std::uint64_t gossip_sent = 0;
    std::uint64_t requests_sent = 0;
    std::uint64_t responses_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t malformed_datagrams = 0;
};

// Everything that is known and how it is kept up.
struct replica_sync
{
    peer_table peers;
    item_replica replica;
    store_follower follower;
    change_requester requester;
    watcher_role assigned_role;
    millis next_role_update;
    std::optional<endpoint> source;
    std::optional<endpoint> avoided;
    millis avoided_until;
    // The question under way.
    std::optional<millis> requested_at;
    millis next_request_at;
    std::uint32_t lost_requests = 0;
    sync_counts counts;
};

// Begins with nothing known but the addresses of some other daemons.
void start_replica_sync(replica_sync& sync, const peer_report& self,
                        const std::vector<endpoint>& seeds, std::uint64_t seed);

// Time has moved on.
void tick_replica_sync(replica_sync& sync, millis now, sync_actions& actions);

// Takes a datagram of another daemon; answers go to where it came from.
void handle_daemon_datagram(replica_sync& sync, const endpoint& from,
                            std::span<const std::uint8_t> bytes, millis now, sync_actions& actions,
                            sync_updates& updates);

// Tells the others what was found of a backend server.
void report_fault(replica_sync& sync, const fault_report& report, millis now,
                  sync_actions& actions);

// Takes the answer to a store call.
void handle_store_response(replica_sync& sync, const store_response& response, millis now,
                           sync_updates& updates);

// How old what is known is; very large when nothing is.
millis replica_age(const replica_sync& sync, millis now);

} // namespace briarbarrow

#endif

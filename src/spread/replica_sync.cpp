#include "spread/replica_sync.hpp"

#include <algorithm>
#include <utility>

#include "core/ids.hpp"
#include "spread/spread_messages.hpp"

namespace briarbarrow
{

namespace
{

// Age of a replica that was never complete.
constexpr millis never_confirmed{1'000'000'000};

void notice_pause(replica_sync& sync, millis now)
{
    if (sync.last_active > millis{} && now > sync.last_active + sync_pause_threshold)
    {
        sync.paused_at = sync.last_active;
        sync.resumed_at = now;
        if (now > sync.paused_at + max_fresh_store_age)
        {
            request_prompt_response(sync.follower);
        }
    }
    sync.last_active = now;
}

void send(replica_sync& sync, sync_actions& actions, const endpoint& to, message_bytes bytes)
{
    sync.counts.bytes_sent += bytes.size();
    actions.datagrams.push_back({to, std::move(bytes)});
}

void send_gossip(replica_sync& sync, sync_actions& actions, const outgoing_gossip& gossip)
{
    ++sync.counts.gossip_sent;
    const auto found = sync.peers.peers.find(gossip.to);
    const bool is_versioned =
        found != sync.peers.peers.end() && found->second.report.tag_version > 0;
    versioned_gossip versioned = add_versions(gossip.message);
    if (!is_versioned)
    {
        // The plain message asks for the reply, and reports the load.
        versioned.gossip.wants_reply = false;
        versioned.gossip.load = load_report{};
    }
    send(sync, actions, gossip.to, encode_daemon_message(versioned));
    if (!is_versioned)
    {
        send(sync, actions, gossip.to, encode_daemon_message(gossip.message));
    }
}

void handle_gossip_message(replica_sync& sync, const gossip_message& gossip, millis now,
                           sync_actions& actions, sync_updates& updates)
{
    sync.peers.self.store_age = replica_age(sync, now);
    updates.loads.push_back(gossip.load);
    const std::optional<outgoing_gossip> reply = handle_gossip(sync.peers, gossip, now);
    if (reply)
    {
        send_gossip(sync, actions, *reply);
    }
}

void update_representation(replica_sync& sync, millis now)
{
    if (!is_representative(sync.peers, now))
    {
        sync.representative_since.reset();
    }
    else if (!sync.representative_since)
    {
        sync.representative_since = now;
    }
}

void send_change_request(replica_sync& sync, millis now, sync_actions& actions)
{
    ++sync.counts.requests_sent;
    sync.requested_at = now;
    send(sync, actions, *sync.source, encode_daemon_message(next_change_request(sync.requester)));
}

void handle_lost_request(replica_sync& sync, millis now)
{
    sync.requested_at.reset();
    ++sync.lost_requests;
    if (sync.lost_requests >= max_lost_change_requests)
    {
        sync.avoided = sync.source;
        sync.avoided_until = now + avoidance_duration;
        sync.lost_requests = 0;
    }
}

void switch_source(replica_sync& sync, const std::optional<endpoint>& source)
{
    if (source != sync.source)
    {
        sync.source = source;
        sync.requested_at.reset();
        sync.lost_requests = 0;
        start_requests(sync.requester, sync.replica);
    }
}

// The complete list is requested from other daemons only when the store fails to deliver it, or is
// slow: many daemons that start at once would overload the few that are already serving callers.
bool can_request_changes(const replica_sync& sync, millis now)
{
    const bool is_store_slow =
        sync.follower.is_calling && now > sync.called_at + sync.follower.limits.read_timeout;
    return sync.replica.has_list || sync.follower.failures > 0 || is_store_slow;
}

void request_changes_when_due(replica_sync& sync, millis now, sync_actions& actions)
{
    if (sync.requested_at && now > *sync.requested_at + change_request_timeout)
    {
        handle_lost_request(sync, now);
    }
    if (sync.source && !sync.requested_at && now >= sync.next_request_at)
    {
        // Changes that came from the store meanwhile need not be requested.
        skip_known_changes(sync.requester, sync.replica);
        sync.next_request_at = now + change_request_interval;
        send_change_request(sync, now, actions);
    }
}

void call_store_when_due(replica_sync& sync, bool follows_store, millis now, sync_actions& actions)
{
    if (!follows_store)
    {
        return;
    }
    if (sync.replica.has_list)
    {
        skip_read(sync.follower, sync.replica.position);
    }
    sync.follower.list_bytes = encoded_size(sync.replica.item_bytes, sync.replica.items.size());
    actions.call = next_store_call(sync.follower, now);
    sync.called_at = actions.call ? now : sync.called_at;
}

void apply_listed_keys(replica_sync& sync, const std::set<std::string>& listed,
                       const store_position& position, sync_updates& updates)
{
    updates.list_size = listed.size();
    for (std::string& key : remove_unlisted(sync.replica, listed, position))
    {
        updates.removed.push_back(std::move(key));
    }
    for (const std::string& key : sync.early_keys)
    {
        if (listed.count(key) == 0)
        {
            updates.removed.push_back(key);
        }
    }
    sync.early_keys.clear();
}

// Passes on the items of an unfinished read while there is no list.
void report_early_items(replica_sync& sync, std::vector<store_item> items, sync_updates& updates)
{
    if (sync.replica.has_list)
    {
        return;
    }
    for (const store_item& item : items)
    {
        sync.early_keys.insert(item.key);
    }
    updates.early_items = std::move(items);
}

void apply_changes(replica_sync& sync, const std::vector<store_item>& changes,
                   sync_updates& updates)
{
    for (const store_item& change : changes)
    {
        const change_effect effect = apply_change(sync.replica, change);
        ++sync.counts.changes[static_cast<std::size_t>(effect)];
        if (effect == change_effect::applied)
        {
            updates.changes.push_back(change);
        }
        else if (effect != change_effect::already_known)
        {
            const auto held = sync.replica.items.find(change.key);
            updates.rejected.push_back(
                {effect, change.key, change.position,
                 held == sync.replica.items.end() ? sync.replica.position : held->second.position});
        }
    }
}

void confirm(replica_sync& sync, const store_position& position, millis confirmed_at,
             sync_updates& updates)
{
    confirm_replica(sync.replica, position, confirmed_at);
    updates.is_complete = true;
    updates.confirmed_at = sync.replica.confirmed_at;
}

void handle_change_response(replica_sync& sync, const endpoint& from,
                            const change_response& response, millis now, sync_actions& actions,
                            sync_updates& updates)
{
    if (from != sync.source || !sync.requested_at)
    {
        return;
    }
    const millis requested_at = *sync.requested_at;
    std::optional<response_updates> received = apply_change_response(sync.requester, response);
    if (!received)
    {
        return;
    }
    sync.requested_at.reset();
    sync.lost_requests = 0;
    apply_changes(sync, received->changes, updates);
    if (received->listed)
    {
        apply_listed_keys(sync, *received->listed, received->position, updates);
    }
    if (received->is_complete)
    {
        // `list_age` is as of when the response was written. That was after the request was sent,
        // so measuring from the request never makes the list look newer than it is.
        confirm(sync, received->position, requested_at - received->list_age, updates);
    }
    if (received->needs_request)
    {
        send_change_request(sync, now, actions);
    }
}

// Asks daemons for contested flows, each once.
void request_contested_flows_from(replica_sync& sync, const std::vector<endpoint>& peers,
                                  std::vector<endpoint>& asked, std::size_t limit,
                                  sync_actions& actions)
{
    for (const endpoint& peer : peers)
    {
        const bool was_asked = std::find(asked.begin(), asked.end(), peer) != asked.end();
        if (!was_asked && asked.size() < limit)
        {
            asked.push_back(peer);
            send(sync, actions, peer,
                 encode_daemon_message(contested_flow_request{sync.peers.self.started}));
        }
    }
}

// A daemon that has started asks some others, as it comes to know them.
void request_contested_flows(replica_sync& sync, millis now, sync_actions& actions)
{
    sync.contested_request_end =
        sync.contested_request_end.value_or(now + contested_request_window);
    if (now > *sync.contested_request_end)
    {
        return;
    }
    if (sync.contested_sources.size() < max_contested_sources)
    {
        request_contested_flows_from(
            sync, pick_zone_peers(sync.peers, sync.contested_random, max_contested_sources, now),
            sync.contested_sources, max_contested_sources, actions);
    }
    // The keepers differ while few daemons are known.
    request_contested_flows_from(sync, keepers_of_zone(sync.peers, sync.peers.self.zone, now),
                                 sync.contested_keepers, 2 * max_contested_sources, actions);
}

// Splits contested flows into messages that fit a datagram.
std::vector<message_bytes> make_contested_reports(const std::vector<contested_flow>& flows)
{
    std::vector<message_bytes> messages;
    for (std::size_t i = 0; i < flows.size(); i += max_reported_contested_flows)
    {
        const std::size_t end = std::min(flows.size(), i + max_reported_contested_flows);
        messages.push_back(encode_daemon_message(
            contested_flow_report{{flows.begin() + static_cast<std::ptrdiff_t>(i),
                                   flows.begin() + static_cast<std::ptrdiff_t>(end)}}));
    }
    return messages;
}

void refill_contested_budget(replica_sync& sync, millis now)
{
    const auto elapsed_ms = static_cast<std::size_t>((now - sync.contested_budget_at).count);
    const std::size_t refill = elapsed_ms * contested_report_bytes_per_s / 1'000;
    if (refill > 0)
    {
        sync.contested_budget =
            std::min(contested_report_burst_bytes, sync.contested_budget + refill);
        sync.contested_budget_at = now;
    }
}

} // namespace

void start_replica_sync(replica_sync& sync, const peer_report& self,
                        const std::vector<endpoint>& seeds, std::uint64_t seed)
{
    start_peer_table(sync.peers, self, seeds, seed);
    sync.contested_random = seed;
    // Request numbers differ from those of an earlier process, so that a late response to that one
    // is not accepted.
    sync.requester.number = mix(seed, static_cast<std::uint64_t>(self.started)) >> 16;
}

void tick_replica_sync(replica_sync& sync, millis now, sync_actions& actions)
{
    notice_pause(sync, now);
    sync.peers.self.store_age = replica_age(sync, now);
    for (const outgoing_gossip& gossip : make_gossip_messages(sync.peers, now))
    {
        send_gossip(sync, actions, gossip);
    }
    if (sync.avoided && now >= sync.avoided_until)
    {
        sync.avoided.reset();
    }
    if (now >= sync.next_role_update)
    {
        sync.next_role_update = now + role_update_interval;
        request_contested_flows(sync, now, actions);
        sync.assigned_role =
            decide_watcher_role(sync.peers, sync.peers.self.store_age, sync.avoided, now);
        update_representation(sync, now);
    }
    switch_source(sync, can_request_changes(sync, now) ? sync.assigned_role.source : std::nullopt);
    request_changes_when_due(sync, now, actions);
    call_store_when_due(sync, sync.assigned_role.follows_store, now, actions);
}

void handle_daemon_datagram(replica_sync& sync, const endpoint& from,
                            std::span<const std::uint8_t> bytes, millis now, sync_actions& actions,
                            sync_updates& updates)
{
    const std::optional<daemon_message> message = decode_daemon_message(bytes);
    if (!message)
    {
        ++sync.counts.malformed_datagrams;
        return;
    }
    if (const auto* gossip = std::get_if<gossip_message>(&*message))
    {
        handle_gossip_message(sync, *gossip, now, actions, updates);
    }
    else if (const auto* request = std::get_if<change_request>(&*message))
    {
        ++sync.counts.responses_sent;
        send(sync, actions, from,
             encode_daemon_message(make_change_response(sync.replica, *request, now)));
    }
    else if (const auto* response = std::get_if<change_response>(&*message))
    {
        handle_change_response(sync, from, *response, now, actions, updates);
    }
    else if (const auto* report = std::get_if<fault_report>(&*message))
    {
        updates.faults.push_back(*report);
    }
    else if (const auto* contested = std::get_if<contested_flow_report>(&*message))
    {
        updates.contested = contested->flows;
        updates.contested_sender = from;
    }
    else if (const auto* versioned = std::get_if<versioned_gossip>(&*message))
    {
        handle_gossip_message(sync, take_versions(*versioned), now, actions, updates);
    }
    else if (std::holds_alternative<contested_flow_request>(*message))
    {
        updates.contested_requesters.push_back(from);
    }
}

void report_fault(replica_sync& sync, const fault_report& report, millis now, sync_actions& actions)
{
    std::size_t sent = 0;
    for (const peer_entry* peer : live_peers(sync.peers, now))
    {
        if (sent < max_fault_report_recipients)
        {
            send(sync, actions, peer->report.address, encode_daemon_message(report));
            ++sent;
        }
    }
}

void report_contested_flows(replica_sync& sync, const std::vector<contested_flow>& flows,
                            millis now, sync_actions& actions)
{
    if (flows.empty())
    {
        return;
    }
    refill_contested_budget(sync, now);
    std::vector<endpoint> recipients =
        pick_zone_peers(sync.peers, sync.contested_random, max_contested_report_recipients, now);
    const std::vector<endpoint> keepers = keepers_of_zone(sync.peers, sync.peers.self.zone, now);
    recipients.insert(recipients.end(), keepers.begin(), keepers.end());
    std::size_t reported = 0;
    for (const message_bytes& message : make_contested_reports(flows))
    {
        const std::size_t bytes = message.size() * recipients.size();
        if (bytes > sync.contested_budget)
        {
            break;
        }
        sync.contested_budget -= bytes;
        reported = std::min(flows.size(), reported + max_reported_contested_flows);
        for (const endpoint& recipient : recipients)
        {
            send(sync, actions, recipient, message);
        }
    }
    sync.counts.contested_reported += reported;
    sync.counts.contested_omitted += flows.size() - reported;
}

void ask_for_flows(replica_sync& sync, const std::vector<contested_flow>& questions, millis now,
                   sync_actions& actions)
{
    if (questions.empty())
    {
        return;
    }
    refill_contested_budget(sync, now);
    const std::vector<endpoint> recipients =
        pick_knowing_peers(sync.peers, sync.contested_random, max_flow_question_recipients, now);
    for (const message_bytes& message : make_contested_reports(questions))
    {
        const std::size_t bytes = message.size() * recipients.size();
        if (bytes > sync.contested_budget)
        {
            break;
        }
        sync.contested_budget -= bytes;
        for (const endpoint& recipient : recipients)
        {
            send(sync, actions, recipient, message);
        }
    }
}

bool should_be_listed(const replica_sync& sync, millis now)
{
    return sync.representative_since && now >= *sync.representative_since + listing_delay;
}

void send_contested_flows(replica_sync& sync, const endpoint& to,
                          const std::vector<contested_flow>& flows, sync_actions& actions)
{
    const std::size_t count = std::min(flows.size(), max_contested_answer_flows);
    const std::vector<contested_flow> newest(flows.begin(),
                                             flows.begin() + static_cast<std::ptrdiff_t>(count));
    for (message_bytes& message : make_contested_reports(newest))
    {
        send(sync, actions, to, std::move(message));
    }
}

void handle_store_response(replica_sync& sync, const store_response& response, millis now,
                           sync_updates& updates)
{
    notice_pause(sync, now);
    store_updates received;
    handle_store_response(sync.follower, response, now, received);
    report_early_items(sync, std::move(received.early_items), updates);
    apply_changes(sync, received.changes, updates);
    if (received.listed)
    {
        apply_listed_keys(sync, *received.listed, received.position, updates);
    }
    if (received.is_complete)
    {
        const bool is_from_before_pause = sync.called_at < sync.resumed_at;
        const millis as_of =
            is_from_before_pause ? std::min(sync.paused_at, received.as_of) : received.as_of;
        confirm(sync, received.position, as_of, updates);
    }
}

millis replica_age(const replica_sync& sync, millis now)
{
    return sync.replica.has_list ? now - sync.replica.confirmed_at : never_confirmed;
}

} // namespace briarbarrow

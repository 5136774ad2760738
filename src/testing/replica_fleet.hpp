// Daemons that keep replicas of a store, in memory and on a simulated clock: the real replica sync,
// with a simulated store and network.
#ifndef BRIARBARROW_TESTING_REPLICA_FLEET_HPP
#define BRIARBARROW_TESTING_REPLICA_FLEET_HPP

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "spread/replica_sync.hpp"

namespace briarbarrow
{

inline endpoint address_of(int number)
{
    return *parse_endpoint("10.0." + std::to_string(number / 250) + "." +
                           std::to_string(number % 250 + 1) + ":7720");
}

inline peer_report report_of(int number, const std::string& zone)
{
    peer_report report;
    report.address = address_of(number);
    report.zone = zone;
    report.started = 1'000;
    return report;
}

inline store_item put(const std::string& key, const std::string& value, std::uint64_t revision)
{
    return store_item{key, value, {0, revision}, false};
}

// Size of a response's items as the store encodes them. Unit: bytes.
inline std::size_t encoded_size(const store_response& response)
{
    std::size_t item_bytes = 0;
    for (const store_item& item : response.items)
    {
        item_bytes += item.key.size() + item.value.size();
    }
    return encoded_size(item_bytes, response.items.size());
}

inline std::map<std::string, std::string> values_of(const item_replica& replica)
{
    std::map<std::string, std::string> values;
    for (const auto& [key, item] : replica.items)
    {
        values[key] = item.value;
    }
    return values;
}

// A store in memory: current items, and the history of changes for watches.
struct simulated_store
{
    std::map<std::string, store_item> items;
    std::vector<store_item> changes;
    std::uint64_t revision = 10;
    std::uint64_t oldest = 0;
    std::uint64_t era = 1;
    bool is_down = false;
    // Items on one page of a read, and the bytes with which it ends.
    std::size_t page_items = 500;
    std::size_t page_bytes = 1'000'000;
    // Bytes that the store's link takes in a millisecond; 0 stands for no limit.
    std::size_t link_bytes_per_ms = 0;
    millis link_free_at;
    // Time from a call to its response.
    millis response_delay{4};
    std::uint64_t calls = 0;

    void write(const std::string& key, const std::string& value)
    {
        ++this->revision;
        this->items[key] = put(key, value, this->revision);
        this->changes.push_back(this->items[key]);
    }

    void remove(const std::string& key)
    {
        ++this->revision;
        this->items.erase(key);
        this->changes.push_back(store_item{key, "", {0, this->revision}, true});
    }

    void compact_history()
    {
        this->changes.clear();
        this->oldest = this->revision;
    }

    // Comes back from a copy taken earlier: what was written since is gone, and its revisions are
    // given out again.
    void restore(const simulated_store& copy)
    {
        const std::uint64_t next_era = this->era + 1;
        const std::uint64_t calls = this->calls;
        const std::size_t page_items = this->page_items;
        const millis response_delay = this->response_delay;
        *this = copy;
        this->era = next_era;
        this->calls = calls;
        this->page_items = page_items;
        this->response_delay = response_delay;
    }

    // When a response that is sent now has passed the store's link.
    millis transmit(const store_response& response, millis now)
    {
        if (this->link_bytes_per_ms == 0)
        {
            return now;
        }
        std::size_t bytes = 0;
        for (const store_item& item : response.items)
        {
            bytes += item.key.size() + item.value.size();
        }
        this->link_free_at = std::max(this->link_free_at, now) +
                             millis{static_cast<std::int64_t>(bytes / this->link_bytes_per_ms)};
        return this->link_free_at;
    }

    bool has_history(const store_call& call) const
    {
        return call.after_revision >= this->oldest && call.after_revision <= this->revision;
    }

    bool has_response(const store_call& call) const
    {
        return call.kind == store_call_kind::read || this->is_down ||
               this->revision > call.after_revision || !this->has_history(call);
    }

    store_response respond(const store_call& call)
    {
        ++this->calls;
        store_response response;
        if (this->is_down)
        {
            response.outcome = store_outcome::refused;
            return response;
        }
        response.outcome = store_outcome::answered;
        response.store_revision = this->revision;
        response.store_era = this->era;
        if (call.kind == store_call_kind::read)
        {
            auto item = this->items.upper_bound(call.after_key);
            std::size_t bytes = 0;
            for (; item != this->items.end() && response.items.size() < this->page_items &&
                   bytes < this->page_bytes;
                 ++item)
            {
                response.items.push_back(item->second);
                bytes += item->first.size() + item->second.value.size();
            }
            response.has_more = item != this->items.end();
            response.last_key = response.items.empty() ? "" : response.items.back().key;
            return response;
        }
        if (!this->has_history(call))
        {
            response.outcome = store_outcome::history_compacted;
            return response;
        }
        for (const store_item& change : this->changes)
        {
            if (change.position.revision > call.after_revision)
            {
                response.items.push_back(change);
            }
        }
        return response;
    }
};

// Daemons, a store and a network between them, on a simulated clock.
struct replica_fleet
{
    struct member
    {
        replica_sync sync;
        bool is_up = true;
        bool reaches_store = true;
        std::optional<store_call> call;
        millis called_at;
        // The response to the call, on its way.
        std::optional<store_response> response;
        millis response_due;
        std::size_t unreceived_bytes = 0;
        transfer_progress progress;
        // Bytes that arrive from the store in a millisecond, and bytes of datagrams that the
        // daemon's link takes; 0 stands for no limit.
        std::size_t store_bytes_per_ms = 0;
        std::size_t link_bytes_per_ms = 0;
        // When the datagrams sent so far have passed the link. Unit: milliseconds.
        double uplink_free_at = 0;
        std::uint64_t too_large = 0;
        std::uint64_t given_up = 0;
    };

    struct packet
    {
        millis due;
        endpoint from;
        endpoint to;
        message_bytes bytes;
    };

    simulated_store store;
    std::vector<member> members;
    std::vector<packet> packets;
    millis now{100'000};
    std::mt19937_64 random{7};
    double loss_rate = 0;
    // Called with the updates that a daemon's adapter would apply, and the daemon's number.
    std::function<void(std::size_t, const sync_updates&)> on_updates;

    replica_fleet(int count, int zones)
    {
        this->store.write("op/config", std::string(3'000, 'c'));
        for (int i = 0; i < count; ++i)
        {
            this->add("zone-" + std::to_string(i % zones));
        }
    }

    void add(const std::string& zone)
    {
        member& added = this->members.emplace_back();
        const int number = static_cast<int>(this->members.size()) - 1;
        start_replica_sync(added.sync, report_of(number, zone), {address_of(0), address_of(1)},
                           static_cast<std::uint64_t>(number) + 1);
    }

    void kill(member& daemon)
    {
        daemon.is_up = false;
        daemon.call.reset();
        daemon.response.reset();
    }

    // Starts a daemon that was killed: it knows nothing of before.
    void start(member& daemon)
    {
        peer_report self;
        self.address = daemon.sync.peers.self.address;
        self.zone = daemon.sync.peers.self.zone;
        self.started = this->now.count;
        daemon.sync = replica_sync{};
        start_replica_sync(daemon.sync, self, {address_of(0), address_of(1)}, this->random());
        daemon.is_up = true;
    }

    // Time that a datagram takes over its sender's link.
    millis transmit(member& from, std::size_t bytes) const
    {
        if (from.link_bytes_per_ms == 0)
        {
            return millis{};
        }
        const auto begin = std::max(from.uplink_free_at, static_cast<double>(this->now.count));
        from.uplink_free_at =
            begin + static_cast<double>(bytes) / static_cast<double>(from.link_bytes_per_ms);
        return millis{static_cast<std::int64_t>(from.uplink_free_at) - this->now.count};
    }

    void send_actions(member& from, const sync_actions& actions)
    {
        for (const outgoing_datagram& datagram : actions.datagrams)
        {
            const millis transmission = this->transmit(from, datagram.bytes.size());
            const bool is_lost =
                std::uniform_real_distribution<>(0, 1)(this->random) < this->loss_rate;
            if (!is_lost)
            {
                this->packets.push_back({this->now + transmission + millis{1},
                                         from.sync.peers.self.address, datagram.to,
                                         datagram.bytes});
            }
        }
        if (actions.call)
        {
            from.call = actions.call;
            from.called_at = this->now;
            from.progress = start_transfer(actions.call->limits, this->now);
        }
    }

    void finish_call(member& daemon, const store_response& response)
    {
        daemon.call.reset();
        daemon.response.reset();
        daemon.too_large += response.outcome == store_outcome::too_large ? 1 : 0;
        daemon.given_up += response.outcome == store_outcome::unreachable ? 1 : 0;
        sync_updates updates;
        handle_store_response(daemon.sync, response, this->now, updates);
        this->pass_updates(daemon, updates);
    }

    void begin_response(member& daemon)
    {
        daemon.response = this->store.respond(*daemon.call);
        daemon.response_due = this->store.transmit(*daemon.response, this->now);
        daemon.unreceived_bytes = encoded_size(*daemon.response);
        if (daemon.unreceived_bytes > daemon.call->limits.max_bytes)
        {
            store_response rejected;
            rejected.outcome = store_outcome::too_large;
            this->finish_call(daemon, rejected);
        }
    }

    void receive_response(member& daemon)
    {
        const std::size_t arrived =
            daemon.store_bytes_per_ms == 0
                ? daemon.unreceived_bytes
                : std::min(daemon.unreceived_bytes, daemon.store_bytes_per_ms);
        daemon.unreceived_bytes -= arrived;
        observe_received(daemon.progress, daemon.call->limits, arrived, this->now);
        if (daemon.unreceived_bytes == 0)
        {
            daemon.response->begun = daemon.progress.begun;
            this->finish_call(daemon, store_response(*daemon.response));
        }
    }

    void pass_updates(const member& daemon, const sync_updates& updates) const
    {
        if (this->on_updates)
        {
            this->on_updates(static_cast<std::size_t>(&daemon - this->members.data()), updates);
        }
    }

    void serve_store_call(member& daemon)
    {
        if (!daemon.call)
        {
            return;
        }
        const bool wait_elapsed = this->now >= daemon.called_at + daemon.call->wait;
        const bool is_limited = !daemon.reaches_store || daemon.store_bytes_per_ms > 0;
        if (is_limited && this->now >= daemon.progress.deadline &&
            !renew_deadline(daemon.progress, daemon.call->limits, this->now))
        {
            this->finish_call(daemon, store_response{});
            return;
        }
        if (daemon.reaches_store && !daemon.response &&
            this->now > daemon.called_at + this->store.response_delay &&
            (wait_elapsed || this->store.has_response(*daemon.call)))
        {
            this->begin_response(daemon);
        }
        if (daemon.reaches_store && daemon.response && this->now >= daemon.response_due)
        {
            this->receive_response(daemon);
        }
    }

    void deliver()
    {
        std::vector<packet> due;
        std::erase_if(this->packets,
                      [this, &due](packet& entry)
                      {
                          if (entry.due <= this->now)
                          {
                              due.push_back(std::move(entry));
                              return true;
                          }
                          return false;
                      });
        for (const packet& entry : due)
        {
            for (member& daemon : this->members)
            {
                if (daemon.is_up && daemon.sync.peers.self.address == entry.to)
                {
                    sync_actions actions;
                    sync_updates updates;
                    handle_daemon_datagram(daemon.sync, entry.from, entry.bytes, this->now, actions,
                                           updates);
                    this->pass_updates(daemon, updates);
                    this->send_actions(daemon, actions);
                }
            }
        }
    }

    void run(std::int64_t duration_ms)
    {
        for (std::int64_t i = 0; i < duration_ms; ++i)
        {
            this->now = this->now + millis{1};
            this->deliver();
            for (member& daemon : this->members)
            {
                if (!daemon.is_up)
                {
                    continue;
                }
                this->serve_store_call(daemon);
                if (this->now.count % 20 == 0)
                {
                    sync_actions actions;
                    tick_replica_sync(daemon.sync, this->now, actions);
                    this->send_actions(daemon, actions);
                }
            }
        }
    }

    // True when the replica of every running daemon equals the store.
    bool all_match_store() const
    {
        std::map<std::string, std::string> wanted;
        for (const auto& [key, item] : this->store.items)
        {
            wanted[key] = item.value;
        }
        for (const member& daemon : this->members)
        {
            if (daemon.is_up && values_of(daemon.sync.replica) != wanted)
            {
                return false;
            }
        }
        return true;
    }

    int count_followers() const
    {
        int count = 0;
        for (const member& daemon : this->members)
        {
            count += daemon.is_up && daemon.sync.assigned_role.follows_store ? 1 : 0;
        }
        return count;
    }
};

} // namespace briarbarrow

#endif

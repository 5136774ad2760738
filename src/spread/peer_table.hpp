// Peer discovery by gossip: each daemon sends a few others a report about itself and reports about
// some daemons that it has received lately. A daemon without a report newer than
// `peer_live_timeout` does not count as live. The first contacts are the seeds of the settings, and
// daemons that are listed in the store: one of each group of daemons that know each other, so
// groups find together, and one that knows no other is found.
//
// The cost does not grow with the number of daemons: `gossip_fanout` datagrams each
// `gossip_interval`, each with reports about up to `max_reported_peers` others. Two of three
// messages stay in the own availability zone, since watcher roles are assigned per zone.
#ifndef BRIARBARROW_SPREAD_PEER_TABLE_HPP
#define BRIARBARROW_SPREAD_PEER_TABLE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/address.hpp"
#include "core/clock.hpp"
#include "spread/load_report.hpp"

namespace briarbarrow
{

constexpr millis gossip_interval{400};
// Messages per gossip interval.
constexpr std::size_t gossip_fanout = 3;
// Reports about other daemons in one message.
constexpr std::size_t max_reported_peers = 5;
// Twelve gossip intervals: with five other daemons in each message, a report reaches about a
// hundred daemons in four.
constexpr millis peer_live_timeout{5'000};
// A peer whose last report is older than this is removed.
constexpr millis peer_removal_timeout{15'000};
// Maximum number of peers kept: the daemons of a large spray domain.
constexpr std::size_t max_peers = 1'000;

// The version of tags that a daemon reports: it reads all their forms (tag_form.hpp). Daemons of
// earlier versions read plain ones only and report 0.
constexpr std::uint32_t formed_tag_version = 1;

// What a daemon reports about itself.
struct peer_report
{
    // Address at which it receives gossip and change requests.
    endpoint address;
    std::string zone;
    // Start of its process. Unit: milliseconds since the epoch.
    std::int64_t started = 0;
    bool is_leaving = false;
    // Time since its replica of the store was known to be complete.
    millis store_age;
    // Rate at which it places new flows. Unit: flows per second.
    std::uint32_t openings_per_s = 0;
    std::uint32_t tag_version = 0;

    friend bool operator==(const peer_report&, const peer_report&) = default;
};

// A report about another daemon, and the time since that daemon made it.
struct reported_peer
{
    peer_report report;
    millis age;

    friend bool operator==(const reported_peer&, const reported_peer&) = default;
};

// A gossip datagram from one daemon to another.
struct gossip_message
{
    peer_report sender;
    std::vector<reported_peer> others;
    // What the sender has to say about load.
    load_report load;
    // The sender has no live peers and asks for a gossip message in return.
    bool wants_reply = false;

    friend bool operator==(const gossip_message&, const gossip_message&) = default;
};

// A known daemon.
struct peer_entry
{
    peer_report report;
    // Time when this daemon or another one received the report from its subject.
    millis last_received;
};

// The rate of new flows that a daemon has reported about itself since a time.
struct own_rate
{
    millis since;
    double openings_per_s = 0;
};

// A daemon's report about itself and its entries for the others.
struct peer_table
{
    peer_report self;
    // What this daemon's messages say about load.
    load_report load;
    // Addresses from the settings, which may be outdated, and from the store.
    std::vector<endpoint> seeds;
    std::set<endpoint> listed_daemons;
    std::map<endpoint, peer_entry> peers;
    // Time of the next gossip messages.
    millis next_round;
    std::uint64_t random = 1;
    // The rates that this daemon has reported, oldest first.
    std::deque<own_rate> own_rates;
};

// A gossip message to send.
struct outgoing_gossip
{
    endpoint to;
    gossip_message message;
};

// Starts with a table that holds no peers, only the seed addresses.
void start_peer_table(peer_table& table, const peer_report& self,
                      const std::vector<endpoint>& seeds, std::uint64_t seed);

// Returns the gossip messages that are due.
std::vector<outgoing_gossip> make_gossip_messages(peer_table& table, millis now);

// Merges a gossip message into the table. Returns a reply if its sender asks for one.
std::optional<outgoing_gossip> handle_gossip(peer_table& table, const gossip_message& message,
                                             millis now);

// The peers whose last report is within `peer_live_timeout`.
std::vector<const peer_entry*> live_peers(const peer_table& table, millis now);

// This daemon's share of all new flows, between 0 and 1; 1 when it places none.
double own_share(const peer_table& table, millis now);

// Sets the rate of new flows that this daemon reports.
void report_own_rate(peer_table& table, std::uint32_t openings_per_s, millis now);

// The others' rates of new flows relative to this daemon's, each at the time when the other's
// report was made: reports are seconds old in a large fleet, and in a burst all rates rise
// together. Daemons that are leaving or in a zone of `unreachable_zones` are left out; one that has
// reported no rate yet counts as much as this one.
std::vector<double> relative_rates(const peer_table& table,
                                   const std::vector<std::string>& unreachable_zones, millis now);

// Addresses of the daemons in this daemon's zone that are not leaving, this one included.
std::vector<endpoint> zone_members(const peer_table& table, millis now);

// Addresses of other live daemons in this daemon's zone, at most `limit` of them in random order.
std::vector<endpoint> pick_zone_peers(const peer_table& table, std::uint64_t& random,
                                      std::size_t limit, millis now);

// Addresses of the few live daemons outside a zone that keep what the daemons of that zone have to
// know after a restart, in case all others of the zone are paused or gone. All daemons select the
// same ones, as far as they know the same peers.
std::vector<endpoint> keepers_of_zone(const peer_table& table, const std::string& zone, millis now);

// True for the one daemon of those that know each other that is listed in the store: the one with
// the lowest address.
bool is_representative(const peer_table& table, millis now);

// True when all known daemons read all forms of tags, and none can be unknown any more: there are
// some, or the process is older than `peer_live_timeout`.
bool all_read_tag_forms(const peer_table& table, millis process_age);

// Addresses of daemons to ask for something that any may know: all live ones, or else some of the
// own zone and the keepers of each zone, at most `limit`.
std::vector<endpoint> pick_knowing_peers(const peer_table& table, std::uint64_t& random,
                                         std::size_t limit, millis now);

// Number of daemons in a zone that are not leaving, counting this one.
std::size_t count_in_zone(const peer_table& table, const std::string& zone, millis now);

} // namespace briarbarrow

#endif

// The daemons that a daemon knows, without anyone to ask: each tells a few others about itself and
// about some that it has heard of lately. What is said grows old; a daemon that nobody has heard
// for `live_span` is not counted on.
//
// The cost does not grow with the number of daemons: `greetings_per_round` datagrams each
// `round_span`, each with up to `told_others` others. Two of three greetings stay in the own
// availability zone, since duties are dealt within one.
#ifndef BRIARBARROW_SPREAD_PEER_TABLE_HPP
#define BRIARBARROW_SPREAD_PEER_TABLE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/address.hpp"
#include "core/clock.hpp"

namespace briarbarrow
{

constexpr millis gossip_interval{400};
constexpr std::size_t gossip_fanout = 3;
constexpr std::size_t max_reported_peers = 5;
// Twelve rounds: with five others told each time, word passes through some hundred daemons in four.
constexpr millis peer_live_timeout{5'000};
// Daemons that are not heard of for longer are forgotten.
constexpr millis peer_removal_timeout{15'000};
// Most daemons that are kept: those of a large spray domain.
constexpr std::size_t max_peers = 1'000;

// What a daemon says of itself.
struct peer_report
{
    // Where it takes greetings and questions.
    endpoint address;
    std::string zone;
    // Start of its process. Unit: milliseconds since the epoch.
    std::int64_t started = 0;
    bool is_leaving = false;
    // Age of what it knows of the store.
    millis store_age;
    // New flows that it places. Unit: flows per second.
    std::uint32_t openings_per_s = 0;

    friend bool operator==(const peer_report&, const peer_report&) = default;
};

// What one daemon has heard of another one, and how long ago.
struct reported_peer
{
    peer_report report;
    millis age;

    friend bool operator==(const reported_peer&, const reported_peer&) = default;
};

// A datagram from one daemon to another.
struct gossip_message
{
    peer_report sender;
    std::vector<reported_peer> others;
    // The sender knows nobody yet and wants a greeting back.
    bool wants_reply = false;

    friend bool operator==(const gossip_message&, const gossip_message&) = default;
};

// A daemon that is known.
struct peer_entry
{
    peer_report report;
    millis last_received;
};

// All that a daemon knows of others.
struct peer_table
{
    peer_report self;
    // Addresses from the settings, which may be old.
    std::vector<endpoint> seeds;
    std::map<endpoint, peer_entry> peers;
    millis next_round;
    std::uint64_t random = 1;
};

// A greeting to send.
struct outgoing_gossip
{
    endpoint to;
    gossip_message message;
};

// Begins a roster that knows nobody but seeds.
void start_peer_table(peer_table& table, const peer_report& self,
                      const std::vector<endpoint>& seeds, std::uint64_t seed);

// The greetings that are due.
std::vector<outgoing_gossip> make_gossip_messages(peer_table& table, millis now);

// Takes a greeting. Returns the answer that its sender wants.
std::optional<outgoing_gossip> handle_gossip(peer_table& table, const gossip_message& message,
                                             millis now);

// The daemons that were heard of lately, without this one.
std::vector<const peer_entry*> live_peers(const peer_table& table, millis now);

// This daemon's part of all new flows, between 0 and 1; 1 when there are none.
double own_share(const peer_table& table, millis now);

// Number of daemons of a zone that take packets, with this one.
std::size_t count_in_zone(const peer_table& table, const std::string& zone, millis now);

} // namespace briarbarrow

#endif

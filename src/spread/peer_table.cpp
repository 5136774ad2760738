#include "spread/peer_table.hpp"

#include <algorithm>
#include <utility>

#include "core/ids.hpp"

namespace briarbarrow
{

namespace
{

// Number of a zone's keepers.
constexpr std::size_t zone_keepers = 2;

std::uint64_t next_random(std::uint64_t& random)
{
    random = mix(random, 0x9e3779b97f4a7c15);
    return random;
}

template <typename Item>
void shuffle(std::vector<Item>& items, std::uint64_t& random)
{
    for (std::size_t i = items.size(); i > 1; --i)
    {
        std::swap(items[i - 1], items[next_random(random) % i]);
    }
}

gossip_message make_gossip_message(peer_table& table, const endpoint& to, millis now)
{
    gossip_message message;
    message.sender = table.self;
    message.load = table.load;
    std::vector<const peer_entry*> others = live_peers(table, now);
    message.wants_reply = others.empty();
    shuffle(others, table.random);
    for (const peer_entry* other : others)
    {
        if (message.others.size() < max_reported_peers && other->report.address != to)
        {
            message.others.push_back({other->report, now - other->last_received});
        }
    }
    return message;
}

// A newer report replaces an older one, and among relayed reports that of a later process start
// wins. A report from the daemon itself is always accepted: after a restart with an earlier clock
// its start time may lie before that of the earlier process.
void merge_report(peer_table& table, const peer_report& report, bool is_firsthand,
                  millis last_received, millis now)
{
    if (report.address == table.self.address || last_received + peer_removal_timeout < now)
    {
        return;
    }
    const auto found = table.peers.find(report.address);
    if (found == table.peers.end())
    {
        if (table.peers.size() < max_peers)
        {
            table.peers.emplace(report.address, peer_entry{report, last_received});
        }
        return;
    }
    peer_entry& entry = found->second;
    const std::uint32_t known_version =
        report.started == entry.report.started ? entry.report.tag_version : 0;
    const bool is_later = report.started > entry.report.started;
    const bool is_newer =
        report.started == entry.report.started && last_received > entry.last_received;
    if (is_firsthand || is_later || is_newer)
    {
        entry = peer_entry{report, last_received};
    }
    // A daemon of an earlier version passes reports on without it.
    entry.report.tag_version = std::max(entry.report.tag_version, known_version);
}

void remove_expired(peer_table& table, millis now)
{
    std::erase_if(table.peers, [now](const auto& entry)
                  { return entry.second.last_received + peer_removal_timeout < now; });
}

// The rate that this daemon reported at a time, or the oldest that it remembers.
double own_rate_at(const peer_table& table, millis time)
{
    double rate = table.own_rates.empty() ? 0 : table.own_rates.front().openings_per_s;
    for (const own_rate& reported : table.own_rates)
    {
        rate = reported.since <= time ? reported.openings_per_s : rate;
    }
    return rate;
}

} // namespace

void start_peer_table(peer_table& table, const peer_report& self,
                      const std::vector<endpoint>& seeds, std::uint64_t seed)
{
    table.self = self;
    table.self.tag_version = formed_tag_version;
    table.seeds = seeds;
    table.random = seed;
}

std::vector<outgoing_gossip> make_gossip_messages(peer_table& table, millis now)
{
    std::vector<outgoing_gossip> due;
    if (now < table.next_round)
    {
        return due;
    }
    table.next_round = now + gossip_interval;
    remove_expired(table, now);
    std::vector<endpoint> own_zone;
    std::vector<endpoint> elsewhere;
    for (const auto& [address, peer] : table.peers)
    {
        (peer.report.zone == table.self.zone ? own_zone : elsewhere).push_back(address);
    }
    // Seeds and listed daemons reconnect parts of the fleet after a network partition.
    std::set<endpoint> contacts(table.seeds.begin(), table.seeds.end());
    contacts.insert(table.listed_daemons.begin(), table.listed_daemons.end());
    for (const endpoint& contact : contacts)
    {
        if (contact != table.self.address && table.peers.count(contact) == 0)
        {
            elsewhere.push_back(contact);
        }
    }
    shuffle(own_zone, table.random);
    shuffle(elsewhere, table.random);
    std::vector<endpoint> chosen;
    const std::size_t own_zone_count = std::min(own_zone.size(), gossip_fanout - 1);
    chosen.insert(chosen.end(), own_zone.begin(),
                  own_zone.begin() + static_cast<std::ptrdiff_t>(own_zone_count));
    for (std::size_t i = 0; i < elsewhere.size() && chosen.size() < gossip_fanout; ++i)
    {
        chosen.push_back(elsewhere[i]);
    }
    for (const endpoint& to : chosen)
    {
        due.push_back({to, make_gossip_message(table, to, now)});
    }
    return due;
}

std::optional<outgoing_gossip> handle_gossip(peer_table& table, const gossip_message& message,
                                             millis now)
{
    merge_report(table, message.sender, true, now, now);
    for (const reported_peer& other : message.others)
    {
        if (other.age >= millis{})
        {
            merge_report(table, other.report, false, now - other.age, now);
        }
    }
    if (!message.wants_reply)
    {
        return std::nullopt;
    }
    outgoing_gossip reply{message.sender.address,
                          make_gossip_message(table, message.sender.address, now)};
    reply.message.wants_reply = false;
    return reply;
}

std::vector<const peer_entry*> live_peers(const peer_table& table, millis now)
{
    std::vector<const peer_entry*> live;
    for (const auto& [address, peer] : table.peers)
    {
        if (now <= peer.last_received + peer_live_timeout)
        {
            live.push_back(&peer);
        }
    }
    return live;
}

double own_share(const peer_table& table, millis now)
{
    double all = table.self.openings_per_s;
    for (const peer_entry* peer : live_peers(table, now))
    {
        all += peer->report.openings_per_s;
    }
    return all > 0 && table.self.openings_per_s > 0 ? table.self.openings_per_s / all : 1;
}

void report_own_rate(peer_table& table, std::uint32_t openings_per_s, millis now)
{
    table.self.openings_per_s = openings_per_s;
    const auto rate = static_cast<double>(openings_per_s);
    if (table.own_rates.empty() || table.own_rates.back().openings_per_s != rate)
    {
        table.own_rates.push_back({now, rate});
    }
    while (table.own_rates.size() > 1 && table.own_rates[1].since + peer_live_timeout < now)
    {
        table.own_rates.pop_front();
    }
}

std::vector<double> relative_rates(const peer_table& table,
                                   const std::vector<std::string>& unreachable_zones, millis now)
{
    std::vector<double> rates;
    for (const peer_entry* peer : live_peers(table, now))
    {
        const bool is_unreachable = std::find(unreachable_zones.begin(), unreachable_zones.end(),
                                              peer->report.zone) != unreachable_zones.end();
        if (peer->report.is_leaving || is_unreachable)
        {
            continue;
        }
        const double own = own_rate_at(table, peer->last_received);
        const double theirs = peer->report.openings_per_s;
        rates.push_back(own > 0 && theirs > 0 ? theirs / own : 1);
    }
    return rates;
}

std::vector<endpoint> zone_members(const peer_table& table, millis now)
{
    std::vector<endpoint> members;
    if (!table.self.is_leaving)
    {
        members.push_back(table.self.address);
    }
    for (const peer_entry* peer : live_peers(table, now))
    {
        if (peer->report.zone == table.self.zone && !peer->report.is_leaving)
        {
            members.push_back(peer->report.address);
        }
    }
    return members;
}

std::vector<endpoint> pick_zone_peers(const peer_table& table, std::uint64_t& random,
                                      std::size_t limit, millis now)
{
    std::vector<endpoint> picked;
    for (const peer_entry* peer : live_peers(table, now))
    {
        if (peer->report.zone == table.self.zone)
        {
            picked.push_back(peer->report.address);
        }
    }
    shuffle(picked, random);
    picked.resize(std::min(picked.size(), limit));
    return picked;
}

std::vector<endpoint> keepers_of_zone(const peer_table& table, const std::string& zone, millis now)
{
    std::vector<std::pair<std::uint64_t, endpoint>> ranked;
    for (const peer_entry* peer : live_peers(table, now))
    {
        if (peer->report.zone != zone)
        {
            ranked.emplace_back(mix(hash_name(zone), hash_name(to_string(peer->report.address))),
                                peer->report.address);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<endpoint> keepers;
    for (const auto& [rank, address] : ranked)
    {
        if (keepers.size() < zone_keepers)
        {
            keepers.push_back(address);
        }
    }
    return keepers;
}

bool is_representative(const peer_table& table, millis now)
{
    const std::vector<const peer_entry*> live = live_peers(table, now);
    return !table.self.is_leaving &&
           std::none_of(live.begin(), live.end(),
                        [&table](const peer_entry* peer) {
                            return !peer->report.is_leaving &&
                                   peer->report.address < table.self.address;
                        });
}

bool all_read_tag_forms(const peer_table& table, millis process_age)
{
    if (table.peers.empty())
    {
        return process_age > peer_live_timeout;
    }
    return std::all_of(table.peers.begin(), table.peers.end(),
                       [](const auto& entry)
                       { return entry.second.report.tag_version >= formed_tag_version; });
}

std::vector<endpoint> pick_knowing_peers(const peer_table& table, std::uint64_t& random,
                                         std::size_t limit, millis now)
{
    const std::vector<const peer_entry*> live = live_peers(table, now);
    std::set<endpoint> picked;
    if (live.size() <= limit)
    {
        for (const peer_entry* peer : live)
        {
            picked.insert(peer->report.address);
        }
        return {picked.begin(), picked.end()};
    }
    std::set<std::string> zones{table.self.zone};
    for (const peer_entry* peer : live)
    {
        zones.insert(peer->report.zone);
    }
    for (const std::string& zone : zones)
    {
        for (const endpoint& keeper : keepers_of_zone(table, zone, now))
        {
            picked.insert(keeper);
        }
    }
    for (const endpoint& peer : pick_zone_peers(table, random, limit, now))
    {
        picked.insert(peer);
    }
    std::vector<endpoint> peers(picked.begin(), picked.end());
    shuffle(peers, random);
    peers.resize(std::min(peers.size(), limit));
    return peers;
}

std::size_t count_in_zone(const peer_table& table, const std::string& zone, millis now)
{
    std::size_t count = table.self.zone == zone && !table.self.is_leaving ? 1 : 0;
    for (const peer_entry* peer : live_peers(table, now))
    {
        count += peer->report.zone == zone && !peer->report.is_leaving ? 1 : 0;
    }
    return count;
}

} // namespace briarbarrow

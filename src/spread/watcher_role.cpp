#include "spread/watcher_role.hpp"

#include <algorithm>
#include <string_view>

#include "core/ids.hpp"

namespace briarbarrow
{

namespace
{

std::uint64_t rank_of(const endpoint& address)
{
    const auto* bytes = reinterpret_cast<const char*>(address.address.bytes.data());
    return mix(hash_name(std::string_view(bytes, address.address.bytes.size())), address.port);
}

struct ranked_daemon
{
    std::uint64_t rank = 0;
    endpoint address;

    friend bool operator<(const ranked_daemon& left, const ranked_daemon& right)
    {
        return left.rank < right.rank;
    }
};

bool has_fresh_store(const peer_report& report, millis max_age)
{
    return !report.is_leaving && report.store_age <= max_age;
}

// The watchers of the own zone, this daemon included, in order of rank.
std::vector<endpoint> find_watchers(const peer_table& table, millis now)
{
    std::vector<ranked_daemon> candidates;
    if (!table.self.is_leaving)
    {
        candidates.push_back({rank_of(table.self.address), table.self.address});
    }
    for (const peer_entry* peer : live_peers(table, now))
    {
        if (peer->report.zone == table.self.zone &&
            has_fresh_store(peer->report, max_watcher_store_age))
        {
            candidates.push_back({rank_of(peer->report.address), peer->report.address});
        }
    }
    std::sort(candidates.begin(), candidates.end());
    const std::size_t watcher_count =
        std::max(min_watchers_per_zone, candidates.size() / daemons_per_watcher);
    candidates.resize(std::min(candidates.size(), watcher_count));
    std::vector<endpoint> watchers;
    watchers.reserve(candidates.size());
    for (const ranked_daemon& candidate : candidates)
    {
        watchers.push_back(candidate.address);
    }
    return watchers;
}

// Another daemon with a fresh replica, preferably of the own zone. Rendezvous hashing spreads the
// requesters over all of them, so that no daemon gets every request.
std::optional<endpoint> find_any_source(const peer_table& table,
                                        const std::optional<endpoint>& avoided, millis now)
{
    const peer_entry* best = nullptr;
    const std::uint64_t own = rank_of(table.self.address);
    const auto is_better = [&table, own](const peer_entry& left, const peer_entry& right)
    {
        const bool left_near = left.report.zone == table.self.zone;
        const bool right_near = right.report.zone == table.self.zone;
        return left_near != right_near ? left_near
                                       : mix(own, rank_of(left.report.address)) <
                                             mix(own, rank_of(right.report.address));
    };
    for (const peer_entry* peer : live_peers(table, now))
    {
        const bool is_usable =
            has_fresh_store(peer->report, max_fresh_store_age) && peer->report.address != avoided;
        if (is_usable && (best == nullptr || is_better(*peer, *best)))
        {
            best = peer;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->report.address);
}

} // namespace

watcher_role decide_watcher_role(const peer_table& table, millis own_age,
                                 const std::optional<endpoint>& avoided, millis now)
{
    const std::vector<endpoint> watchers = find_watchers(table, now);
    const bool is_watcher =
        std::find(watchers.begin(), watchers.end(), table.self.address) != watchers.end();
    const bool is_stale = own_age > max_fresh_store_age;
    watcher_role role;
    role.follows_store = is_watcher || is_stale || watchers.empty();
    if (!is_watcher)
    {
        // Requesters are spread over the watchers by hash.
        const std::size_t first_choice =
            rank_of(table.self.address) % std::max<std::size_t>(1, watchers.size());
        for (std::size_t i = 0; i < watchers.size() && !role.source; ++i)
        {
            const endpoint& candidate = watchers[(first_choice + i) % watchers.size()];
            if (candidate != avoided)
            {
                role.source = candidate;
            }
        }
    }
    if (is_stale && !role.source)
    {
        role.source = find_any_source(table, avoided, now);
    }
    return role;
}

} // namespace briarbarrow

#include "core/placement/record_owners.hpp"

#include <algorithm>

namespace briarbarrow
{

namespace
{

// A host with its rendezvous hash score for one service.
struct ranked_host
{
    std::uint64_t score = 0;
    const view_host* host = nullptr;
};

// The hosts of a view by falling score.
std::vector<ranked_host> rank_hosts(const view& hosts, service_id service)
{
    std::vector<ranked_host> order;
    order.reserve(hosts.hosts.size());
    for (const view_host& host : hosts.hosts)
    {
        const auto score =
            mix(static_cast<std::uint64_t>(service), static_cast<std::uint64_t>(host.id));
        order.push_back(ranked_host{score, &host});
    }
    const auto higher = [](const ranked_host& left, const ranked_host& right)
    {
        return left.score > right.score;
    };
    std::sort(order.begin(), order.end(), higher);
    return order;
}

// Moves the highest host that is in another zone than the first one to the second place.
void move_other_zone_second(std::vector<ranked_host>& order)
{
    if (order.size() < 2)
    {
        return;
    }
    const std::uint64_t zone = order.front().host->zone;
    const auto other_zone = [zone](const ranked_host& ranked)
    {
        return ranked.host->zone != zone;
    };
    const auto second = std::find_if(order.begin() + 1, order.end(), other_zone);
    if (second != order.end())
    {
        std::rotate(order.begin() + 1, second, second + 1);
    }
}

// The first eligible host other than `except`, and, where asked, in another zone than it; or null.
const view_host* first_eligible(const std::vector<ranked_host>& order, const view_host* except,
                                bool other_zone_only)
{
    for (const ranked_host& ranked : order)
    {
        const bool same_zone = except != nullptr && ranked.host->zone == except->zone;
        const bool excluded = ranked.host == except || (other_zone_only && same_zone);
        if (ranked.host->eligible && !excluded)
        {
            return ranked.host;
        }
    }
    return nullptr;
}

view_host make_view_host(const host_info& info, bool eligible)
{
    return view_host{info.id, hash_name(info.zone), info.incarnation, eligible};
}

// The hosts of a view made now, by identifier: those that can be owners, and those to be skipped.
std::vector<view_host> current_hosts(const membership& hosts, millis now)
{
    std::vector<view_host> current;
    if (can_be_owner(hosts, hosts.self.id, now))
    {
        current.push_back(make_view_host(hosts.self, true));
    }
    for (const auto& [id, other] : hosts.others)
    {
        const bool eligible = can_be_owner(hosts, id, now);
        const bool skipped = other.state == host_state::gone || other.state == host_state::live;
        if (eligible || skipped)
        {
            current.push_back(make_view_host(other.info, eligible));
        }
    }
    const auto by_id = [](const view_host& left, const view_host& right)
    {
        return left.id < right.id;
    };
    std::sort(current.begin(), current.end(), by_id);
    return current;
}

// Digest of the eligible hosts of a view, to tell whether two hosts have the same view. Never 0.
std::uint32_t digest_view(const std::vector<view_host>& hosts)
{
    std::uint64_t digest = 1;
    for (const view_host& host : hosts)
    {
        if (host.eligible)
        {
            digest = mix(digest, mix(static_cast<std::uint64_t>(host.id), host.incarnation));
        }
    }
    return static_cast<std::uint32_t>(digest) | 1U;
}

// Adds a view as the newest one.
void push_view(view_history& history, std::vector<view_host> hosts, millis now)
{
    view& newest = history.views.emplace_front();
    newest.number = history.next_number++;
    newest.since = now;
    newest.digest = digest_view(hosts);
    newest.eligible_count = static_cast<std::size_t>(std::count_if(
        hosts.begin(), hosts.end(), [](const view_host& host) { return host.eligible; }));
    newest.hosts = std::move(hosts);
}

} // namespace

bool update_views(view_history& history, const membership& hosts, millis now)
{
    // A host that is suspected for long becomes ineligible with time alone, without a membership
    // change, so check periodically as well.
    const bool due = now >= history.next_check;
    if (!history.views.empty() && hosts.changes == history.seen_changes && !due)
    {
        return false;
    }
    history.seen_changes = hosts.changes;
    history.next_check = now + millis{100};
    std::vector<view_host> current = current_hosts(hosts, now);
    if (!history.views.empty() && history.views.front().hosts == current)
    {
        return false;
    }
    if (!history.views.empty())
    {
        history.views.front().superseded_at = now;
    }
    push_view(history, std::move(current), now);
    if (history.views.size() > max_views)
    {
        history.views.pop_back();
    }
    return true;
}

owner_pair owners_in(const view& hosts, service_id service)
{
    std::vector<ranked_host> order = rank_hosts(hosts, service);
    move_other_zone_second(order);
    const view_host* primary = first_eligible(order, nullptr, false);
    if (primary == nullptr)
    {
        return {};
    }
    const view_host* standby = first_eligible(order, primary, true);
    if (standby == nullptr)
    {
        standby = first_eligible(order, primary, false);
    }
    return owner_pair{primary->id, standby == nullptr ? host_id::none : standby->id};
}

host_id other_owner(const owner_pair& pair, host_id self)
{
    if (pair.primary == self)
    {
        return pair.standby;
    }
    return pair.standby == self ? pair.primary : host_id::none;
}

bool is_owner(const owner_pair& pair, host_id self)
{
    return pair.primary == self || pair.standby == self;
}

} // namespace briarbarrow

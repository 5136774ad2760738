// Where a packet goes among the hosts: the chain before its backend server, the search for its
// record, and how sure a search can be.
#include <algorithm>

#include "core/step_parts.hpp"

namespace briarbarrow
{

namespace
{

// A packet is passed between hosts at most this often.
constexpr std::uint8_t max_hops = 12;
// In a domain of up to this many others, a search asks all of them.
constexpr std::size_t search_all_others = max_path_hosts;

void add_once(host_path& path, host_id host, host_id except)
{
    const bool known = std::find(path.begin(), path.end(), host) != path.end();
    if (host != host_id::none && host != except && !known && path.size() < path.capacity())
    {
        path.push_back(host);
    }
}

void add_reachable(step_context& step, host_path& path, host_id host)
{
    if (is_reachable(step.state.hosts, host, step.now))
    {
        add_once(path, host, step.state.hosts.self.id);
    }
}

// Adds the keepers of views that were superseded within the horizon.
void add_former_keepers(step_context& step, host_path& path, std::uint32_t service_slot,
                        millis horizon)
{
    const service_id service = step.state.known.services[service_slot].id;
    const auto& views = step.state.views.views;
    for (std::size_t i = 1; i < views.size(); ++i)
    {
        if (step.now - views[i].superseded_at > horizon)
        {
            return;
        }
        const owner_pair before = owners_in(views[i], service);
        add_reachable(step, path, before.primary);
        add_reachable(step, path, before.standby);
    }
}

// Adds all other hosts where they are few.
void add_all_if_few(step_context& step, host_path& path)
{
    const auto& others = step.state.hosts.others;
    if (others.size() > search_all_others)
    {
        return;
    }
    for (const auto& [id, other] : others)
    {
        add_reachable(step, path, id);
    }
}

} // namespace

host_path chain_of(step_context& step, std::uint32_t service_slot, millis horizon)
{
    core_state& state = step.state;
    host_path chain;
    const owner_pair owners = current_keepers(state, service_slot);
    add_once(chain, owners.primary, state.hosts.self.id);
    add_once(chain, owners.standby, state.hosts.self.id);
    add_former_keepers(step, chain, service_slot, horizon);
    if (horizon > view_overlap_window)
    {
        add_all_if_few(step, chain);
    }
    return chain;
}

host_path search_path_of(step_context& step, std::uint32_t service_slot, millis horizon)
{
    host_path path;
    const owner_pair owners = current_keepers(step.state, service_slot);
    add_reachable(step, path, owners.primary);
    add_reachable(step, path, owners.standby);
    add_former_keepers(step, path, service_slot, horizon);
    add_all_if_few(step, path);
    return path;
}

bool is_search_complete(const step_context& step)
{
    const membership& hosts = step.state.hosts;
    const auto in_limbo = [](const auto& entry)
    {
        return entry.second.suspected;
    };
    const bool limbo = std::any_of(hosts.others.begin(), hosts.others.end(), in_limbo);
    return !limbo && has_quorum_lease(hosts, step.now);
}

bool lost_both_keepers(const step_context& step, std::uint32_t service_slot)
{
    const core_state& state = step.state;
    const service_runtime& service = state.known.services[service_slot];
    const auto is_lost = [&step](host_id host)
    {
        const auto found = step.state.hosts.others.find(host);
        const bool left =
            found != step.state.hosts.others.end() && found->second.state == host_state::left;
        return host != host_id::none && !left && !is_reachable(step.state.hosts, host, step.now);
    };
    const auto& views = state.views.views;
    for (std::size_t i = 1; i < views.size(); ++i)
    {
        // What was known before a view that had settled is known to its keepers.
        const bool covered = views[i - 1].synced;
        if (covered || step.now - views[i].superseded_at > service.idle_timeout)
        {
            return false;
        }
        const owner_pair before = owners_in(views[i], service.id);
        const bool no_standby = before.standby == host_id::none;
        if (is_lost(before.primary) && (no_standby || is_lost(before.standby)))
        {
            return true;
        }
    }
    return false;
}

relay_header make_header(const step_context& step, const packet_in_hand& hand, relay_kind kind)
{
    relay_header header;
    header.kind = kind;
    header.hops = static_cast<std::uint8_t>(hand.hops + 1);
    header.ingress = hand.ingress;
    header.coordinator = hand.coordinator;
    header.service = step.state.known.services[hand.service_slot].id;
    return header;
}

void pass_along(step_context& step, relay_header header, const packet_in_hand& hand)
{
    if (hand.hops >= max_hops)
    {
        ++step.state.counters[counter::dropped_hops];
        return;
    }
    const host_id next = header.path.front();
    header.path.erase(header.path.begin());
    send_relay(step, next, header, hand.packet);
}

} // namespace briarbarrow

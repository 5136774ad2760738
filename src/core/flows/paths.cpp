// The hosts that a packet visits: on the way to its backend server, and in the search for its
// record; and whether such a search is conclusive.
#include <algorithm>

#include "core/step_parts.hpp"

namespace briarbarrow
{

namespace
{

// Limit on how often a packet is forwarded between hosts, to end loops.
constexpr std::uint8_t max_hops = 12;
// A search visits all other hosts when there are at most this many.
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

// Adds the reachable owners of views that were superseded within the horizon.
void add_former_owners(step_context& step, host_path& path, std::uint32_t service_slot,
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
        const owner_pair former = owners_in(views[i], service);
        add_reachable(step, path, former.primary);
        add_reachable(step, path, former.standby);
    }
}

// Adds all other reachable hosts in a small domain.
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

host_path make_replication_path(step_context& step, std::uint32_t service_slot, millis horizon)
{
    core_state& state = step.state;
    host_path path;
    const owner_pair owners = current_owners(state, service_slot);
    add_once(path, owners.primary, state.hosts.self.id);
    add_once(path, owners.standby, state.hosts.self.id);
    add_former_owners(step, path, service_slot, horizon);
    if (horizon > view_overlap_window)
    {
        add_all_if_few(step, path);
    }
    return path;
}

host_path make_search_path(step_context& step, std::uint32_t service_slot, millis horizon)
{
    host_path path;
    const owner_pair owners = current_owners(step.state, service_slot);
    add_reachable(step, path, owners.primary);
    add_reachable(step, path, owners.standby);
    add_former_owners(step, path, service_slot, horizon);
    add_all_if_few(step, path);
    return path;
}

bool is_search_complete(const step_context& step)
{
    const membership& hosts = step.state.hosts;
    const auto is_suspected = [](const auto& entry)
    {
        return entry.second.suspected;
    };
    const bool any_suspected = std::any_of(hosts.others.begin(), hosts.others.end(), is_suspected);
    return !any_suspected && has_quorum_lease(hosts, step.now);
}

bool lost_both_owners(const step_context& step, std::uint32_t service_slot)
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
        // Once a view is synced, its owners have every record of the views before it.
        const bool already_synced = views[i - 1].synced;
        if (already_synced || step.now - views[i].superseded_at > service.idle_timeout)
        {
            return false;
        }
        const owner_pair former = owners_in(views[i], service.id);
        const bool no_standby = former.standby == host_id::none;
        if (is_lost(former.primary) && (no_standby || is_lost(former.standby)))
        {
            return true;
        }
    }
    return false;
}

relay_header make_relay_header(const step_context& step, const routed_packet& routed,
                               relay_kind kind)
{
    relay_header header;
    header.kind = kind;
    header.hops = static_cast<std::uint8_t>(routed.hops + 1);
    header.ingress = routed.ingress;
    header.coordinator = routed.coordinator;
    header.service = step.state.known.services[routed.service_slot].id;
    return header;
}

void forward_along_path(step_context& step, relay_header header, const routed_packet& routed)
{
    if (routed.hops >= max_hops)
    {
        ++step.state.counters[counter::dropped_hops];
        return;
    }
    const host_id next = header.path.front();
    header.path.erase(header.path.begin());
    send_relay(step, next, header, routed.packet);
}

} // namespace briarbarrow

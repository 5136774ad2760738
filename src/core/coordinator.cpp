// Ways 2 to 5 of a packet: what keepers do.
#include <algorithm>

#include "core/choice.hpp"
#include "core/step_parts.hpp"

namespace briarbarrow
{

namespace
{

// A packet is passed between hosts at most this often.
constexpr std::uint8_t max_hops = 12;
// After this many forwards the holder coordinates, whatever its view says.
constexpr std::uint8_t max_forwards = 3;
// The ingress is told where a flow goes from this many passes on; short flows are not worth it.
constexpr std::uint8_t passes_before_hint = 3;
// A confirmation this old is asked for again.
constexpr millis refresh_after{4'000};
// In a domain of up to this many others, a search asks all of them.
constexpr std::size_t search_all_others = max_path_hosts;

// What is to become of an opening packet whose flow has a record already.
enum class reuse : std::uint8_t
{
    keep,
    replace,
    drop
};

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

// The keepers that a packet visits before its backend server: those of today, and those of views
// that hosts may still have.
host_path chain_of(step_context& step, std::uint32_t service_slot)
{
    core_state& state = step.state;
    host_path chain;
    const keeper_pair keepers = current_keepers(state, service_slot);
    add_once(chain, keepers.primary, state.hosts.self.id);
    add_once(chain, keepers.standby, state.hosts.self.id);
    const service_id service = state.known.services[service_slot].id;
    const auto& views = state.views.views;
    for (std::size_t i = 1; i < views.size(); ++i)
    {
        if (step.now - views[i].superseded > overlap_span)
        {
            break;
        }
        const keeper_pair before = keepers_in(views[i], service);
        add_reachable(step, chain, before.primary);
        add_reachable(step, chain, before.standby);
    }
    return chain;
}

// The hosts that may know a flow which its coordinator does not.
host_path search_path_of(step_context& step, std::uint32_t service_slot, millis horizon)
{
    core_state& state = step.state;
    host_path path;
    const keeper_pair keepers = current_keepers(state, service_slot);
    add_reachable(step, path, keepers.primary);
    add_reachable(step, path, keepers.standby);
    const service_id service = state.known.services[service_slot].id;
    const auto& views = state.views.views;
    for (std::size_t i = 1; i < views.size(); ++i)
    {
        if (step.now - views[i].superseded > horizon)
        {
            break;
        }
        const keeper_pair before = keepers_in(views[i], service);
        add_reachable(step, path, before.primary);
        add_reachable(step, path, before.standby);
    }
    if (state.hosts.others.size() <= search_all_others)
    {
        for (const auto& [id, other] : state.hosts.others)
        {
            add_reachable(step, path, id);
        }
    }
    return path;
}

// True when no host that could know a flow is out of reach without being counted out.
bool is_search_complete(const step_context& step)
{
    const membership& hosts = step.state.hosts;
    const auto in_limbo = [](const auto& entry)
    {
        return entry.second.suspected;
    };
    const bool limbo = std::any_of(hosts.others.begin(), hosts.others.end(), in_limbo);
    return !limbo && has_grant(hosts, step.now);
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

// Sends a packet to a backend server through the other keepers.
void send_through_keepers(step_context& step, const packet_in_hand& hand, flow_entry& entry)
{
    entry.passes += entry.passes < 255 ? 1 : 0;
    host_path chain = chain_of(step, hand.service_slot);
    if (chain.empty())
    {
        entry.confirmed = true;
        entry.partner_slot = no_host_slot;
        entry.refreshed = stamp_of(step.now);
        send_to_backend(step, entry.backend_slot, hand.packet);
        return;
    }
    const backend_runtime& backend = step.state.known.backends[entry.backend_slot];
    relay_header header = make_header(step, hand, relay_kind::deposit);
    header.coordinator = step.state.hosts.self.id;
    const bool stale = since(entry.refreshed, step.now) >= refresh_after;
    header.wants_confirmation = stale || !is_confirmed(step.state, entry);
    header.service = step.state.known.services[entry.service_slot].id;
    header.backend = backend.id;
    header.backend_packets = backend.packets;
    header.path = chain;
    pass_along(step, header, hand);
}

reuse judge_reuse(const step_context& step, const packet_in_hand& hand, const flow_entry& entry)
{
    const backend_runtime& backend = step.state.known.backends[entry.backend_slot];
    const bool same_service = entry.service_slot == hand.service_slot;
    const bool young = since(entry.created, step.now) < racing_span;
    if (same_service && (backend.takes_flows || (young && entry.phase == flow_phase::open)))
    {
        return reuse::keep;
    }
    // The old backend server gets no new work. Hints to it may be left for a while.
    const bool hints_gone = since(entry.last_seen, step.now) >= hint_lifetime;
    return hints_gone ? reuse::replace : reuse::drop;
}

void place_flow(step_context& step, const packet_in_hand& hand)
{
    core_state& state = step.state;
    const service_runtime& service = state.known.services[hand.service_slot];
    if (!service.configured)
    {
        ++state.counters[counter::dropped_unknown_service];
        return;
    }
    const auto backend_slot = choose_backend(state.known, service, hand.key);
    if (!backend_slot)
    {
        // Nothing of this flow was sent on: the refusal is true.
        ++state.counters[counter::openings_refused];
        send_reset(step, hand.packet);
        return;
    }
    ++state.counters[counter::flows_opened];
    ++state.known.backends[*backend_slot].opened;
    flow_entry& entry = add_record(step, hand.key, hand.service_slot, *backend_slot);
    send_through_keepers(step, hand, entry);
}

// True when this host may choose a backend server now.
bool may_place(step_context& step, const packet_in_hand& hand)
{
    core_state& state = step.state;
    const bool granted = has_grant(state.hosts, step.now);
    const bool alone = is_cut_off(state.hosts, step.now);
    const bool live = state.hosts.state == host_state::live;
    const bool last = state.hosts.state == host_state::leaving &&
                      current_keepers(state, hand.service_slot).primary == host_id::none;
    if (!live && !last)
    {
        ++state.counters[counter::dropped_no_keeper];
        return false;
    }
    const bool strict = state.known.services[hand.service_slot].at_most_once &&
                        hand.packet.tuple.protocol == transport::udp;
    if (!granted && (!alone || strict))
    {
        ++state.counters[counter::dropped_no_grant];
        return false;
    }
    return true;
}

void reopen(step_context& step, const packet_in_hand& hand, flow_entry& entry)
{
    switch (judge_reuse(step, hand, entry))
    {
    case reuse::drop:
        ++step.state.counters[counter::dropped_quarantine];
        return;
    case reuse::replace:
        ++step.state.counters[counter::flows_replaced];
        if (may_place(step, hand))
        {
            place_flow(step, hand);
        }
        return;
    case reuse::keep:
        break;
    }
    if (entry.phase != flow_phase::open)
    {
        ++step.state.counters[counter::flows_reopened];
        change_phase(step.state, entry, flow_phase::open);
        entry.created = stamp_of(step.now);
    }
    entry.last_seen = stamp_of(step.now);
    send_through_keepers(step, hand, entry);
}

bool take_search_token(step_context& step)
{
    core_state& state = step.state;
    if (step.now - state.search_tokens_since >= millis{1'000})
    {
        state.search_tokens = searches_per_second;
        state.search_tokens_since = step.now;
    }
    if (state.search_tokens <= 0)
    {
        ++state.counters[counter::dropped_search_limit];
        return false;
    }
    --state.search_tokens;
    return true;
}

// True when two keepers that may have held records of a service are both lost, so that a datagram
// without a record may have been sent to a backend server before.
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
        if (step.now - views[i].superseded > service.idle_timeout)
        {
            return false;
        }
        const keeper_pair before = keepers_in(views[i], service.id);
        const bool no_standby = before.standby == host_id::none;
        if (is_lost(before.primary) && (no_standby || is_lost(before.standby)))
        {
            return true;
        }
    }
    return false;
}

// The last word on a packet whose flow no reachable host knows.
void settle_unknown(step_context& step, const packet_in_hand& hand, bool complete)
{
    core_state& state = step.state;
    if (hand.packet.tuple.protocol == transport::tcp)
    {
        if (complete)
        {
            send_reset(step, hand.packet);
            return;
        }
        ++state.counters[counter::dropped_incomplete_search];
        return;
    }
    const bool strict = state.known.services[hand.service_slot].at_most_once;
    if (strict && (!complete || lost_both_keepers(step, hand.service_slot)))
    {
        // The record may exist out of reach: to place the datagram could run it twice.
        ++state.counters[counter::dropped_uncertain];
        return;
    }
    if (may_place(step, hand))
    {
        place_flow(step, hand);
    }
}

void search(step_context& step, const packet_in_hand& hand)
{
    const service_runtime& service = step.state.known.services[hand.service_slot];
    const host_path path = search_path_of(step, hand.service_slot, service.idle_timeout);
    const bool complete = is_search_complete(step);
    if (path.empty())
    {
        settle_unknown(step, hand, complete);
        return;
    }
    if (!take_search_token(step))
    {
        return;
    }
    relay_header header = make_header(step, hand, relay_kind::search);
    header.coordinator = step.state.hosts.self.id;
    header.search_complete = complete;
    header.path = path;
    pass_along(step, header, hand);
}

// True when a datagram of an unknown flow may belong to one that other hosts have records of.
bool may_be_known_elsewhere(const step_context& step, std::uint32_t service_slot)
{
    const core_state& state = step.state;
    const service_runtime& service = state.known.services[service_slot];
    const auto& views = state.views.views;
    const bool grew_up_lately = step.now - state.hosts.state_since < service.idle_timeout;
    const bool changed_lately =
        views.size() > 1 && step.now - views[1].superseded < service.idle_timeout;
    // An oldest view that is still young hides whatever came before it.
    const bool history_full =
        views.size() == max_views && step.now - views.back().superseded < service.idle_timeout;
    return grew_up_lately || changed_lately || history_full || !is_search_complete(step);
}

void coordinate_unknown(step_context& step, const packet_in_hand& hand)
{
    const bool datagram = hand.packet.tuple.protocol == transport::udp;
    const bool opening = hand.packet.role == packet_role::opening ||
                         (datagram && !may_be_known_elsewhere(step, hand.service_slot));
    if (!opening)
    {
        search(step, hand);
        return;
    }
    if (may_place(step, hand))
    {
        place_flow(step, hand);
    }
}

flow_entry* find_record(core_state& state, const flow_key& key)
{
    flow_entry* entry = state.flows.find(key);
    const bool is_record = entry != nullptr && entry->role == flow_role::record;
    return is_record ? entry : nullptr;
}

// The record that a deposit leaves here: the one that was here already, or the header's.
flow_entry* record_of_deposit(step_context& step, const packet_in_hand& hand,
                              std::uint32_t backend_slot)
{
    core_state& state = step.state;
    flow_entry* entry = find_record(state, hand.key);
    if (entry == nullptr)
    {
        ++state.counters[counter::records_taken];
        return &add_record(step, hand.key, hand.service_slot, backend_slot);
    }
    if (entry->backend_slot == backend_slot)
    {
        const bool over = entry->phase != flow_phase::open;
        if (over && hand.packet.role == packet_role::opening)
        {
            change_phase(state, *entry, flow_phase::open);
        }
        return entry;
    }
    const bool opening = hand.packet.role == packet_role::opening;
    if (opening && judge_reuse(step, hand, *entry) != reuse::keep)
    {
        return &add_record(step, hand.key, hand.service_slot, backend_slot);
    }
    ++state.counters[counter::choices_overridden];
    return entry;
}

void finish_deposit(step_context& step, const packet_in_hand& hand, const relay_header& header,
                    flow_entry& entry)
{
    send_to_backend(step, entry.backend_slot, hand.packet);
    const bool overridden = step.state.known.backends[entry.backend_slot].id != header.backend;
    if (header.wants_confirmation || overridden)
    {
        queue_hint(step, header.coordinator, entry);
    }
    const bool worth = entry.passes >= passes_before_hint;
    if (worth && header.ingress != header.coordinator && hand.packet.role == packet_role::middle)
    {
        queue_hint(step, header.ingress, entry);
    }
}

void take_deposit(step_context& step, packet_in_hand& hand, const relay_header& header)
{
    core_state& state = step.state;
    const std::uint32_t named =
        learn_backend(state.known, header.backend, hand.service_slot, header.backend_packets);
    if (state.known.backends[named].service_slot != hand.service_slot)
    {
        // A backend server of another service: never send there.
        ++state.counters[counter::dropped_unknown_backend];
        return;
    }
    flow_entry& entry = *record_of_deposit(step, hand, named);
    note_packet(step, entry, hand.packet);
    entry.passes += entry.passes < 255 ? 1 : 0;
    entry.refreshed = stamp_of(step.now);
    entry.confirmed = true;
    entry.partner_slot = host_slot(state, header.coordinator);
    if (header.path.empty())
    {
        finish_deposit(step, hand, header, entry);
        return;
    }
    relay_header onward = header;
    onward.hops = static_cast<std::uint8_t>(hand.hops + 1);
    onward.backend = state.known.backends[entry.backend_slot].id;
    onward.backend_packets = state.known.backends[entry.backend_slot].packets;
    pass_along(step, onward, hand);
}

void take_search(step_context& step, packet_in_hand& hand, const relay_header& header)
{
    core_state& state = step.state;
    flow_entry* entry = state.flows.find(hand.key);
    const bool hint = entry != nullptr && entry->role == flow_role::hint;
    const bool fresh_hint = hint && since(entry->refreshed, step.now) < hint_lifetime;
    if (entry != nullptr && (!hint || fresh_hint))
    {
        note_packet(step, *entry, hand.packet);
        send_through_keepers(step, hand, *entry);
        return;
    }
    relay_header onward = header;
    onward.hops = static_cast<std::uint8_t>(hand.hops + 1);
    if (onward.path.empty())
    {
        onward.kind = relay_kind::absent;
        onward.path.push_back(header.coordinator);
    }
    pass_along(step, onward, hand);
}

void take_absent(step_context& step, packet_in_hand& hand, const relay_header& header)
{
    // The flow may have become known while the packet was on its way.
    if (find_record(step.state, hand.key) != nullptr)
    {
        coordinate(step, hand);
        return;
    }
    settle_unknown(step, hand, header.search_complete && is_search_complete(step));
}

void take_forward(step_context& step, packet_in_hand& hand)
{
    core_state& state = step.state;
    const host_id self = state.hosts.self.id;
    const keeper_pair keepers = current_keepers(state, hand.service_slot);
    const bool known = find_record(state, hand.key) != nullptr && is_keeper(keepers, self);
    const bool settle = hand.hops >= max_forwards || keepers.primary == host_id::none;
    if (known || settle || keepers.primary == self)
    {
        coordinate(step, hand);
        return;
    }
    relay_header header = make_header(step, hand, relay_kind::forward);
    send_relay(step, keepers.primary, header, hand.packet);
}

} // namespace

void coordinate(step_context& step, const packet_in_hand& hand)
{
    flow_entry* entry = find_record(step.state, hand.key);
    if (entry == nullptr)
    {
        coordinate_unknown(step, hand);
        return;
    }
    if (hand.packet.role == packet_role::opening)
    {
        reopen(step, hand, *entry);
        return;
    }
    note_packet(step, *entry, hand.packet);
    send_through_keepers(step, hand, *entry);
}

void take_relay(step_context& step, const relay_header& header, std::span<const std::uint8_t> bytes)
{
    core_state& state = step.state;
    const auto parsed = parse_counted(step, bytes);
    if (!parsed)
    {
        return;
    }
    const packet_view& packet = *parsed;
    const auto by_name = find_service(state.known, header.service);
    const auto by_address = find_service(state.known, packet.tuple);
    const bool named = header.kind == relay_kind::deposit;
    if (!by_name && (named || !by_address))
    {
        ++state.counters[counter::dropped_unknown_service];
        return;
    }
    const std::uint32_t service_slot = by_name ? *by_name : *by_address;
    packet_in_hand hand{packet,         flow_key_of(packet.tuple), service_slot,
                        header.ingress, header.coordinator,        header.hops};
    switch (header.kind)
    {
    case relay_kind::forward:
        take_forward(step, hand);
        break;
    case relay_kind::deposit:
        take_deposit(step, hand, header);
        break;
    case relay_kind::search:
        take_search(step, hand, header);
        break;
    case relay_kind::absent:
        take_absent(step, hand, header);
        break;
    }
}

} // namespace briarbarrow

#include "core/step_parts.hpp"

#include <algorithm>

namespace briarbarrow
{

namespace
{

// Limit on the remembered sources of refused datagrams, each of which is logged once.
constexpr std::size_t max_refused_sources = 64;

std::uint64_t endpoint_hash(const endpoint& value)
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    std::copy_n(value.address.bytes.data(), 8, reinterpret_cast<std::uint8_t*>(&high));
    std::copy_n(value.address.bytes.data() + 8, 8, reinterpret_cast<std::uint8_t*>(&low));
    return mix(mix(high, low), value.port);
}

host_id host_at_endpoint(const core_state& state, const endpoint& from)
{
    const auto found = state.host_by_packet_endpoint.find(endpoint_hash(from));
    return found == state.host_by_packet_endpoint.end() ? host_id::none : found->second;
}

void index_hosts(core_state& state)
{
    state.host_by_packet_endpoint.clear();
    for (const auto& [id, other] : state.hosts.others)
    {
        state.host_by_packet_endpoint[endpoint_hash(other.info.packets)] = id;
    }
}

void refuse_source(step_context& step, const endpoint& from)
{
    core_state& state = step.state;
    ++state.counters[counter::refused_source];
    const bool room = state.refused_sources.size() < max_refused_sources;
    if (room && state.refused_sources.insert(from.address).second)
    {
        step.out.events.push_back(
            "datagrams from " + to_string(from) +
            " are refused: the sender is neither a known host nor the fabric");
    }
}

void compare_configuration(step_context& step, host_id sender, const heartbeat& beat)
{
    core_state& state = step.state;
    const endpoint& source = state.hosts.others.at(sender).info.peers;
    if (beat.revision > state.revision)
    {
        auto& sources = step.out.configuration_sources;
        if (std::find(sources.begin(), sources.end(), source) == sources.end())
        {
            sources.push_back(source);
        }
    }
    const bool same_revision = beat.revision == state.revision && state.revision != 0;
    if (same_revision && beat.digest != state.digest)
    {
        ++state.counters[counter::configurations_conflicting];
    }
}

void handle_control(step_context& step, host_id sender, control_kind kind,
                    std::span<const std::uint8_t> body)
{
    core_state& state = step.state;
    bool well_formed = false;
    switch (kind)
    {
    case control_kind::heartbeat:
        if (const auto beat = decode_message<heartbeat>(body))
        {
            well_formed = true;
            handle_heartbeat(state.hosts, sender, *beat, step.now);
            compare_configuration(step, sender, *beat);
        }
        break;
    case control_kind::hints:
        if (const auto message = decode_message<hints>(body))
        {
            well_formed = true;
            for (const hint& received : message->entries)
            {
                handle_hint(step, sender, received);
            }
        }
        break;
    case control_kind::records:
        if (const auto batch = decode_message<record_batch>(body))
        {
            well_formed = true;
            handle_records(step, sender, *batch);
        }
        break;
    case control_kind::records_taken:
        if (const auto ack = decode_message<record_batch_ack>(body))
        {
            well_formed = true;
            handle_records_ack(step, sender, *ack);
        }
        break;
    }
    state.counters[counter::bad_message] += well_formed ? 0 : 1;
}

void handle_host_frame(step_context& step, host_id sender, const frame& received)
{
    if (received.control)
    {
        handle_control(step, sender, *received.control, received.body);
        return;
    }
    if (!received.relay)
    {
        // Only the fabric may send bare packets.
        ++step.state.counters[counter::refused_source];
        return;
    }
    ++step.state.counters[counter::packets_from_hosts];
    for (const hint& received_hint : received.relay->hints)
    {
        handle_hint(step, sender, received_hint);
    }
    handle_relayed_packet(step, *received.relay, received.body);
}

void handle_datagram(step_context& step, const datagram_event& datagram)
{
    core_state& state = step.state;
    const host_id sender = host_at_endpoint(state, datagram.from);
    const bool from_fabric =
        sender == host_id::none && state.settings.fabric.contains(datagram.from.address);
    if (sender == host_id::none && !from_fabric)
    {
        refuse_source(step, datagram.from);
        return;
    }
    const auto decoded = decode_frame(datagram.bytes);
    if (!decoded)
    {
        const auto reason = static_cast<std::size_t>(decoded.error());
        ++state.counters[counter_after(counter::bad_frame_truncated, reason)];
        return;
    }
    if (sender != host_id::none)
    {
        handle_host_frame(step, sender, decoded.value());
        return;
    }
    if (decoded.value().control || decoded.value().relay)
    {
        refuse_source(step, datagram.from);
        return;
    }
    handle_fabric_packet(step, decoded.value().body);
}

void flush_membership(step_context& step)
{
    core_state& state = step.state;
    membership_output& pending = state.hosts.output;
    for (const host_id to : pending.heartbeat_targets)
    {
        heartbeat beat = make_heartbeat(state.hosts, to);
        beat.revision = state.revision;
        beat.digest = state.digest;
        beat.synced_view = state.sweep.synced_view;
        send_control(step, to, control_kind::heartbeat, encode_message(beat));
    }
    const auto send_list = [&step, &state](host_id to, bool only_recent)
    {
        const auto found = state.hosts.others.find(to);
        if (found != state.hosts.others.end())
        {
            step.out.lists.push_back(outgoing_host_list{
                found->second.info.peers, make_host_list(state.hosts, only_recent, step.now)});
        }
    };
    for (const host_id to : pending.recent_list_targets)
    {
        send_list(to, true);
    }
    for (const host_id to : pending.full_list_targets)
    {
        send_list(to, false);
    }
    auto& events = step.out.events;
    events.insert(events.end(), pending.events.begin(), pending.events.end());
    pending = {};
}

bool is_drained(const core_state& state, millis now)
{
    const bool waited = now - state.hosts.state_since >= min_leave_duration;
    const bool others = !state.views.views.front().hosts.empty();
    return state.hosts.state == host_state::leaving && waited &&
           (!others || (state.sweep.synced_view != 0 && state.sweep.others_synced));
}

void handle_tick(step_context& step)
{
    core_state& state = step.state;
    tick_membership(state.hosts, step.now);
    sweep_flows(step);
    send_queued_hints(step);
    step.out.may_stop = is_drained(state, step.now);
    if (step.out.may_stop && !state.left_announced)
    {
        state.left_announced = true;
        announce_stop(state.hosts, step.now);
    }
}

void handle_configuration(step_context& step, const configuration_event& incoming)
{
    core_state& state = step.state;
    if (incoming.value.revision < state.revision)
    {
        ++state.counters[counter::configurations_old];
        return;
    }
    if (incoming.value.revision == state.revision)
    {
        if (incoming.digest != state.digest)
        {
            ++state.counters[counter::configurations_conflicting];
            step.out.events.push_back(
                "configuration revision " + std::to_string(state.revision) +
                " was received with a different digest; the one in force stays");
        }
        return;
    }
    if (!check_configuration(incoming.value).empty())
    {
        ++state.counters[counter::configurations_bad];
        step.out.events.push_back("configuration revision " +
                                  std::to_string(incoming.value.revision) +
                                  " is refused: it failed validation");
        return;
    }
    apply_configuration(state.known, incoming.value);
    state.revision = incoming.value.revision;
    state.digest = incoming.digest;
    ++state.counters[counter::configurations_taken];
    step.out.events.push_back("configuration revision " + std::to_string(state.revision) +
                              " is in force (change " + incoming.value.change_id + ")");
}

void handle_hosts(step_context& step, const hosts_event& incoming)
{
    for (const reported_host& host : incoming.hosts)
    {
        apply_reported_host(step.state.hosts, host, step.now);
    }
}

} // namespace

void start_core(core_state& state, const core_settings& settings, millis now)
{
    state.settings = settings;
    state.host_slots.assign(1, {});
    state.sweep.record_tokens_refilled_at = now;
    state.hint_tokens_refilled_at = now;
    start_membership(state.hosts, settings.self, now);
    update_views(state.views, state.hosts, now);
}

void step(core_state& state, const event& input, millis now, actions& out)
{
    step_context context{state, now, out};
    if (const auto* datagram = std::get_if<datagram_event>(&input))
    {
        handle_datagram(context, *datagram);
    }
    else if (const auto* packet = std::get_if<packet_event>(&input))
    {
        handle_fabric_packet(context, packet->bytes);
    }
    else if (std::holds_alternative<tick_event>(input))
    {
        handle_tick(context);
    }
    else if (const auto* configured = std::get_if<configuration_event>(&input))
    {
        handle_configuration(context, *configured);
    }
    else if (const auto* hosts = std::get_if<hosts_event>(&input))
    {
        handle_hosts(context, *hosts);
    }
    else if (std::holds_alternative<leave_event>(input))
    {
        begin_leaving(state.hosts, now);
    }
    const std::uint64_t changes_before = state.views.seen_changes;
    if (update_views(state.views, state.hosts, now))
    {
        // A round that began before the newest view does not show whether that view is synced.
        state.sweep.next_segment = 0;
        state.sweep.rounds = 0;
        state.sweep.round_unsynced_records = 0;
        state.sweep.synced_view = 0;
        state.sweep.others_synced = false;
    }
    if (changes_before != state.views.seen_changes)
    {
        index_hosts(state);
    }
    flush_membership(context);
}

void clear_actions(actions& out)
{
    out.datagrams.clear();
    out.lists.clear();
    out.configuration_sources.clear();
    out.events.clear();
    out.may_stop = false;
}

bool has_configuration(const core_state& state, std::uint64_t revision)
{
    return state.revision >= revision;
}

} // namespace briarbarrow

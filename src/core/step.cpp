#include "core/step_parts.hpp"

#include <algorithm>

namespace briarbarrow
{

namespace
{

// Sources of refused datagrams that are remembered, to log each of them once.
constexpr std::size_t max_refused_sources = 64;

std::uint64_t endpoint_hash(const endpoint& value)
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    std::copy_n(value.address.bytes.data(), 8, reinterpret_cast<std::uint8_t*>(&high));
    std::copy_n(value.address.bytes.data() + 8, 8, reinterpret_cast<std::uint8_t*>(&low));
    return mix(mix(high, low), value.port);
}

host_id host_at(const core_state& state, const endpoint& from)
{
    const auto found = state.host_by_packets.find(endpoint_hash(from));
    return found == state.host_by_packets.end() ? host_id::none : found->second;
}

void index_hosts(core_state& state)
{
    state.host_by_packets.clear();
    for (const auto& [id, other] : state.hosts.others)
    {
        state.host_by_packets[endpoint_hash(other.info.packets)] = id;
    }
}

void refuse_source(step_context& step, const endpoint& from)
{
    core_state& state = step.state;
    ++state.counters[counter::refused_source];
    const bool room = state.refused_sources.size() < max_refused_sources;
    if (room && state.refused_sources.insert(from.address).second)
    {
        step.out.events.push_back("datagrams from " + to_string(from) +
                                  " are refused: it is no member and not the fabric");
    }
}

void notice_configuration(step_context& step, host_id sender, const heartbeat& beat)
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

void take_control(step_context& step, host_id sender, control_kind kind,
                  std::span<const std::uint8_t> body)
{
    core_state& state = step.state;
    bool good = false;
    switch (kind)
    {
    case control_kind::heartbeat:
        if (const auto beat = decode_message<heartbeat>(body))
        {
            good = true;
            take_heartbeat(state.hosts, sender, *beat, step.now);
            notice_configuration(step, sender, *beat);
        }
        break;
    case control_kind::hints:
        if (const auto told = decode_message<hints>(body))
        {
            good = true;
            for (const hint& one : told->entries)
            {
                take_hint(step, sender, one);
            }
        }
        break;
    case control_kind::records:
        if (const auto batch = decode_message<record_batch>(body))
        {
            good = true;
            take_records(step, sender, *batch);
        }
        break;
    case control_kind::records_taken:
        if (const auto answer = decode_message<record_batch_ack>(body))
        {
            good = true;
            take_records_taken(step, sender, *answer);
        }
        break;
    }
    state.counters[counter::bad_message] += good ? 0 : 1;
}

void take_host_frame(step_context& step, host_id sender, const frame& read)
{
    if (read.control)
    {
        take_control(step, sender, *read.control, read.body);
        return;
    }
    if (!read.relay)
    {
        // A bare packet comes from the fabric only.
        ++step.state.counters[counter::refused_source];
        return;
    }
    ++step.state.counters[counter::packets_from_hosts];
    for (const hint& told : read.relay->hints)
    {
        take_hint(step, sender, told);
    }
    take_relay(step, *read.relay, read.body);
}

void take_datagram(step_context& step, const datagram_event& datagram)
{
    core_state& state = step.state;
    const host_id sender = host_at(state, datagram.from);
    const bool from_fabric =
        sender == host_id::none && state.settings.fabric.contains(datagram.from.address);
    if (sender == host_id::none && !from_fabric)
    {
        refuse_source(step, datagram.from);
        return;
    }
    const auto read = decode_frame(datagram.bytes);
    if (!read)
    {
        const auto reason = static_cast<std::size_t>(read.error());
        ++state.counters[counter_after(counter::bad_frame_truncated, reason)];
        return;
    }
    if (sender != host_id::none)
    {
        take_host_frame(step, sender, read.value());
        return;
    }
    if (read.value().control || read.value().relay)
    {
        refuse_source(step, datagram.from);
        return;
    }
    take_fabric_packet(step, read.value().body);
}

void flush_membership(step_context& step)
{
    core_state& state = step.state;
    membership_output& wanted = state.hosts.output;
    for (const host_id to : wanted.heartbeats)
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
            step.out.lists.push_back(outgoing_list{
                found->second.info.peers, make_host_list(state.hosts, only_recent, step.now)});
        }
    };
    for (const host_id to : wanted.recent_lists)
    {
        send_list(to, true);
    }
    for (const host_id to : wanted.full_lists)
    {
        send_list(to, false);
    }
    auto& events = step.out.events;
    events.insert(events.end(), wanted.events.begin(), wanted.events.end());
    wanted = {};
}

bool is_drained(const core_state& state, millis now)
{
    const bool lingered = now - state.hosts.state_since >= leave_linger;
    const bool others = !state.views.views.front().hosts.empty();
    return state.hosts.state == host_state::leaving && lingered &&
           (!others || (state.sweep.synced_view != 0 && state.sweep.others_settled));
}

void take_tick(step_context& step)
{
    core_state& state = step.state;
    tick_membership(state.hosts, step.now);
    sweep_flows(step);
    send_waiting_hints(step);
    step.out.may_stop = is_drained(state, step.now);
    if (step.out.may_stop && !state.stopping_said)
    {
        state.stopping_said = true;
        say_left(state.hosts, step.now);
    }
}

void take_configuration(step_context& step, const configuration_event& told)
{
    core_state& state = step.state;
    if (told.value.revision < state.revision)
    {
        ++state.counters[counter::configurations_old];
        return;
    }
    if (told.value.revision == state.revision)
    {
        if (told.digest != state.digest)
        {
            ++state.counters[counter::configurations_conflicting];
            step.out.events.push_back("configuration revision " + std::to_string(state.revision) +
                                      " exists with two contents; the one in force stays");
        }
        return;
    }
    if (!check_configuration(told.value).empty())
    {
        ++state.counters[counter::configurations_bad];
        step.out.events.push_back("configuration revision " + std::to_string(told.value.revision) +
                                  " is refused: it does not pass the checks");
        return;
    }
    apply_configuration(state.known, told.value);
    state.revision = told.value.revision;
    state.digest = told.digest;
    ++state.counters[counter::configurations_taken];
    step.out.events.push_back("configuration revision " + std::to_string(state.revision) +
                              " is in force (change " + told.value.change_id + ")");
}

void take_hosts(step_context& step, const hosts_event& told)
{
    for (const reported_host& host : told.hosts)
    {
        learn_host(step.state.hosts, host, step.now);
    }
}

} // namespace

void start_core(core_state& state, const core_settings& settings, millis now)
{
    state.settings = settings;
    state.host_slots.assign(1, {});
    state.sweep.tokens_since = now;
    state.hint_tokens_since = now;
    start_membership(state.hosts, settings.self, now);
    update_views(state.views, state.hosts, now);
}

void step(core_state& state, const event& happened, millis now, actions& out)
{
    step_context context{state, now, out};
    if (const auto* datagram = std::get_if<datagram_event>(&happened))
    {
        take_datagram(context, *datagram);
    }
    else if (const auto* packet = std::get_if<packet_event>(&happened))
    {
        take_fabric_packet(context, packet->bytes);
    }
    else if (std::holds_alternative<tick_event>(happened))
    {
        take_tick(context);
    }
    else if (const auto* told = std::get_if<configuration_event>(&happened))
    {
        take_configuration(context, *told);
    }
    else if (const auto* hosts = std::get_if<hosts_event>(&happened))
    {
        take_hosts(context, *hosts);
    }
    else if (std::holds_alternative<leave_event>(happened))
    {
        begin_leaving(state.hosts, now);
    }
    const std::uint64_t changes_before = state.views.seen_changes;
    if (update_views(state.views, state.hosts, now))
    {
        // A round that began before the newest view says nothing of it.
        state.sweep.next_segment = 0;
        state.sweep.rounds = 0;
        state.sweep.unmoved = 0;
        state.sweep.synced_view = 0;
        state.sweep.others_settled = false;
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

#include "core/step_parts.hpp"

namespace briarbarrow
{

namespace
{

// Size of the UDP and IPv4 headers of a control datagram, which count as control bytes too.
constexpr std::uint64_t datagram_overhead_bytes = 28;

counter control_counter(control_kind kind)
{
    switch (kind)
    {
    case control_kind::heartbeat:
        return counter::control_bytes_heartbeat;
    case control_kind::hints:
        return counter::control_bytes_hint;
    case control_kind::records:
    case control_kind::records_taken:
        break;
    }
    return counter::control_bytes_records;
}

outgoing& new_datagram(step_context& step, const endpoint& to, std::span<const std::uint8_t> body)
{
    outgoing& datagram = step.out.datagrams.emplace_back();
    datagram.to = to;
    datagram.body = body;
    return datagram;
}

} // namespace

const endpoint* packet_endpoint_of(const core_state& state, host_id host)
{
    const auto found = state.hosts.others.find(host);
    return found == state.hosts.others.end() ? nullptr : &found->second.info.packets;
}

void send_to_backend(step_context& step, std::uint32_t backend_slot, const packet_view& packet)
{
    const backend_runtime& backend = step.state.known.backends[backend_slot];
    outgoing& datagram = new_datagram(step, backend.packets, packet.bytes);
    encode_plain_header(datagram.head, packet.bytes);
    ++step.state.counters[counter::packets_to_backends];
}

bool send_relay(step_context& step, host_id to, relay_header header, const packet_view& packet)
{
    const endpoint* receiver = packet_endpoint_of(step.state, to);
    if (receiver == nullptr)
    {
        return false;
    }
    attach_hints(step.state, to, header);
    outgoing& datagram = new_datagram(step, *receiver, packet.bytes);
    encode_relay_header(datagram.head, header, packet.bytes);
    const auto kind = static_cast<std::size_t>(header.kind);
    ++step.state.counters[counter_after(counter::packets_forwarded, kind)];
    return true;
}

void send_reset(step_context& step, const packet_view& packet)
{
    // A reset must not trigger another reset (RFC 9293).
    if (packet.tuple.protocol != transport::tcp || packet.is_reset)
    {
        return;
    }
    outgoing& datagram = step.out.datagrams.emplace_back();
    datagram.to_caller = true;
    const reset_packet reset = make_reset(packet);
    datagram.head.assign(reset.begin(), reset.end());
    ++step.state.counters[counter::resets_to_callers];
}

void send_control(step_context& step, host_id to, control_kind kind, const message_bytes& body)
{
    const endpoint* receiver = packet_endpoint_of(step.state, to);
    if (receiver == nullptr)
    {
        return;
    }
    outgoing& datagram = new_datagram(step, *receiver, {});
    encode_control_frame(datagram.head, kind, body);
    step.state.counters[control_counter(kind)] += datagram.head.size() + datagram_overhead_bytes;
}

} // namespace briarbarrow

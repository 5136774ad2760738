// The callers and the backend servers of the simulation of idle flows.
#include "testing/idle_flow_parts.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::int64_t processing_ms = 20;
constexpr std::int64_t first_retransmission_ms = 200;
constexpr std::int64_t max_retransmission_ms = 1'600;
constexpr int max_retransmissions = 8;
constexpr std::uint32_t request_bytes = 100;
// Backend servers number their streams from here on, each in a range of its own.
constexpr std::uint32_t sequence_range = 1'000'000;
constexpr std::uint32_t sequence_ticks_per_ms = 250;

} // namespace

void idle_flow_fleet::resume_server(std::size_t index)
{
    simulated_server& server = this->servers[index];
    server.is_paused = false;
    std::deque<std::function<void()>> waiting;
    waiting.swap(server.waiting);
    for (const std::function<void()>& event : waiting)
    {
        event();
    }
}

void idle_flow_fleet::deliver_to_server(std::size_t index, std::size_t flow,
                                        const tagged_packet& packet)
{
    if (this->servers[index].is_paused)
    {
        this->servers[index].waiting.push_back([this, index, flow, packet]()
                                               { this->serve_packet(index, flow, packet); });
        return;
    }
    this->serve_packet(index, flow, packet);
}

void idle_flow_fleet::serve_packet(std::size_t index, std::size_t flow, const tagged_packet& packet)
{
    simulated_server& server = this->servers[index];
    if (packet.opens)
    {
        server.flows[flow].echo = packet.tag;
        this->send_syn_ack(index, flow);
        return;
    }
    const auto found = server.flows.find(flow);
    const bool is_acknowledged = packet.acknowledgement / sequence_range == index + 1;
    if (found == server.flows.end() || !is_acknowledged)
    {
        if (!this->is_within(this->options.full_links, index, 0))
        {
            this->after(network_delay_ms,
                        [this, index, flow]() { this->receive_reset(index, flow); });
        }
        return;
    }
    found->second.is_open = true;
    found->second.echo = packet.tag;
    const std::uint32_t echo = packet.tag;
    this->after(processing_ms,
                [this, index, flow, echo]()
                {
                    if (!this->is_within(this->options.full_links, index, 0))
                    {
                        this->receive_answer(index, flow, echo, true);
                    }
                });
}

void idle_flow_fleet::send_syn_ack(std::size_t index, std::size_t flow)
{
    held_flow& held = this->servers[index].flows[flow];
    const std::uint32_t echo = held.echo;
    if (!this->is_within(this->options.full_links, index, 0))
    {
        this->after(network_delay_ms, [this, index, flow, echo]()
                    { this->receive_answer(index, flow, echo, false); });
    }
    if (!this->options.repeats_syn_ack || held.repeats >= max_retransmissions)
    {
        return;
    }
    const std::int64_t delay_ms =
        std::min(first_retransmission_ms << held.repeats, max_retransmission_ms);
    ++held.repeats;
    this->after(delay_ms,
                [this, index, flow]()
                {
                    if (!this->servers[index].flows[flow].is_open)
                    {
                        this->send_syn_ack(index, flow);
                    }
                });
}

void idle_flow_fleet::receive_answer(std::size_t index, std::size_t flow, std::uint32_t echo,
                                     bool is_data)
{
    simulated_caller& caller = this->callers[flow];
    if (caller.has_ended)
    {
        return;
    }
    caller.packet.tag = echo;
    if (!is_data)
    {
        this->report.answered_twice +=
            caller.answering_servers.insert(index).second && caller.answering_servers.size() == 2
                ? 1
                : 0;
        if (!caller.server)
        {
            ++this->report.opened;
            caller.server = index;
            caller.packet.opens = false;
            caller.packet.has_ack = true;
            caller.packet.retransmissions = 0;
            caller.packet.acknowledgement =
                (static_cast<std::uint32_t>(index) + 1) * sequence_range + 1;
            ++caller.packet.sequence;
            this->send_request(flow);
        }
        return;
    }
    if (!caller.is_awaiting)
    {
        return;
    }
    caller.is_awaiting = false;
    ++this->report.answers;
    caller.packet.acknowledgement += 1'000;
    caller.packet.sequence += request_bytes;
    if (caller.requests < this->options.requests)
    {
        this->after(this->options.think_ms, [this, flow]() { this->send_request(flow); });
        return;
    }
    this->end_flow(flow);
}

// Both ends close an answered flow: the daemon sees the caller's last packet.
void idle_flow_fleet::end_flow(std::size_t flow)
{
    simulated_caller& caller = this->callers[flow];
    tagged_packet packet = caller.packet;
    packet.closes = true;
    packet.payload_bytes = 0;
    caller.has_ended = true;
    this->send_from_caller(flow, packet);
}

bool idle_flow_fleet::is_within(const std::vector<process_window>& windows, std::size_t index,
                                std::int64_t extra_ms) const
{
    return std::any_of(windows.begin(), windows.end(),
                       [this, index, extra_ms](const process_window& window)
                       {
                           return window.index == index && window.begin <= this->now_ms &&
                                  this->now_ms < window.end + extra_ms;
                       });
}

bool idle_flow_fleet::is_server_in_touch(std::size_t index) const
{
    return !this->is_within(this->options.paused_backends, index, stable_window_ms) &&
           !this->is_within(this->options.full_links, index, stable_window_ms);
}

void idle_flow_fleet::receive_reset(std::optional<std::size_t> index, std::size_t flow)
{
    simulated_caller& caller = this->callers[flow];
    if (caller.has_ended)
    {
        return;
    }
    caller.has_ended = true;
    if (!caller.server || index == caller.server)
    {
        return;
    }
    ++this->report.broken;
    const bool is_in_touch =
        !this->is_within(this->options.paused_daemons, caller.last_daemon, stable_window_ms) &&
        !this->is_within(this->options.kills, caller.last_daemon, stable_window_ms) &&
        this->is_server_in_touch(*caller.server) && (!index || this->is_server_in_touch(*index));
    this->report.broken_in_touch += is_in_touch ? 1 : 0;
}

bool idle_flow_fleet::is_port_free(std::size_t flow) const
{
    const std::size_t ports = this->options.ports;
    if (ports == 0 || flow < ports)
    {
        return true;
    }
    const simulated_caller& earlier = this->callers[flow - ports];
    return !earlier.has_begun || earlier.has_ended;
}

void idle_flow_fleet::open_flow(std::size_t flow)
{
    if (!this->is_port_free(flow))
    {
        return;
    }
    simulated_caller& caller = this->callers[flow];
    caller.has_begun = true;
    caller.packet.tuple.source = *parse_address("100.64.0.7");
    caller.packet.tuple.source_port =
        static_cast<std::uint16_t>(this->options.ports == 0 ? flow : flow % this->options.ports);
    caller.packet.tuple.destination = orders_address.address;
    caller.packet.tuple.destination_port = orders_address.port;
    caller.packet.opens = true;
    // As in RFC 6528: a number of the addresses, and a clock that ticks every 4 microseconds.
    caller.packet.sequence =
        1'000 + (this->options.repeats_sequence
                     ? 0
                     : static_cast<std::uint32_t>(this->now_ms) * sequence_ticks_per_ms);
    std::int64_t delay_ms = 0;
    for (std::uint32_t copy = 0; copy <= opening_retransmission_ms.size(); ++copy)
    {
        this->after(delay_ms,
                    [this, flow, copy]()
                    {
                        const simulated_caller& opening = this->callers[flow];
                        if (!opening.server && !opening.has_ended)
                        {
                            tagged_packet packet = opening.packet;
                            packet.retransmissions = copy;
                            this->send_from_caller(flow, packet);
                        }
                    });
        delay_ms += copy < opening_retransmission_ms.size() ? opening_retransmission_ms[copy]
                                                            : opening_give_up_time.count;
    }
    this->after(delay_ms, [this, flow]()
                { this->callers[flow].has_ended |= !this->callers[flow].server.has_value(); });
}

void idle_flow_fleet::send_request(std::size_t flow)
{
    simulated_caller& caller = this->callers[flow];
    if (caller.has_ended)
    {
        return;
    }
    ++caller.requests;
    caller.is_awaiting = true;
    const std::size_t request = caller.requests;
    std::int64_t delay_ms = 0;
    // Retransmitted until it is answered.
    for (int i = 0; i < max_retransmissions; ++i)
    {
        this->after(delay_ms,
                    [this, flow, request]()
                    {
                        const simulated_caller& sender = this->callers[flow];
                        if (sender.is_awaiting && sender.requests == request && !sender.has_ended)
                        {
                            tagged_packet packet = sender.packet;
                            packet.payload_bytes = request_bytes;
                            this->send_from_caller(flow, packet);
                        }
                    });
        delay_ms += std::min(first_retransmission_ms << i, max_retransmission_ms);
    }
}

} // namespace briarbarrow

// The callers and backend servers of the virtual network, and the checks of what reaches them.
#include <algorithm>

#include "testing/virtual_addresses.hpp"
#include "testing/virtual_net.hpp"

namespace briarbarrow
{

namespace
{

// Callers retransmit at a constant interval, without backoff, so that the longest wait measures the
// system and not the callers.
constexpr millis retry_interval{200};
constexpr millis finish_poll_interval{100};
// New flows at a draining backend server count as faults from this time on.
constexpr millis drain_timeout{3'000};
// Segment number that stands for the closing packet's answer.
constexpr std::uint32_t closing_segment = 0xffffffff;
constexpr std::size_t max_faults = 20;

flow_tuple reversed(const flow_tuple& tuple)
{
    return flow_tuple{tuple.destination, tuple.source, tuple.destination_port, tuple.source_port,
                      tuple.protocol};
}

std::uint64_t request_id(std::size_t flow, std::uint32_t segment)
{
    return (static_cast<std::uint64_t>(flow) << 32U) | segment;
}

packet_bytes build_packet(const virtual_flow& flow, std::uint32_t index)
{
    // The acknowledgement number tells successive flows with the same tuple apart.
    const std::uint32_t flow_mark = index + 1;
    std::string payload(8, '\0');
    for (std::size_t i = 0; i < 4; ++i)
    {
        payload[i] = static_cast<char>(flow.segment >> (8 * i));
    }
    if (flow.tuple.protocol == transport::udp)
    {
        return build_udp(flow.tuple, payload);
    }
    switch (flow.current)
    {
    case virtual_flow::phase::opening:
        return build_tcp(flow.tuple, {.syn = true}, 1, 0, "");
    case virtual_flow::phase::closing:
        return build_tcp(flow.tuple, {.ack = true, .fin = true}, flow.segment, flow_mark, "");
    case virtual_flow::phase::established:
    case virtual_flow::phase::over:
        break;
    }
    return build_tcp(flow.tuple, {.ack = true}, flow.segment, flow_mark, payload);
}

std::uint32_t segment_of(const packet_view& packet)
{
    const auto payload = packet.bytes.last(8);
    std::uint32_t segment = 0;
    for (std::size_t i = 0; i < 4; ++i)
    {
        segment |= static_cast<std::uint32_t>(payload[i]) << (8 * i);
    }
    return segment;
}

} // namespace

void virtual_net::record_fault(const std::string& text)
{
    if (this->totals.faults.size() < max_faults)
    {
        this->totals.faults.push_back("at " + std::to_string(this->clock.count) + " ms: " + text);
    }
}

void virtual_net::open_flows(std::size_t service, std::size_t count, millis window, int requests,
                             millis max_gap)
{
    const service_config& target = this->current.services[service];
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::size_t index = this->flows.size();
        virtual_flow flow;
        const std::array<std::uint8_t, 4> source{10, 0, static_cast<std::uint8_t>(index >> 16U),
                                                 static_cast<std::uint8_t>(index >> 8U)};
        flow.tuple.source = make_v4(source.data());
        flow.tuple.source_port = static_cast<std::uint16_t>(1024 + (index & 0xffU));
        flow.tuple.destination = target.addresses.front();
        flow.tuple.destination_port = target.port;
        flow.tuple.protocol = target.protocol;
        flow.service = service;
        flow.zone = index % this->settings.zones;
        flow.at_most_once = target.at_most_once;
        flow.requests_left = requests;
        std::uniform_int_distribution<std::int64_t> gap(max_gap.count / 2, max_gap.count);
        flow.gap = millis{gap(this->rng)};
        const bool datagram = target.protocol == transport::udp;
        flow.current = datagram ? virtual_flow::phase::established : virtual_flow::phase::opening;
        this->flows.push_back(flow);
        this->flow_by_tuple[flow.tuple] = index;
        ++this->totals.opened;
        std::uniform_int_distribution<std::int64_t> begin(0, window.count);
        this->schedule(millis{begin(this->rng)},
                       [this, index]
                       {
                           this->flows[index].reached_live_host = false;
                           this->send_pending(index);
                       });
    }
}

void virtual_net::reuse_tuple()
{
    for (std::size_t i = 0; i < this->flows.size(); ++i)
    {
        const virtual_flow& old = this->flows[i];
        const bool newest = this->flow_by_tuple[old.tuple] == i;
        if (old.current != virtual_flow::phase::over || !newest || old.service != 0)
        {
            continue;
        }
        virtual_flow flow;
        flow.tuple = old.tuple;
        flow.service = old.service;
        flow.zone = old.zone;
        flow.at_most_once = old.at_most_once;
        flow.requests_left = 3;
        flow.gap = old.gap;
        const std::size_t index = this->flows.size();
        this->flows.push_back(flow);
        this->flow_by_tuple[flow.tuple] = index;
        ++this->totals.opened;
        this->send_pending(index);
        return;
    }
}

void virtual_net::send_via_fabric(virtual_flow& flow, const packet_bytes& packet)
{
    std::vector<std::size_t> listed_hosts;
    std::vector<std::size_t> any_hosts;
    for (std::size_t i = 0; i < this->hosts.size(); ++i)
    {
        if (this->is_partitioned(flow.zone, this->hosts[i]->zone) ||
            !this->host_by_endpoint.contains(this->hosts[i]->info.packets))
        {
            continue;
        }
        any_hosts.push_back(i);
        if (this->listed[i])
        {
            listed_hosts.push_back(i);
        }
    }
    const auto& candidates = listed_hosts.empty() ? any_hosts : listed_hosts;
    if (candidates.empty())
    {
        return;
    }
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    const virtual_host& chosen = *this->hosts[candidates[any(this->rng)]];
    if (!flow.reached_live_host)
    {
        flow.reached_live_host = chosen.alive;
        flow.waiting_since = this->clock;
    }
    else if (!chosen.alive)
    {
        flow.waiting_since = flow.waiting_since + retry_interval;
    }
    const endpoint& to = chosen.info.packets;
    this->send_datagram(fabric_endpoint(), to, encapsulate(packet));
}

void virtual_net::send_pending(std::size_t index)
{
    virtual_flow& flow = this->flows[index];
    if (flow.current == virtual_flow::phase::over || !flow.waiting)
    {
        return;
    }
    this->send_via_fabric(flow, build_packet(flow, static_cast<std::uint32_t>(index)));
    const auto phase = flow.current;
    const std::uint32_t segment = flow.segment;
    this->schedule(retry_interval,
                   [this, index, phase, segment]
                   {
                       const virtual_flow& later = this->flows[index];
                       if (later.current == phase && later.segment == segment)
                       {
                           this->send_pending(index);
                       }
                   });
}

void virtual_net::record_wait(virtual_flow& flow)
{
    flow.waiting = false;
    const millis wait = this->clock - flow.waiting_since;
    this->totals.longest_wait = std::max(this->totals.longest_wait, wait);
}

void virtual_net::receive_at_backend(int backend, const packet_bytes& frame)
{
    const auto read = decode_frame(frame);
    const bool plain = read && !read.value().control && !read.value().relay;
    const auto packet = plain ? parse_packet(read.value().body)
                              : result<packet_view, ip_packet_error>(ip_packet_error::truncated);
    if (!packet)
    {
        ++this->totals.misrouted;
        this->record_fault("a backend server received a frame that is not a plain packet");
        return;
    }
    ++this->totals.packets_to_backends;
    const std::size_t index = this->flow_by_tuple.at(packet.value().tuple);
    virtual_flow& flow = this->flows[index];
    const std::uint32_t flow_mark = packet.value().acknowledgement;
    if (flow_mark != 0 && flow_mark != index + 1)
    {
        // A late packet of an earlier flow with the same tuple, which the backend server's TCP
        // rejects.
        return;
    }
    const auto backend_index = static_cast<std::size_t>(backend);
    const std::string& own_service = this->current.services[flow.service].name;
    if (this->backend_service[backend_index] != own_service)
    {
        ++this->totals.misrouted;
        this->record_fault("flow " + std::to_string(index) +
                           " reached a backend server of service " +
                           this->backend_service[backend_index]);
        return;
    }
    const bool datagram = packet.value().tuple.protocol == transport::udp;
    const bool opening = packet.value().role == packet_role::opening;
    if (opening || datagram)
    {
        const bool first = flow.opening_backends.insert(backend).second;
        const millis drained = this->draining_since[backend_index];
        if (first && drained != millis{} && this->clock - drained > drain_timeout)
        {
            ++this->totals.late_to_draining;
            this->record_fault("flow " + std::to_string(index) +
                               " opened at a draining backend server");
        }
        if (first && flow.opening_backends.size() > 1)
        {
            ++this->totals.split_openings;
            this->record_fault("flow " + std::to_string(index) + " opened at two backend servers");
        }
    }
    if (opening)
    {
        this->answer(index, backend, 0, virtual_flow::phase::opening);
        return;
    }
    // A backend server accepts data only on a connection that it has opened with the caller.
    const bool other_connection = !datagram && flow.answering_backend != backend;
    if (!flow.opening_backends.contains(backend) || other_connection)
    {
        if (flow.current != virtual_flow::phase::over)
        {
            ++this->totals.misrouted;
            this->record_fault("flow " + std::to_string(index) +
                               " reached a second backend server");
            this->schedule(this->random_delay(), [this, index] { this->backend_reset(index); });
        }
        return;
    }
    if (packet.value().role == packet_role::closing)
    {
        this->answer(index, backend, closing_segment, virtual_flow::phase::closing);
        return;
    }
    const std::uint32_t segment = segment_of(packet.value());
    std::set<int>& ran_at = this->request_backends[request_id(index, segment)];
    if (ran_at.insert(backend).second && ran_at.size() > 1)
    {
        ++this->totals.doubled;
        this->record_fault("a request of flow " + std::to_string(index) + " ran twice");
    }
    this->answer(index, backend, segment, virtual_flow::phase::established);
}

void virtual_net::answer(std::size_t index, int backend, std::uint32_t segment,
                         virtual_flow::phase what)
{
    const std::size_t zone = this->backend_zone[static_cast<std::size_t>(backend)];
    if (this->is_partitioned(zone, this->flows[index].zone) || this->occurs(this->settings.loss))
    {
        return;
    }
    const auto arrive_at_caller = [this, index, backend, segment, what]
    {
        virtual_flow& flow = this->flows[index];
        if (flow.current != what || !flow.waiting)
        {
            return;
        }
        if (what == virtual_flow::phase::opening)
        {
            flow.answering_backend = backend;
            flow.current = virtual_flow::phase::established;
        }
        else if (what == virtual_flow::phase::closing)
        {
            flow.current = virtual_flow::phase::over;
            ++this->totals.finished;
        }
        else if (segment == flow.segment)
        {
            ++flow.segment;
            --flow.requests_left;
        }
        else
        {
            return;
        }
        this->record_wait(flow);
        const bool datagram = flow.tuple.protocol == transport::udp;
        if (flow.requests_left <= 0 && flow.current == virtual_flow::phase::established)
        {
            flow.current = datagram ? virtual_flow::phase::over : virtual_flow::phase::closing;
            this->totals.finished += datagram ? 1 : 0;
        }
        if (flow.current == virtual_flow::phase::over)
        {
            return;
        }
        this->schedule(flow.gap,
                       [this, index]
                       {
                           this->flows[index].waiting = true;
                           this->flows[index].reached_live_host = false;
                           this->send_pending(index);
                       });
    };
    this->schedule(this->random_delay(), arrive_at_caller);
}

void virtual_net::break_flow(std::size_t index, const std::string& reason)
{
    virtual_flow& flow = this->flows[index];
    if (flow.current == virtual_flow::phase::over)
    {
        return;
    }
    flow.current = virtual_flow::phase::over;
    ++this->totals.broken;
    ++this->totals.broken_by_reason[reason];
    this->record_fault("flow " + std::to_string(index) + " broke: " + reason);
}

void virtual_net::backend_reset(std::size_t index)
{
    this->break_flow(index, "reset by a backend server");
}

void virtual_net::receive_reset_at_caller(const packet_view& reset)
{
    const auto found = this->flow_by_tuple.find(reversed(reset.tuple));
    if (found == this->flow_by_tuple.end())
    {
        return;
    }
    virtual_flow& flow = this->flows[found->second];
    if (flow.current == virtual_flow::phase::over)
    {
        return;
    }
    if (flow.current != virtual_flow::phase::opening)
    {
        this->break_flow(found->second, "reset by a host");
        return;
    }
    ++this->totals.refused;
    if (!flow.opening_backends.empty())
    {
        ++this->totals.false_refusals;
        this->record_fault(
            "flow " + std::to_string(found->second) +
            " was refused although a backend server had received its opening packet");
    }
    flow.current = virtual_flow::phase::over;
}

std::size_t virtual_net::open_flow_count() const
{
    return static_cast<std::size_t>(std::count_if(
        this->flows.begin(), this->flows.end(),
        [](const virtual_flow& flow) { return flow.current != virtual_flow::phase::over; }));
}

void virtual_net::finish(millis timeout)
{
    const millis end = this->clock + timeout;
    while (this->open_flow_count() > 0 && this->clock < end)
    {
        this->run(finish_poll_interval);
    }
    for (std::size_t i = 0; i < this->flows.size(); ++i)
    {
        this->break_flow(i, "stalled");
    }
    this->totals.control_peak = this->control_bytes().at("all");
    this->totals.host_hops = 0;
    for (const auto& host : this->hosts)
    {
        const counter_set& counters = host->core.counters;
        this->totals.host_hops +=
            counters[counter::packets_forwarded] + counters[counter::packets_deposited] +
            counters[counter::packets_searched] + counters[counter::packets_absent];
    }
}

} // namespace briarbarrow

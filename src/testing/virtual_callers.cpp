// The callers and backend servers of the virtual net, and the checks at them.
#include <algorithm>

#include "testing/virtual_addresses.hpp"
#include "testing/virtual_net.hpp"

namespace briarbarrow
{

namespace
{

// Callers ask again at a steady pace, so that a pause measures the system and not their patience.
constexpr millis retry_interval{200};
constexpr millis tidy_interval{100};
constexpr millis drain_span{3'000};
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
    // The acknowledgement number tells flows apart that use the same five values in turn.
    const std::uint32_t mark = index + 1;
    std::string payload(8, '\0');
    for (std::size_t i = 0; i < 4; ++i)
    {
        payload[i] = static_cast<char>(flow.segment >> (8 * i));
    }
    if (flow.tuple.protocol == transport::udp)
    {
        return build_udp(flow.tuple, payload);
    }
    switch (flow.at)
    {
    case virtual_flow::phase::opening:
        return build_tcp(flow.tuple, {.syn = true}, 1, 0, "");
    case virtual_flow::phase::closing:
        return build_tcp(flow.tuple, {.ack = true, .fin = true}, flow.segment, mark, "");
    case virtual_flow::phase::established:
    case virtual_flow::phase::over:
        break;
    }
    return build_tcp(flow.tuple, {.ack = true}, flow.segment, mark, payload);
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

void virtual_net::fault(const std::string& text)
{
    if (this->seen.faults.size() < max_faults)
    {
        this->seen.faults.push_back("at " + std::to_string(this->clock.count) + " ms: " + text);
    }
}

void virtual_net::open_flows(std::size_t service, std::size_t count, millis spread, int requests,
                             millis most_gap)
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
        flow.strict = target.at_most_once;
        flow.requests_left = requests;
        std::uniform_int_distribution<std::int64_t> gap(most_gap.count / 2, most_gap.count);
        flow.gap = millis{gap(this->rng)};
        const bool datagram = target.protocol == transport::udp;
        flow.at = datagram ? virtual_flow::phase::established : virtual_flow::phase::opening;
        this->flows.push_back(flow);
        this->flow_by_tuple[flow.tuple] = index;
        ++this->seen.opened;
        std::uniform_int_distribution<std::int64_t> begin(0, spread.count);
        this->post(millis{begin(this->rng)},
                   [this, index]
                   {
                       this->flows[index].handed = false;
                       this->send_next(index);
                   });
    }
}

void virtual_net::reuse_tuple()
{
    for (std::size_t i = 0; i < this->flows.size(); ++i)
    {
        const virtual_flow& old = this->flows[i];
        const bool newest = this->flow_by_tuple[old.tuple] == i;
        if (old.at != virtual_flow::phase::over || !newest || old.service != 0)
        {
            continue;
        }
        virtual_flow flow;
        flow.tuple = old.tuple;
        flow.service = old.service;
        flow.zone = old.zone;
        flow.strict = old.strict;
        flow.requests_left = 3;
        flow.gap = old.gap;
        const std::size_t index = this->flows.size();
        this->flows.push_back(flow);
        this->flow_by_tuple[flow.tuple] = index;
        ++this->seen.opened;
        this->send_next(index);
        return;
    }
}

void virtual_net::spray(virtual_flow& flow, const packet_bytes& packet)
{
    std::vector<std::size_t> listed_hosts;
    std::vector<std::size_t> any_hosts;
    for (std::size_t i = 0; i < this->hosts.size(); ++i)
    {
        if (this->is_cut(flow.zone, this->hosts[i]->zone) ||
            !this->host_at.contains(this->hosts[i]->info.packets))
        {
            continue;
        }
        any_hosts.push_back(i);
        if (this->listed[i])
        {
            listed_hosts.push_back(i);
        }
    }
    const auto& choice = listed_hosts.empty() ? any_hosts : listed_hosts;
    if (choice.empty())
    {
        return;
    }
    std::uniform_int_distribution<std::size_t> any(0, choice.size() - 1);
    const virtual_host& chosen = *this->hosts[choice[any(this->rng)]];
    if (!flow.handed)
    {
        flow.handed = chosen.alive;
        flow.waiting_since = this->clock;
    }
    else if (!chosen.alive)
    {
        flow.waiting_since = flow.waiting_since + retry_interval;
    }
    const endpoint& to = chosen.info.packets;
    this->send_datagram(fabric_endpoint(), to, encapsulate(packet));
}

void virtual_net::send_next(std::size_t index)
{
    virtual_flow& flow = this->flows[index];
    if (flow.at == virtual_flow::phase::over || !flow.waiting)
    {
        return;
    }
    this->spray(flow, build_packet(flow, static_cast<std::uint32_t>(index)));
    const auto phase = flow.at;
    const std::uint32_t segment = flow.segment;
    this->post(retry_interval,
               [this, index, phase, segment]
               {
                   const virtual_flow& later = this->flows[index];
                   if (later.at == phase && later.segment == segment)
                   {
                       this->send_next(index);
                   }
               });
}

void virtual_net::end_wait(virtual_flow& flow)
{
    flow.waiting = false;
    const millis pause = this->clock - flow.waiting_since;
    this->seen.longest_pause = std::max(this->seen.longest_pause, pause);
}

void virtual_net::at_backend(int backend, const packet_bytes& frame)
{
    const auto read = decode_frame(frame);
    const bool plain = read && !read.value().control && !read.value().relay;
    const auto packet = plain ? parse_packet(read.value().body)
                              : result<packet_view, ip_packet_error>(ip_packet_error::truncated);
    if (!packet)
    {
        ++this->seen.misrouted;
        this->fault("a backend server got a frame that is no plain packet");
        return;
    }
    ++this->seen.packets_to_backends;
    const std::size_t index = this->flow_by_tuple.at(packet.value().tuple);
    virtual_flow& flow = this->flows[index];
    const std::uint32_t mark = packet.value().acknowledgement;
    if (mark != 0 && mark != index + 1)
    {
        // Left over from an earlier flow with the same five values: TCP turns it away.
        return;
    }
    const auto place = static_cast<std::size_t>(backend);
    const std::string& wanted = this->current.services[flow.service].name;
    if (this->backend_service[place] != wanted)
    {
        ++this->seen.misrouted;
        this->fault("flow " + std::to_string(index) + " reached a backend server of " +
                    this->backend_service[place]);
        return;
    }
    const bool datagram = packet.value().tuple.protocol == transport::udp;
    const bool opening = packet.value().role == packet_role::opening;
    if (opening || datagram)
    {
        const bool first = flow.openings_at.insert(backend).second;
        const millis drained = this->drained_since[place];
        if (first && drained != millis{} && this->clock - drained > drain_span)
        {
            ++this->seen.late_to_draining;
            this->fault("flow " + std::to_string(index) + " opened at a draining backend server");
        }
        if (first && flow.openings_at.size() > 1)
        {
            ++this->seen.split_openings;
            this->fault("flow " + std::to_string(index) + " opened at two backend servers");
        }
    }
    if (opening)
    {
        this->answer(index, backend, 0, virtual_flow::phase::opening);
        return;
    }
    // A backend server takes data only on the connection that it has opened with the caller.
    const bool other_connection = !datagram && flow.owner != backend;
    if (!flow.openings_at.contains(backend) || other_connection)
    {
        if (flow.at != virtual_flow::phase::over)
        {
            ++this->seen.misrouted;
            this->fault("flow " + std::to_string(index) + " reached a second backend server");
            this->post(this->random_delay(), [this, index] { this->backend_reset(index); });
        }
        return;
    }
    if (packet.value().role == packet_role::closing)
    {
        this->answer(index, backend, closing_segment, virtual_flow::phase::closing);
        return;
    }
    const std::uint32_t segment = segment_of(packet.value());
    std::set<int>& ran_at = this->runs[request_id(index, segment)];
    if (ran_at.insert(backend).second && ran_at.size() > 1)
    {
        ++this->seen.doubled;
        this->fault("a request of flow " + std::to_string(index) + " ran twice");
    }
    this->answer(index, backend, segment, virtual_flow::phase::established);
}

void virtual_net::answer(std::size_t index, int backend, std::uint32_t segment,
                         virtual_flow::phase what)
{
    const std::size_t zone = this->backend_zone[static_cast<std::size_t>(backend)];
    if (this->is_cut(zone, this->flows[index].zone) || this->passes(this->settings.loss))
    {
        return;
    }
    const auto arrive_at_caller = [this, index, backend, segment, what]
    {
        virtual_flow& flow = this->flows[index];
        if (flow.at != what || !flow.waiting)
        {
            return;
        }
        if (what == virtual_flow::phase::opening)
        {
            flow.owner = backend;
            flow.at = virtual_flow::phase::established;
        }
        else if (what == virtual_flow::phase::closing)
        {
            flow.at = virtual_flow::phase::over;
            ++this->seen.finished;
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
        this->end_wait(flow);
        const bool datagram = flow.tuple.protocol == transport::udp;
        if (flow.requests_left <= 0 && flow.at == virtual_flow::phase::established)
        {
            flow.at = datagram ? virtual_flow::phase::over : virtual_flow::phase::closing;
            this->seen.finished += datagram ? 1 : 0;
        }
        if (flow.at == virtual_flow::phase::over)
        {
            return;
        }
        this->post(flow.gap,
                   [this, index]
                   {
                       this->flows[index].waiting = true;
                       this->flows[index].handed = false;
                       this->send_next(index);
                   });
    };
    this->post(this->random_delay(), arrive_at_caller);
}

void virtual_net::break_flow(std::size_t index, const std::string& reason)
{
    virtual_flow& flow = this->flows[index];
    if (flow.at == virtual_flow::phase::over)
    {
        return;
    }
    flow.at = virtual_flow::phase::over;
    ++this->seen.broken;
    ++this->seen.broken_by_reason[reason];
    this->fault("flow " + std::to_string(index) + " broke: " + reason);
}

void virtual_net::backend_reset(std::size_t index)
{
    this->break_flow(index, "reset by a backend server");
}

void virtual_net::at_caller_reset(const packet_view& reset)
{
    const auto found = this->flow_by_tuple.find(reversed(reset.tuple));
    if (found == this->flow_by_tuple.end())
    {
        return;
    }
    virtual_flow& flow = this->flows[found->second];
    if (flow.at == virtual_flow::phase::over)
    {
        return;
    }
    if (flow.at != virtual_flow::phase::opening)
    {
        this->break_flow(found->second, "reset by a host");
        return;
    }
    ++this->seen.refused;
    if (!flow.openings_at.empty())
    {
        ++this->seen.false_refusals;
        this->fault("flow " + std::to_string(found->second) + " was refused but had been sent on");
    }
    flow.at = virtual_flow::phase::over;
}

std::size_t virtual_net::open_flow_count() const
{
    return static_cast<std::size_t>(std::count_if(
        this->flows.begin(), this->flows.end(),
        [](const virtual_flow& flow) { return flow.at != virtual_flow::phase::over; }));
}

void virtual_net::finish(millis span)
{
    const millis end = this->clock + span;
    while (this->open_flow_count() > 0 && this->clock < end)
    {
        this->run(tidy_interval);
    }
    for (std::size_t i = 0; i < this->flows.size(); ++i)
    {
        this->break_flow(i, "stalled");
    }
    this->seen.control_peak = this->control_bytes().at("all");
    this->seen.host_hops = 0;
    for (const auto& host : this->hosts)
    {
        const counter_set& counters = host->core.counters;
        this->seen.host_hops +=
            counters[counter::packets_forwarded] + counters[counter::packets_deposited] +
            counters[counter::packets_searched] + counters[counter::packets_absent];
    }
}

} // namespace briarbarrow

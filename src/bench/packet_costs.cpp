#include "bench/packet_costs.hpp"

#include <algorithm>
#include <chrono>

#include "testing/virtual_net.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::size_t packets_measured = 200'000;
constexpr std::size_t seconds_measured = 10;

const endpoint fabric = *parse_endpoint("127.0.0.1:6400");

flow_tuple make_numbered_tuple(std::size_t number)
{
    const std::array<std::uint8_t, 4> source{10, static_cast<std::uint8_t>(number >> 24U),
                                             static_cast<std::uint8_t>(number >> 16U),
                                             static_cast<std::uint8_t>(number >> 8U)};
    return flow_tuple{make_v4(source.data()), *parse_address("192.0.2.1"),
                      static_cast<std::uint16_t>(1024 + (number & 0xffU)), 80, transport::tcp};
}

packet_bytes make_frame(const flow_tuple& tuple, tcp_flags flags)
{
    return encapsulate(build_tcp(tuple, flags, 1, flags.syn ? 0 : 1, flags.syn ? "" : "data"));
}

// A core with its clock, driven directly.
struct measured_core
{
    core_state state;
    actions out;
    millis now;

    void handle_event(const event& happened)
    {
        clear_actions(this->out);
        step(this->state, happened, this->now, this->out);
    }
};

using nanoseconds = std::chrono::duration<double, std::nano>;

// Mean time of a step over all frames. Unit: nanoseconds.
double time_frames(measured_core& core, const std::vector<packet_bytes>& frames)
{
    const auto begin = std::chrono::steady_clock::now();
    for (const packet_bytes& frame : frames)
    {
        core.handle_event(datagram_event{fabric, frame});
    }
    const nanoseconds elapsed = std::chrono::steady_clock::now() - begin;
    return elapsed.count() / static_cast<double>(frames.size());
}

std::vector<packet_bytes> make_frames(std::size_t first, std::size_t count, std::size_t range,
                                      tcp_flags flags)
{
    // A large prime stride visits the whole range without locality, as callers' packets do.
    constexpr std::size_t stride = 7'919;
    std::vector<packet_bytes> frames;
    frames.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        frames.push_back(make_frame(make_numbered_tuple(first + (i * stride) % range), flags));
    }
    return frames;
}

// Settings of a network that neither loses nor duplicates datagrams.
net_settings lossless_settings(std::size_t hosts)
{
    net_settings settings;
    settings.hosts = hosts;
    settings.loss = 0;
    settings.duplication = 0;
    return settings;
}

void start_all(virtual_net& net, std::size_t hosts)
{
    for (std::size_t i = 0; i < hosts; ++i)
    {
        net.start_host(i);
    }
}

// The core of one host of a domain, once all hosts are live.
measured_core make_live_core(std::size_t hosts, std::size_t index)
{
    virtual_net net(lossless_settings(hosts));
    start_all(net, hosts);
    net.run(millis{6'000});
    return measured_core{net.host(index).core, {}, net.now()};
}

// Raises the connection limits so that no opening packet is refused.
void raise_connection_limits(measured_core& core)
{
    for (backend_runtime& backend : core.state.known.backends)
    {
        backend.max_connections = 1'000'000;
    }
}

// Opens so many flows.
void open_flows(measured_core& core, std::size_t records)
{
    for (std::size_t i = 0; i < records; ++i)
    {
        core.handle_event(
            datagram_event{fabric, make_frame(make_numbered_tuple(i), {.syn = true})});
    }
}

double memory_per_record(const measured_core& core)
{
    return static_cast<double>(core.state.flows.memory_bytes()) /
           static_cast<double>(core.state.flows.size());
}

// The longest tick within a whole sweep of the flow table. Unit: microseconds.
double longest_tick(measured_core& core)
{
    double longest = 0;
    constexpr std::size_t ticks_per_sweep = 200;
    for (std::size_t i = 0; i < ticks_per_sweep; ++i)
    {
        core.now = core.now + tick_interval;
        const auto begin = std::chrono::steady_clock::now();
        core.handle_event(tick_event{});
        const nanoseconds elapsed = std::chrono::steady_clock::now() - begin;
        longest = std::max(longest, elapsed.count());
    }
    constexpr double nanoseconds_per_microsecond = 1'000;
    return longest / nanoseconds_per_microsecond;
}

} // namespace

std::vector<cost_figure> measure_packets(std::size_t records)
{
    std::vector<cost_figure> figures;
    const auto add_figure =
        [&figures, records](const std::string& name, double value, const std::string& unit)
    {
        figures.push_back(cost_figure{name, records, value, unit});
    };
    measured_core core = make_live_core(1, 0);
    raise_connection_limits(core);
    open_flows(core, records);
    add_figure("memory_per_record", memory_per_record(core), "bytes");
    const std::size_t hits = std::min(packets_measured, records * 20);
    add_figure("record_hit", time_frames(core, make_frames(0, hits, records, {.ack = true})), "ns");
    const std::size_t openings = std::min(packets_measured / 10, records);
    add_figure("opening",
               time_frames(core, make_frames(records, openings, openings, {.syn = true})), "ns");
    add_figure("closing",
               time_frames(core, make_frames(0, openings, records, {.ack = true, .fin = true})),
               "ns");
    std::vector<packet_bytes> unknown(
        packets_measured / 10, make_frame({*parse_address("203.0.113.9"),
                                           *parse_address("198.51.100.1"), 1, 80, transport::tcp},
                                          {.syn = true}));
    add_figure("refused", time_frames(core, unknown), "ns");
    add_figure("longest_tick", longest_tick(core), "us");
    measured_core ingress = make_live_core(5, 0);
    const auto unknown_openings = make_frames(0, packets_measured / 10, records, {.syn = true});
    add_figure("forwarded", time_frames(ingress, unknown_openings), "ns");
    return figures;
}

std::vector<cost_figure> measure_domain(std::size_t hosts)
{
    std::vector<cost_figure> figures;
    const auto add_figure =
        [&figures, hosts](const std::string& name, double value, const std::string& unit)
    {
        figures.push_back(cost_figure{name, hosts, value, unit});
    };
    virtual_net net(lossless_settings(hosts));
    start_all(net, hosts);
    net.run(millis{5'000});
    const counter_set before = net.host(0).core.counters;
    const auto begin = std::chrono::steady_clock::now();
    net.run(millis{static_cast<std::int64_t>(seconds_measured) * 1'000});
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    const counter_set after = net.host(0).core.counters;
    const auto bytes =
        after[counter::control_bytes_heartbeat] - before[counter::control_bytes_heartbeat];
    add_figure("heartbeat_bytes_per_second",
               static_cast<double>(bytes) / static_cast<double>(seconds_measured), "bytes/s");
    // All hosts run in this process; the cost of the network's queue is included.
    const double share = elapsed.count() / static_cast<double>(hosts * seconds_measured) * 100.0;
    add_figure("idle_core_share", share, "% of a core");
    add_figure("keepers_of_one_service",
               static_cast<double>(net.host(0).core.views.views.front().hosts.size()),
               "hosts ranked");
    return figures;
}

} // namespace briarbarrow

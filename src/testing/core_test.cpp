#include <doctest/doctest.h>

#include "core/core.hpp"
#include "testing/packet_builder.hpp"
#include "testing/virtual_net.hpp"

using namespace briarbarrow;

namespace
{

const endpoint fabric = *parse_endpoint("127.0.0.1:6400");
const endpoint unknown_sender = *parse_endpoint("127.0.9.9:6081");

// A single live host with the test configuration.
struct lone_host
{
    core_state core;
    actions out;
    millis now{50'000};

    lone_host()
    {
        core_settings settings;
        settings.self.name = "host-0";
        settings.self.id = host_id_of("host-0");
        settings.self.zone = "zone-0";
        settings.self.packets = *parse_endpoint("127.0.1.1:6081");
        settings.self.incarnation = 1;
        settings.fabric = {fabric.address};
        start_core(this->core, settings, this->now);
        this->run(millis{4'000});
        this->handle(configuration_event{make_test_configuration(4, 2), 1});
    }

    void handle(const event& input)
    {
        clear_actions(this->out);
        step(this->core, input, this->now, this->out);
    }

    void run(millis duration)
    {
        const millis end = this->now + duration;
        while (this->now < end)
        {
            this->now = this->now + tick_interval;
            this->handle(tick_event{});
        }
    }

    void packet(const packet_bytes& bytes)
    {
        const packet_bytes frame = encapsulate(bytes);
        this->handle(datagram_event{fabric, frame});
    }

    std::uint64_t count(counter which) const
    {
        return this->core.counters[which];
    }
};

flow_tuple caller(std::uint16_t port, const std::string& service = "192.0.2.1",
                  transport protocol = transport::tcp)
{
    return {*parse_address("203.0.113.1"), *parse_address(service), port, 80, protocol};
}

packet_bytes opening(std::uint16_t port)
{
    return build_tcp(caller(port), {.syn = true}, 1, 0, "");
}

} // namespace

TEST_CASE("all packets of a flow go to the same backend server")
{
    lone_host host;
    host.packet(opening(1000));
    REQUIRE(host.out.datagrams.size() == 1);
    const endpoint chosen = host.out.datagrams[0].to;
    for (int i = 0; i < 10; ++i)
    {
        host.packet(build_tcp(caller(1000), {.ack = true}, 2, 2, "data"));
        REQUIRE(host.out.datagrams.size() == 1);
        CHECK(host.out.datagrams[0].to == chosen);
    }
}

TEST_CASE("new flows go to the backend server with the fewest flows in flight")
{
    lone_host host;
    for (std::uint16_t port = 1000; port < 1040; ++port)
    {
        host.packet(opening(port));
    }
    for (const backend_runtime& backend : host.core.known.backends)
    {
        const bool of_first_service = backend.id != backend_id::none && backend.service_slot == 0;
        CHECK((!of_first_service || backend.in_flight == 10));
    }
}

TEST_CASE("datagrams from an unknown sender are refused and logged once")
{
    lone_host host;
    const packet_bytes frame = encapsulate(opening(1000));
    host.handle(datagram_event{unknown_sender, frame});
    CHECK(host.out.datagrams.empty());
    CHECK(host.out.events.size() == 1);
    host.handle(datagram_event{unknown_sender, frame});
    CHECK(host.out.events.empty());
    CHECK(host.count(counter::refused_source) == 2);
}

TEST_CASE("a relay frame from the fabric is refused")
{
    lone_host host;
    const packet_bytes packet = opening(1000);
    wire_buffer head;
    relay_header forged;
    forged.kind = relay_kind::replicate;
    encode_relay_header(head, forged, packet);
    packet_bytes frame(head.begin(), head.end());
    frame.insert(frame.end(), packet.begin(), packet.end());
    host.handle(datagram_event{fabric, frame});
    CHECK(host.out.datagrams.empty());
    CHECK(host.count(counter::refused_source) == 1);
}

TEST_CASE("malformed packets are counted by fault and dropped")
{
    lone_host host;
    packet_bytes truncated = opening(1000);
    truncated.resize(25);
    truncated[3] = 25;
    host.packet(truncated);
    packet_bytes fragment = opening(1000);
    fragment[6] = 0x20;
    host.packet(fragment);
    host.packet(build_tcp(caller(1000, "198.51.100.77"), {.syn = true}, 1, 0, ""));
    CHECK(host.count(counter::bad_packet_truncated) == 1);
    CHECK(host.count(counter::bad_packet_fragmented) == 1);
    CHECK(host.count(counter::dropped_unknown_service) == 1);
    CHECK(host.out.datagrams.empty());
    CHECK(host.count(counter::packets_to_backends) == 0);
}

TEST_CASE("a packet of an unknown flow is answered with a reset")
{
    lone_host host;
    host.packet(build_tcp(caller(1000), {.ack = true}, 2, 2, "data"));
    REQUIRE(host.out.datagrams.size() == 1);
    CHECK(host.out.datagrams[0].to_caller);
}

TEST_CASE("a flow refused because every backend server is full gets a reset and reaches no server")
{
    lone_host host;
    configuration small = make_test_configuration(2, 2);
    small.revision = 2;
    for (backend_config& backend : small.services[0].backends)
    {
        backend.max_connections = 1;
    }
    host.handle(configuration_event{small, 2});
    host.packet(opening(1000));
    host.packet(opening(1001));
    const std::uint64_t sent = host.count(counter::packets_to_backends);
    host.packet(opening(1002));
    REQUIRE(host.out.datagrams.size() == 1);
    CHECK(host.out.datagrams[0].to_caller);
    CHECK(host.count(counter::packets_to_backends) == sent);
    CHECK(host.count(counter::openings_refused) == 1);
}

TEST_CASE("a retransmitted opening packet goes to the same backend server")
{
    lone_host host;
    host.packet(opening(1000));
    const endpoint chosen = host.out.datagrams[0].to;
    for (std::uint16_t port = 2000; port < 2007; ++port)
    {
        host.packet(opening(port));
    }
    host.packet(opening(1000));
    CHECK(host.out.datagrams[0].to == chosen);
    CHECK(host.count(counter::flows_opened) == 8);
}

TEST_CASE("a draining backend server keeps its flows and gets no new ones")
{
    lone_host host;
    host.packet(opening(1000));
    const endpoint chosen = host.out.datagrams[0].to;
    configuration next = make_test_configuration(4, 2);
    next.revision = 2;
    for (backend_config& backend : next.services[0].backends)
    {
        if (backend.packets == chosen)
        {
            backend.state = backend_state::draining;
        }
    }
    host.handle(configuration_event{next, 2});
    for (std::uint16_t port = 2000; port < 2040; ++port)
    {
        host.packet(opening(port));
        CHECK(host.out.datagrams[0].to != chosen);
    }
    host.packet(build_tcp(caller(1000), {.ack = true}, 2, 2, "data"));
    CHECK(host.out.datagrams[0].to == chosen);
}

TEST_CASE("a removed service keeps its flows and gets no new ones")
{
    lone_host host;
    host.packet(opening(1000));
    configuration next = make_test_configuration(4, 2);
    next.revision = 2;
    next.services.erase(next.services.begin());
    host.handle(configuration_event{next, 2});
    host.packet(build_tcp(caller(1000), {.ack = true}, 2, 2, "data"));
    CHECK(host.out.datagrams.size() == 1);
    CHECK(!host.out.datagrams[0].to_caller);
    host.packet(opening(1001));
    CHECK(host.out.datagrams.empty());
}

TEST_CASE("an older, a conflicting and an invalid configuration are never applied")
{
    lone_host host;
    configuration next = make_test_configuration(4, 2);
    next.revision = 5;
    host.handle(configuration_event{next, 55});
    next.revision = 4;
    host.handle(configuration_event{next, 44});
    CHECK(host.core.revision == 5);
    CHECK(host.count(counter::configurations_old) == 1);
    next.revision = 5;
    host.handle(configuration_event{next, 56});
    CHECK(host.count(counter::configurations_conflicting) == 1);
    CHECK(host.out.events.size() == 1);
    next.revision = 6;
    next.services[0].backends.clear();
    host.handle(configuration_event{next, 66});
    CHECK(host.core.revision == 5);
    CHECK(host.count(counter::configurations_bad) == 1);
}

TEST_CASE("an ended flow's 5-tuple stays bound to its backend server during the quarantine")
{
    lone_host host;
    host.packet(opening(1000));
    const endpoint chosen = host.out.datagrams[0].to;
    host.packet(build_tcp(caller(1000), {.rst = true}, 2, 2, ""));
    for (std::uint16_t port = 2000; port < 2003; ++port)
    {
        host.packet(opening(port));
    }
    host.packet(opening(1000));
    CHECK(host.out.datagrams[0].to == chosen);
}

TEST_CASE("a closed flow is removed after the closing timeout and the quarantine")
{
    lone_host host;
    host.packet(opening(1000));
    host.packet(build_tcp(caller(1000), {.ack = true, .fin = true}, 2, 2, ""));
    CHECK(host.core.flows.size() == 1);
    host.run(closing_timeout + quarantine_duration + millis{8'000});
    CHECK(host.core.flows.size() == 0);
    CHECK(host.count(counter::flows_ended) == 1);
}

TEST_CASE("repeated steps reuse the memory of the actions")
{
    lone_host host;
    host.packet(opening(1000));
    const packet_bytes frame = encapsulate(build_tcp(caller(1000), {.ack = true}, 2, 2, "data"));
    host.handle(datagram_event{fabric, frame});
    const auto* memory = host.out.datagrams.data();
    const std::size_t capacity = host.out.datagrams.capacity();
    for (int i = 0; i < 1'000; ++i)
    {
        host.handle(datagram_event{fabric, frame});
        REQUIRE(host.out.datagrams.data() == memory);
        REQUIRE(host.out.datagrams.capacity() == capacity);
    }
}

TEST_CASE("random bytes never crash a host and never reach a backend server")
{
    lone_host host;
    std::mt19937_64 random(5);
    for (int i = 0; i < 20'000; ++i)
    {
        packet_bytes noise(random() % 120);
        for (std::uint8_t& byte : noise)
        {
            byte = static_cast<std::uint8_t>(random());
        }
        host.handle(datagram_event{random() % 2 == 0 ? fabric : unknown_sender, noise});
        host.handle(packet_event{noise});
    }
    CHECK(host.count(counter::packets_to_backends) == 0);
}

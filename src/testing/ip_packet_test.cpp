#include <doctest/doctest.h>

#include <boost/endian/conversion.hpp>

#include "core/flows/flow_key.hpp"
#include "testing/junk.hpp"
#include "testing/packet_builder.hpp"
#include "wire/ip_packet.hpp"

using namespace briarbarrow;

namespace
{

flow_tuple tuple_v4(transport protocol)
{
    return {*parse_address("203.0.113.1"), *parse_address("192.0.2.10"), 40000, 80, protocol};
}

flow_tuple tuple_v6(transport protocol)
{
    return {*parse_address("2001:db8:ffff::1"), *parse_address("2001:db8::10"), 40000, 80,
            protocol};
}

ip_packet_error error_of(const packet_bytes& packet)
{
    const auto parsed = parse_packet(packet);
    REQUIRE(!parsed.has_value());
    return parsed.error();
}

} // namespace

TEST_CASE("IPv4 and IPv6 packets with TCP and UDP are parsed")
{
    for (const auto protocol : {transport::tcp, transport::udp})
    {
        for (const flow_tuple& tuple : {tuple_v4(protocol), tuple_v6(protocol)})
        {
            const packet_bytes packet = protocol == transport::tcp
                                            ? build_tcp(tuple, {.syn = true}, 7, 0, "")
                                            : build_udp(tuple, "x");
            const auto parsed = parse_packet(packet);
            REQUIRE(parsed.has_value());
            CHECK(parsed.value().tuple == tuple);
            CHECK(parsed.value().bytes.size() == packet.size());
            const auto role =
                protocol == transport::tcp ? packet_role::opening : packet_role::mid_flow;
            CHECK(parsed.value().role == role);
        }
    }
}

TEST_CASE("a packet's role is derived from its TCP flags")
{
    const flow_tuple tuple = tuple_v4(transport::tcp);
    const auto role = [&tuple](tcp_flags flags)
    {
        return parse_packet(build_tcp(tuple, flags, 1, 1, "")).value().role;
    };
    CHECK(role({.syn = true}) == packet_role::opening);
    CHECK(role({.ack = true}) == packet_role::mid_flow);
    CHECK(role({.syn = true, .ack = true}) == packet_role::mid_flow);
    CHECK(role({.ack = true, .fin = true}) == packet_role::closing);
    CHECK(role({.rst = true}) == packet_role::closing);
}

TEST_CASE("each kind of malformed packet is rejected with its own reason")
{
    const packet_bytes good = build_tcp(tuple_v4(transport::tcp), {.syn = true}, 1, 0, "");
    CHECK(error_of({}) == ip_packet_error::truncated);
    CHECK(error_of(packet_bytes(good.begin(), good.begin() + 30)) == ip_packet_error::truncated);
    CHECK(error_of(packet_bytes(max_packet_bytes + 1, 0x45)) == ip_packet_error::oversized);
    packet_bytes fragment = good;
    fragment[6] = 0x20;
    CHECK(error_of(fragment) == ip_packet_error::fragmented);
    packet_bytes later_fragment = good;
    later_fragment[7] = 0x08;
    CHECK(error_of(later_fragment) == ip_packet_error::fragmented);
    packet_bytes version = good;
    version[0] = 0x55;
    CHECK(error_of(version) == ip_packet_error::wrong_version);
    packet_bytes length = good;
    length[0] = 0x41;
    CHECK(error_of(length) == ip_packet_error::bad_length);
    packet_bytes data_offset = good;
    data_offset[32] = 0xf0;
    CHECK(error_of(data_offset) == ip_packet_error::bad_length);
    packet_bytes protocol = good;
    protocol[9] = 1;
    CHECK(error_of(protocol) == ip_packet_error::unsupported_protocol);
    packet_bytes v6_fragment = build_udp(tuple_v6(transport::udp), "x");
    v6_fragment[6] = 44;
    CHECK(error_of(v6_fragment) == ip_packet_error::fragmented);
}

TEST_CASE("an IPv6 packet with an IPv4-mapped address can't match an IPv4 flow")
{
    packet_bytes packet = build_udp(tuple_v6(transport::udp), "x");
    const auto mapped = tuple_v4(transport::udp).source.bytes;
    std::copy(mapped.begin(), mapped.end(), packet.begin() + 8);
    CHECK(error_of(packet) == ip_packet_error::wrong_version);
}

TEST_CASE("a reset has the sequence numbers that the caller accepts")
{
    for (const flow_tuple& tuple : {tuple_v4(transport::tcp), tuple_v6(transport::tcp)})
    {
        const packet_bytes data = build_tcp(tuple, {.ack = true}, 1000, 2000, "abc");
        const reset_packet reset = make_reset(parse_packet(data).value());
        const auto read = parse_packet({reset.data(), reset.size()});
        REQUIRE(read.has_value());
        CHECK(read.value().is_reset);
        CHECK(read.value().sequence == 2000);
        CHECK(read.value().tuple.source == tuple.destination);
        CHECK(read.value().tuple.destination_port == tuple.source_port);
        const packet_bytes opening = build_tcp(tuple, {.syn = true}, 500, 0, "");
        const reset_packet refusal = make_reset(parse_packet(opening).value());
        const auto refused = parse_packet({refusal.data(), refusal.size()});
        CHECK(refused.value().has_ack);
        CHECK(refused.value().acknowledgement == 501);
    }
}

TEST_CASE("the IP and TCP checksums of a reset are correct")
{
    const packet_bytes data = build_tcp(tuple_v4(transport::tcp), {.ack = true}, 1000, 2000, "abc");
    const reset_packet reset = make_reset(parse_packet(data).value());
    const auto sum = [](std::span<const std::uint8_t> bytes, std::uint32_t start)
    {
        for (std::size_t i = 0; i + 1 < bytes.size(); i += 2)
        {
            start += boost::endian::load_big_u16(bytes.data() + i);
        }
        while (start > 0xffff)
        {
            start = (start & 0xffffU) + (start >> 16U);
        }
        return start;
    };
    const std::span<const std::uint8_t> all(reset.data(), reset.size());
    CHECK(sum(all.first(20), 0) == 0xffff);
    // The pseudo header consists of the addresses, the protocol and the segment length.
    CHECK(sum(all.subspan(12), 6 + 20) == 0xffff);
}

TEST_CASE("corrupted packets never crash the parser or make it read past their end")
{
    std::mt19937_64 random(20261204);
    const std::vector<packet_bytes> good{
        build_tcp(tuple_v4(transport::tcp), {.ack = true}, 1, 2, "payload"),
        build_tcp(tuple_v6(transport::tcp), {.syn = true}, 1, 2, ""),
        build_udp(tuple_v4(transport::udp), "payload"),
        build_udp(tuple_v6(transport::udp), "payload")};
    std::size_t accepted = 0;
    for (int i = 0; i < 40'000; ++i)
    {
        const packet_bytes packet = corrupt_randomly(good[random() % good.size()], random);
        const auto parsed = parse_packet(packet);
        if (!parsed)
        {
            continue;
        }
        ++accepted;
        CHECK(parsed.value().bytes.size() <= packet.size());
        flow_key_of(parsed.value().tuple);
        if (parsed.value().tuple.protocol == transport::tcp)
        {
            make_reset(parsed.value());
        }
    }
    // Enough packets must pass, or the corruption would exercise only the first checks.
    CHECK(accepted > 1'000);
    CHECK(accepted < 39'000);
}

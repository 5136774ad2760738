#include <doctest/doctest.h>

#include "adapters/peer_frame.hpp"
#include "testing/junk.hpp"
#include "testing/packet_builder.hpp"
#include "wire/encapsulation.hpp"
#include "wire/messages.hpp"

using namespace briarbarrow;

namespace
{

relay_header random_header(std::mt19937_64& random)
{
    relay_header header;
    header.kind = static_cast<relay_kind>(random() % relay_kind_names.size());
    header.hops = static_cast<std::uint8_t>(random() % 13);
    header.wants_confirmation = random() % 2 == 0;
    header.is_path_complete = random() % 2 == 0;
    header.rank = static_cast<flow_rank>(random() % 6);
    header.age = millis{static_cast<std::int64_t>(random() % 1'000'000)};
    header.ingress = host_id{random()};
    header.coordinator = host_id{random()};
    header.service = service_id{random()};
    header.backend = backend_id{random()};
    header.backend_packet_endpoint = *parse_endpoint("127.0.2.1:6081");
    for (std::size_t i = random() % (max_path_hosts + 1); i > 0; --i)
    {
        header.path.push_back(host_id{random()});
    }
    for (std::size_t i = hint_capacity(header.path.size()); i > 0; --i)
    {
        const auto rank = static_cast<flow_rank>(random() % 6);
        header.hints.push_back(hint{{random(), random()}, backend_id{random()}, rank});
    }
    return header;
}

packet_bytes sample_packet()
{
    const flow_tuple tuple{*parse_address("203.0.113.1"), *parse_address("192.0.2.10"), 40000, 80,
                           transport::tcp};
    return build_tcp(tuple, {.syn = true}, 1, 0, "");
}

packet_bytes relay_frame(const relay_header& header)
{
    const packet_bytes packet = sample_packet();
    wire_buffer head;
    encode_relay_header(head, header, packet);
    packet_bytes frame(head.begin(), head.end());
    frame.insert(frame.end(), packet.begin(), packet.end());
    return frame;
}

heartbeat sample_heartbeat()
{
    heartbeat beat;
    beat.incarnation = 1'796'349'486;
    beat.state = host_state::live;
    beat.sequence = 77;
    beat.echo = 76;
    beat.revision = 12;
    beat.digest = 0xdeadbeef;
    beat.suspicions = {{host_id{5}, 9}};
    return beat;
}

host_list sample_list()
{
    host_info info{host_id_of("a"),
                   "a",
                   "z",
                   *parse_endpoint("127.0.1.1:1"),
                   *parse_endpoint("127.0.1.1:2"),
                   *parse_endpoint("[::1]:3"),
                   4};
    return host_list{{{info, host_state::leaving}}};
}

template <typename Message>
void check_round_trip(const Message& message)
{
    const message_bytes bytes = encode_message(message);
    const auto read = decode_message<Message>(bytes);
    REQUIRE(read.has_value());
    CHECK(*read == message);
    message_bytes extended = bytes;
    extended.push_back(0);
    CHECK(!decode_message<Message>(extended).has_value());
}

} // namespace

TEST_CASE("relay headers survive a round trip")
{
    std::mt19937_64 random(1);
    for (int i = 0; i < 2'000; ++i)
    {
        const relay_header header = random_header(random);
        const packet_bytes frame = relay_frame(header);
        const auto read = decode_frame(frame);
        REQUIRE(read.has_value());
        REQUIRE(read.value().relay.has_value());
        CHECK(*read.value().relay == header);
        CHECK(read.value().body.size() == sample_packet().size());
    }
}

TEST_CASE("a plain frame has the header that a backend server's kernel can decapsulate")
{
    const packet_bytes frame = encapsulate(sample_packet());
    // Variant 0, no extension, IPv4 inside, no flags.
    CHECK(frame[0] == 0);
    CHECK(frame[1] == 4);
    CHECK(frame[2] == 0);
    CHECK(frame[3] == 0);
}

TEST_CASE("each kind of malformed frame is rejected with its own reason")
{
    const auto error_of = [](const packet_bytes& frame)
    {
        return decode_frame(frame).error();
    };
    const packet_bytes good = relay_frame({});
    CHECK(error_of({}) == frame_error::truncated);
    CHECK(error_of({0, 4, 0, 0}) == frame_error::truncated);
    packet_bytes variant = good;
    variant[0] |= 0x40;
    CHECK(error_of(variant) == frame_error::wrong_variant);
    packet_bytes flags = good;
    flags[3] = 1;
    CHECK(error_of(flags) == frame_error::wrong_variant);
    packet_bytes format = good;
    format[4] = 9;
    CHECK(error_of(format) == frame_error::wrong_format);
    packet_bytes kind = good;
    kind[5] = 77;
    CHECK(error_of(kind) == frame_error::unknown_kind);
    packet_bytes path = good;
    path[7] = 200;
    CHECK(error_of(path) == frame_error::bad_length);
    packet_bytes protocol = good;
    protocol[1] = 41;
    CHECK(error_of(protocol) == frame_error::unknown_kind);
    CHECK(error_of({0x20, 99, 0, 0, 1}) == frame_error::unknown_kind);
}

TEST_CASE("control messages survive a round trip, and trailing bytes are rejected")
{
    check_round_trip(sample_heartbeat());
    check_round_trip(hints{{{{1, 2}, backend_id{3}, flow_rank::established}}});
    check_round_trip(record_batch{4, {{{1, 2}, backend_id{3}, flow_rank::opened, 1, 500, 900}}});
    check_round_trip(record_batch_ack{4});
    check_round_trip(sample_list());
    check_round_trip(hello{sample_list().hosts[0].info, host_state::live});
    check_round_trip(configuration_request{8});
    check_round_trip(configuration_response{"{}"});
}

TEST_CASE("heartbeats stay within half of a host's budget for control traffic")
{
    // With 4 peers, a heartbeat every 150 ms, 28 bytes of IP and UDP headers and 4 of frame header,
    // heartbeats use at most half of the 3,000 bytes per second that a host may spend on control.
    const std::size_t wire_bytes = encode_message(sample_heartbeat()).size() + 32;
    CHECK(wire_bytes * 4 * 1000 / 150 <= 1'500);
}

TEST_CASE("corrupted frames and messages never crash the decoders")
{
    std::mt19937_64 random(20261204);
    for (int i = 0; i < 40'000; ++i)
    {
        const auto frame = corrupt_randomly(relay_frame(random_header(random)), random);
        const auto read = decode_frame(frame);
        if (read && read.value().relay)
        {
            CHECK(read.value().relay->path.size() <= max_path_hosts);
        }
        decode_message<heartbeat>(corrupt_randomly(encode_message(sample_heartbeat()), random));
        decode_message<host_list>(corrupt_randomly(encode_message(sample_list()), random));
        decode_message<record_batch>(
            corrupt_randomly(encode_message(record_batch{1, {transferred_record{}}}), random));
        decode_message<hints>(corrupt_randomly(encode_message(hints{{hint{}}}), random));
    }
}

TEST_CASE("peer frames are reassembled from segments of any size")
{
    std::mt19937_64 random(3);
    const std::vector<peer_message> sent{hello{sample_list().hosts[0].info, host_state::live},
                                         sample_list(), configuration_request{3},
                                         configuration_response{std::string(100'000, 'x')}};
    message_bytes stream;
    for (const peer_message& message : sent)
    {
        const message_bytes frame = encode_peer_frame(message);
        stream.insert(stream.end(), frame.begin(), frame.end());
    }
    peer_frame_buffer buffer;
    std::vector<peer_message> received;
    std::size_t at = 0;
    while (at < stream.size())
    {
        const std::size_t count = std::min<std::size_t>(1 + random() % 5'000, stream.size() - at);
        append_bytes(buffer, {stream.data() + at, count});
        at += count;
        for (;;)
        {
            const auto next = pop_message(buffer);
            REQUIRE(next.has_value());
            if (!next.value())
            {
                break;
            }
            received.push_back(*next.value());
        }
    }
    CHECK(received == sent);
}

TEST_CASE("each kind of malformed peer frame is rejected with its own reason")
{
    const auto error_of = [](message_bytes bytes)
    {
        peer_frame_buffer buffer;
        append_bytes(buffer, bytes);
        return pop_message(buffer).error();
    };
    CHECK(error_of({0xff, 0xff, 0xff, 0xff}) == peer_frame_error::bad_length);
    CHECK(error_of({0, 0, 0, 1, 1}) == peer_frame_error::bad_length);
    CHECK(error_of({0, 0, 0, 2, 9, 0}) == peer_frame_error::wrong_version);
    CHECK(error_of({0, 0, 0, 2, 1, 77}) == peer_frame_error::unknown_type);
    CHECK(error_of({0, 0, 0, 3, 1, 0, 0xc1}) == peer_frame_error::bad_body);
}

TEST_CASE("corrupted bytes on a peer link never crash the decoder")
{
    std::mt19937_64 random(4);
    for (int i = 0; i < 5'000; ++i)
    {
        peer_frame_buffer buffer;
        append_bytes(buffer, corrupt_randomly(encode_peer_frame(sample_list()), random));
        for (int j = 0; j < 4; ++j)
        {
            const auto next = pop_message(buffer);
            if (!next || !next.value())
            {
                break;
            }
        }
    }
}

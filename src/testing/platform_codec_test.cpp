#include <cstdio>
#include <fstream>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <unistd.h>

#include "machine_settings.hpp"
#include "packet_codec.hpp"
#include "store_codec.hpp"
#include "testing/junk.hpp"

using namespace briarbarrow;
using namespace briarbarrow::platform;

namespace
{

// Example packets from the platform's documentation: a SYN from 100.64.0.7:40001 to 198.18.0.1:443,
// and the reset that responds to it.
const std::vector<std::uint8_t> example_opening{
    0x44, 0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00, 0x07, 0x00, 0x40, 0x64, 0x01, 0x00, 0x12, 0xc6,
    0xbb, 0x01, 0x41, 0x9c, 0xd5, 0xc3, 0xb2, 0xa1, 0x02, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};
const std::vector<std::uint8_t> example_reset{
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0x00, 0x12, 0xc6, 0x07, 0x00, 0x40, 0x64,
    0x41, 0x9c, 0xbb, 0x01, 0x00, 0x00, 0x00, 0x00, 0x80, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

const std::string backend_entry =
    R"({"Service":"huvo11a","Address":"10.128.0.9:8080","Zone":"quito-a","Version":"v1",)"
    R"("MaxConcurrent":2,"State":"ready","WarmupLeftMs":1200,"CallSeq":4,"born":1776023053031})";

const std::string configuration_text =
    R"({"Version":7,"Routes":[{"Name":"r-a","Host":"198.18.0.1","Prefix":"/8443/","Type":"safe",)"
    R"("TimeoutMs":800,"SloMs":120,"Priority":2,"TrafficSplit":[{"Service":"huvo11a","Weight":90},)"
    R"({"Service":"wuno96b","Weight":10}],"MaxAttempts":2},{"Name":"r-x","Host":"198.18.0.1",)"
    R"("Prefix":"/8080/","Type":"unsafe","TimeoutMs":1000,"SloMs":150,"Priority":1,)"
    R"("Service":"huvo11a","MaxAttempts":2}],"Services":[{"Name":"huvo11a","HealthPath":"/up","MaxFlows":2000}],"Limits":{"IdleTimeoutMs":15000}})";

std::string with_replaced(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t place = text.find(from);
    REQUIRE(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

http_reply reply_of(int status, const std::string& body)
{
    http_reply reply;
    reply.status = status;
    reply.body = body;
    return reply;
}

store_call watch_call()
{
    store_call call;
    call.kind = store_call_kind::watch;
    call.after_revision = 411;
    call.wait = millis{1'000};
    return call;
}

// A settings file that is removed at the end of the test.
struct settings_file
{
    std::string path = "/tmp/briarbarrow-settings-test-" + std::to_string(getpid()) + ".toml";

    explicit settings_file(const std::string& text)
    {
        std::ofstream(this->path) << text;
    }

    ~settings_file()
    {
        std::remove(this->path.c_str());
    }
};

const std::string good_settings = R"(NodeName = "front-quito-a-1"
Zone = "quito-a"
Seeds = ["10.1.0.10:8166","10.2.0.40:8166"]
InternalPorts = [7720,7735]
Forwarding = "echo"
SomethingNew = 3
[ListenAddrs]
DatagramAddr = "10.1.0.10:8172"
Ready = "10.1.0.10:8167"
Control = "10.1.0.10:8166"
[Bounds]
GraceS = 6
DrainMs = 3000
[platform]
Address = "10.200.1.7:8169"
ValueBytes = 524288
)";

} // namespace

TEST_CASE("decode_packet: each field of the documented example packet")
{
    const auto packet = decode_packet(example_opening);
    REQUIRE(packet);
    CHECK(packet.value().opens);
    CHECK(packet.value().sequence == 0x11223344);
    CHECK(to_string(packet.value().tuple.source) == "100.64.0.7");
    CHECK(packet.value().tuple.source_port == 40'001);
    CHECK(to_string(packet.value().tuple.destination) == "198.18.0.1");
    CHECK(packet.value().tuple.destination_port == 443);
    CHECK(packet.value().tag == no_tag);
}

TEST_CASE("encode_reset: produces the bytes of the documented example")
{
    const auto packet = decode_packet(example_opening);
    wire_buffer out;
    encode_reset(out, packet.value().tuple, 0);
    CHECK(std::vector<std::uint8_t>(out.begin(), out.end()) == example_reset);
}

TEST_CASE("encode_forward_header: changes nothing in the packet but its tag")
{
    wire_buffer out;
    encode_forward_header(out, example_opening, 0x7f3a91c2, 0xaabbccdd);
    std::vector<std::uint8_t> expected{0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2};
    expected.insert(expected.end(), example_opening.begin(), example_opening.end());
    expected[36] = 0xdd;
    expected[37] = 0xcc;
    expected[38] = 0xbb;
    expected[39] = 0xaa;
    CHECK(std::vector<std::uint8_t>(out.begin(), out.end()) == expected);
}

TEST_CASE("decode_packet: each kind of malformed packet is rejected with its own reason")
{
    std::vector<std::uint8_t> truncated = example_opening;
    truncated.pop_back();
    CHECK(decode_packet(truncated).error() == packet_error::truncated);
    std::vector<std::uint8_t> extended = example_opening;
    extended.push_back(0);
    CHECK(decode_packet(extended).error() == packet_error::wrong_length);
    std::vector<std::uint8_t> contradictory = example_opening;
    contradictory[24] = 2 | 8;
    CHECK(decode_packet(contradictory).error() == packet_error::contradicting_flags);
    std::vector<std::uint8_t> oversized = example_opening;
    oversized[26] = 0xff;
    oversized[27] = 0xff;
    CHECK(decode_packet(oversized).error() == packet_error::oversized);
}

TEST_CASE("decode_packet: corrupted datagrams never crash it")
{
    std::mt19937_64 random(20261204);
    int read = 0;
    for (int i = 0; i < 50'000; ++i)
    {
        read += decode_packet(corrupt_randomly(example_opening, random)) ? 1 : 0;
    }
    CHECK(read > 10'000);
    CHECK(read < 50'000);
}

TEST_CASE("decode_backend: each field of an entry")
{
    const auto registration = decode_backend("i-7f3a91c2", backend_entry);
    REQUIRE(registration);
    CHECK(registration.value().wire_number == 0x7f3a91c2);
    CHECK(registration.value().service == "huvo11a");
    CHECK(registration.value().zone == "quito-a");
    CHECK(to_string(registration.value().packets) == "10.128.0.9:8080");
    CHECK(registration.value().slots == 2);
    CHECK_FALSE(registration.value().is_draining);
    CHECK(registration.value().warm_up_remaining == millis{1'200});
    CHECK(registration.value().start_time_ms == 1'776'023'053'031);
    CHECK(decode_backend("i-7f3a91c2", with_replaced(backend_entry, "ready", "draining"))
              .value()
              .is_draining);
}

TEST_CASE("decode_backend: malformed entries and names are rejected")
{
    const std::vector<std::pair<std::string, std::string>> replacements{
        {R"("Service":"huvo11a",)", ""},
        {R"("MaxConcurrent":2)", R"("MaxConcurrent":"2")"},
        {R"("MaxConcurrent":2)", R"("MaxConcurrent":0)"},
        {R"("State":"ready")", R"("State":"resting")"},
        {R"("State":"ready")", R"("State":1)"},
        {R"("Address":"10.128.0.9:8080")", R"("Address":"somewhere")"},
        {R"("born":1776023053031)", R"("born":1776023053031.5)"},
        {R"("born":1776023053031)", R"("died":1)"},
        {R"("CallSeq":4)", R"("CallSeq":null)"},
        {"{", "["}};
    for (const std::pair<std::string, std::string>& replacement : replacements)
    {
        CAPTURE(replacement.second);
        CHECK_FALSE(decode_backend(
            "i-7f3a91c2", with_replaced(backend_entry, replacement.first, replacement.second)));
    }
    CHECK_FALSE(decode_backend("i-xyz", backend_entry));
    CHECK_FALSE(decode_backend("i-7f3a91c27f3a91c27f3a91c2", backend_entry));
    CHECK_FALSE(decode_backend("i-7f3a91c2", std::string("\xff\xfe\x00\x01", 4)));
}

TEST_CASE("decode_routes: each field, and unknown request kinds are not sent twice")
{
    const auto routes = decode_routes(configuration_text);
    REQUIRE(routes);
    CHECK(routes.value().version == 7);
    CHECK(routes.value().idle_timeout == millis{15'000});
    CHECK(routes.value().health_paths.at(service_id_of("huvo11a")) == "/up");
    REQUIRE(routes.value().routes.size() == 2);
    const route& split = routes.value().routes[0];
    CHECK(to_string(split.address) == "198.18.0.1:8443");
    CHECK(split.kind == request_kind::idempotent);
    CHECK(split.timeout == millis{800});
    CHECK(split.objective == millis{120});
    CHECK(split.priority == 2);
    REQUIRE(split.services.size() == 2);
    CHECK(split.services[1].service == service_id_of("wuno96b"));
    CHECK(split.services[1].weight == 10);
    CHECK(routes.value().routes[1].kind == request_kind::at_most_once);
    // A request of an unknown kind must not be sent twice.
    CHECK(decode_routes(with_replaced(configuration_text, "\"safe\"", "\"odd\""))
              .value()
              .routes[0]
              .kind == request_kind::at_most_once);
    CHECK_FALSE(decode_routes(with_replaced(configuration_text, "/8443/", "8443")));
    CHECK_FALSE(decode_routes("[]"));
}

TEST_CASE("decode_store_response: entries, and a distinct outcome for each kind of failure")
{
    const std::string events =
        R"({"events":[{"Key":"my/leader","Value":"bm9kZS0x","Revision":412,"Created":412,)"
        R"("Lease":77120},{"Key":"my/old","Revision":413,"Deleted":true}],"CurrentRev":413})";
    const store_response watch = decode_store_response(watch_call(), reply_of(200, events));
    REQUIRE(watch.outcome == store_outcome::answered);
    CHECK(watch.store_revision == 413);
    REQUIRE(watch.items.size() == 2);
    CHECK(watch.items[0].value == "node-1");
    CHECK(watch.items[1].is_deleted);
    CHECK(watch.last_key == "my/old");
    CHECK(decode_store_response(watch_call(), reply_of(0, "")).outcome ==
          store_outcome::unreachable);
    CHECK(decode_store_response(watch_call(), reply_of(410, "")).outcome ==
          store_outcome::history_compacted);
    CHECK(decode_store_response(watch_call(), reply_of(503, "")).outcome == store_outcome::refused);
    CHECK(decode_store_response(watch_call(), reply_of(429, "")).outcome == store_outcome::refused);
    CHECK(decode_store_response(watch_call(), reply_of(200, "{}")).outcome ==
          store_outcome::malformed);
    CHECK(decode_store_response(watch_call(), reply_of(200, events.substr(0, 60))).outcome ==
          store_outcome::malformed);
    store_call read;
    const std::string items = R"({"items":[],"HasMore":true,"CurrentRev":530})";
    CHECK(decode_store_response(read, reply_of(200, items)).has_more);
    CHECK(decode_store_response(read, reply_of(200, events)).outcome == store_outcome::malformed);
}

TEST_CASE("decode_store_response: the era is read from the headers of answers and of failures")
{
    http_reply reply = reply_of(410, "");
    CHECK_FALSE(decode_store_response(watch_call(), reply).store_era);
    reply.headers.entries = {{"Content-Length", "0"}, {"store-era", "3"}};
    CHECK(decode_store_response(watch_call(), reply).store_era == 3);
    reply.headers.entries = {{"Store-Era", "three"}};
    CHECK_FALSE(decode_store_response(watch_call(), reply).store_era);
}

TEST_CASE("make_request_target: matches the platform's documentation and escapes keys")
{
    CHECK(make_request_target(watch_call()) ==
          "/briarbarrow/kv-watch?Prefix=&after=411&WaitMs=1000");
    store_call read;
    CHECK(make_request_target(read) == "/briarbarrow/kv-range?Prefix=");
    read.after_key = "servers/a b";
    CHECK(make_request_target(read) == "/briarbarrow/kv-range?Prefix=&after=servers%2Fa%20b");
}

TEST_CASE(
    "make_read_order: what operators write comes first, then a point among the backend servers")
{
    const read_order order = make_read_order(0x9abc'def0'1234'5678);
    CHECK(std::string("op/config").starts_with(order.common_prefix));
    CHECK(std::string("op/evacuate/quito-a").starts_with(order.common_prefix));
    CHECK(order.common_prefix < "servers/");
    CHECK(order.start_key == "servers/i-9abcdef0");
}

TEST_CASE("corrupted store responses, entries and configurations never crash the decoders")
{
    std::mt19937_64 random(20261204);
    const std::string response =
        R"({"events":[{"Key":"a","Value":"bm9kZS0x","Revision":412}],"items":[],"CurrentRev":4})";
    int refused = 0;
    for (int i = 0; i < 20'000; ++i)
    {
        const auto corrupt = [&random](const std::string& text)
        {
            const auto bytes = corrupt_randomly({text.begin(), text.end()}, random);
            return std::string(bytes.begin(), bytes.end());
        };
        refused += decode_backend("i-7f3a91c2", corrupt(backend_entry)) ? 0 : 1;
        refused += decode_routes(corrupt(configuration_text)) ? 0 : 1;
        const store_response read =
            decode_store_response(watch_call(), reply_of(200, corrupt(response)));
        refused += read.outcome == store_outcome::answered ? 0 : 1;
    }
    CHECK(refused > 5'000);
    CHECK(refused < 60'000);
}

TEST_CASE("parse_request_id: any letter case, missing, empty and oversized ids")
{
    CHECK(parse_request_id("GET / HTTP/1.1\r\nRequest-Id: 99a9\r\nHost: x\r\n\r\n") == "99a9");
    CHECK(parse_request_id("GET / HTTP/1.1\r\nrequest-id:99a9") == "99a9");
    CHECK(parse_request_id("GET / HTTP/1.1\r\n\r\n").empty());
    CHECK(parse_request_id("").empty());
    CHECK(parse_request_id("Request-Id:").empty());
    CHECK(parse_request_id("Request-Id: " + std::string(500, 'x')).size() == 64);
}

TEST_CASE("read_machine_settings: each setting, with unknown keys ignored")
{
    const settings_file file(good_settings);
    const auto settings = read_machine_settings(file.path);
    REQUIRE(settings);
    CHECK(settings.value().host == "front-quito-a-1");
    CHECK(to_string(settings.value().packet_endpoint) == "10.1.0.10:8172");
    CHECK(to_string(settings.value().peer_endpoint) == "10.1.0.10:7720");
    REQUIRE(settings.value().seeds.size() == 2);
    CHECK(to_string(settings.value().seeds[1]) == "10.2.0.40:7720");
    CHECK(settings.value().stop_grace_period == millis{6'000});
    CHECK(settings.value().max_value_bytes == 524'288);
    REQUIRE(settings.value().metrics_endpoint);
    CHECK(to_string(*settings.value().metrics_endpoint) == "10.1.0.10:7735");
    const settings_file one_port(with_replaced(good_settings, "[7720,7735]", "[7720]"));
    const auto without_page = read_machine_settings(one_port.path);
    REQUIRE(without_page);
    CHECK_FALSE(without_page.value().metrics_endpoint);
}

TEST_CASE("read_machine_settings: reports all errors together, with file and line")
{
    std::string bad = with_replaced(good_settings, "Zone = \"quito-a\"\n", "");
    bad = with_replaced(bad, "\"10.1.0.10:8172\"", "\"10.1.0.10\"");
    bad = with_replaced(bad, "GraceS = 6", "GraceS = -1");
    bad = with_replaced(bad, "\"echo\"", "\"kv\"");
    const settings_file file(bad);
    const auto settings = read_machine_settings(file.path);
    REQUIRE_FALSE(settings);
    const std::string& text = settings.error().message;
    CHECK(text.find("Zone") != std::string::npos);
    CHECK(text.find(file.path + ":7") != std::string::npos);
    CHECK(text.find("GraceS") != std::string::npos);
    CHECK(text.find("Forwarding") != std::string::npos);
    const settings_file broken("NodeName = ");
    CHECK_FALSE(read_machine_settings(broken.path));
    CHECK_FALSE(read_machine_settings("/nowhere/at/all.toml"));
}

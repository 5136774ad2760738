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

// The example of the users' pages: SYN from 100.64.0.7:40001 to 198.18.0.1:443.
const std::vector<std::uint8_t> example_opening{
    0x44, 0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00, 0x07, 0x00, 0x40, 0x64, 0x01, 0x00, 0x12, 0xc6,
    0xbb, 0x01, 0x41, 0x9c, 0xd5, 0xc3, 0xb2, 0xa1, 0x02, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};
const std::vector<std::uint8_t> example_reset{
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0x00, 0x12, 0xc6, 0x07, 0x00, 0x40, 0x64,
    0x41, 0x9c, 0xbb, 0x01, 0x00, 0x00, 0x00, 0x00, 0x80, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

const std::string entry =
    R"({"Service":"huvo11a","Address":"10.128.0.9:8080","Zone":"quito-a","Version":"v1",)"
    R"("MaxConcurrent":2,"State":"ready","WarmupLeftMs":1200,"CallSeq":4,"born":1776023053031})";

const std::string configuration_text =
    R"({"Version":7,"Routes":[{"Name":"r-a","Host":"198.18.0.1","Prefix":"/8443/","Type":"safe",)"
    R"("TimeoutMs":800,"SloMs":120,"Priority":2,"TrafficSplit":[{"Service":"huvo11a","Weight":90},)"
    R"({"Service":"wuno96b","Weight":10}],"MaxAttempts":2},{"Name":"r-x","Host":"198.18.0.1",)"
    R"("Prefix":"/8080/","Type":"unsafe","TimeoutMs":1000,"SloMs":150,"Priority":1,)"
    R"("Service":"huvo11a","MaxAttempts":2}],"Services":[{"Name":"huvo11a","HealthPath":"/up","MaxFlows":2000}],"Limits":{"IdleTimeoutMs":15000}})";

std::string with(std::string text, const std::string& from, const std::string& to)
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

// A settings file that is removed again.
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
)";

} // namespace

TEST_CASE("the example packet of the users' pages is read field by field")
{
    const auto packet = read_packet(example_opening);
    REQUIRE(packet);
    CHECK(packet.value().opens);
    CHECK(packet.value().sequence == 0x11223344);
    CHECK(to_string(packet.value().tuple.source) == "100.64.0.7");
    CHECK(packet.value().tuple.source_port == 40'001);
    CHECK(to_string(packet.value().tuple.destination) == "198.18.0.1");
    CHECK(packet.value().tuple.destination_port == 443);
    CHECK(packet.value().tag == no_tag);
}

TEST_CASE("the reset of the users' pages is written byte by byte")
{
    const auto packet = read_packet(example_opening);
    wire_buffer out;
    write_reset(out, packet.value().tuple, 0);
    CHECK(std::vector<std::uint8_t>(out.begin(), out.end()) == example_reset);
}

TEST_CASE("a packet on its way to a backend server changes in its tag only")
{
    wire_buffer out;
    write_forward_head(out, example_opening, 0x7f3a91c2, 0xaabbccdd);
    std::vector<std::uint8_t> wanted{0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2};
    wanted.insert(wanted.end(), example_opening.begin(), example_opening.end());
    wanted[36] = 0xdd;
    wanted[37] = 0xcc;
    wanted[38] = 0xbb;
    wanted[39] = 0xaa;
    CHECK(std::vector<std::uint8_t>(out.begin(), out.end()) == wanted);
}

TEST_CASE("datagrams that are no whole packet are refused by reason")
{
    std::vector<std::uint8_t> cut = example_opening;
    cut.pop_back();
    CHECK(read_packet(cut).error() == packet_error::truncated);
    std::vector<std::uint8_t> longer = example_opening;
    longer.push_back(0);
    CHECK(read_packet(longer).error() == packet_error::wrong_length);
    std::vector<std::uint8_t> forged = example_opening;
    forged[24] = 2 | 8;
    CHECK(read_packet(forged).error() == packet_error::contradicting_flags);
    std::vector<std::uint8_t> large = example_opening;
    large[26] = 0xff;
    large[27] = 0xff;
    CHECK(read_packet(large).error() == packet_error::oversized);
}

TEST_CASE("junk datagrams are refused or read, never a crash")
{
    std::mt19937_64 random(20261204);
    int read = 0;
    for (int i = 0; i < 50'000; ++i)
    {
        read += read_packet(spoil(example_opening, random)) ? 1 : 0;
    }
    CHECK(read > 10'000);
    CHECK(read < 50'000);
}

TEST_CASE("a backend server's entry is read into its notice")
{
    const auto registration = read_backend("i-7f3a91c2", entry);
    REQUIRE(registration);
    CHECK(registration.value().wire_number == 0x7f3a91c2);
    CHECK(registration.value().service == "huvo11a");
    CHECK(registration.value().zone == "quito-a");
    CHECK(to_string(registration.value().packets) == "10.128.0.9:8080");
    CHECK(registration.value().slots == 2);
    CHECK_FALSE(registration.value().is_draining);
    CHECK(registration.value().warm_up_remaining == millis{1'200});
    CHECK(registration.value().start_time_ms == 1'776'023'053'031);
    CHECK(read_backend("i-7f3a91c2", with(entry, "ready", "draining")).value().is_draining);
}

TEST_CASE("entries of other writers name no backend server")
{
    const std::vector<std::pair<std::string, std::string>> faults{
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
    for (const std::pair<std::string, std::string>& fault : faults)
    {
        CAPTURE(fault.second);
        CHECK_FALSE(read_backend("i-7f3a91c2", with(entry, fault.first, fault.second)));
    }
    CHECK_FALSE(read_backend("i-xyz", entry));
    CHECK_FALSE(read_backend("i-7f3a91c27f3a91c27f3a91c2", entry));
    CHECK_FALSE(read_backend("i-7f3a91c2", std::string("\xff\xfe\x00\x01", 4)));
}

TEST_CASE("a configuration is read into routes")
{
    const auto routes = read_routes(configuration_text);
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
    // A kind that is not known may run once at most.
    CHECK(read_routes(with(configuration_text, "\"safe\"", "\"odd\"")).value().routes[0].kind ==
          request_kind::at_most_once);
    CHECK_FALSE(read_routes(with(configuration_text, "/8443/", "8443")));
    CHECK_FALSE(read_routes("[]"));
}

TEST_CASE("answers of the store are read, and what they are not is told apart")
{
    const std::string events =
        R"({"events":[{"Key":"my/leader","Value":"bm9kZS0x","Revision":412,"Created":412,)"
        R"("Lease":77120},{"Key":"my/old","Revision":413,"Deleted":true}],"CurrentRev":413})";
    const store_answer watch = read_answer(watch_call(), reply_of(200, events));
    REQUIRE(watch.outcome == store_outcome::answered);
    CHECK(watch.store_revision == 413);
    REQUIRE(watch.items.size() == 2);
    CHECK(watch.items[0].value == "node-1");
    CHECK(watch.items[1].is_deleted);
    CHECK(read_answer(watch_call(), reply_of(0, "")).outcome == store_outcome::unreachable);
    CHECK(read_answer(watch_call(), reply_of(410, "")).outcome == store_outcome::history_gone);
    CHECK(read_answer(watch_call(), reply_of(503, "")).outcome == store_outcome::refused);
    CHECK(read_answer(watch_call(), reply_of(429, "")).outcome == store_outcome::refused);
    CHECK(read_answer(watch_call(), reply_of(200, "{}")).outcome == store_outcome::garbled);
    CHECK(read_answer(watch_call(), reply_of(200, events.substr(0, 60))).outcome ==
          store_outcome::garbled);
    store_call read;
    const std::string items = R"({"items":[],"HasMore":true,"CurrentRev":530})";
    CHECK(read_answer(read, reply_of(200, items)).has_more);
    CHECK(read_answer(read, reply_of(200, events)).outcome == store_outcome::garbled);
}

TEST_CASE("calls have the form of the users' pages")
{
    CHECK(call_target(watch_call()) == "/briarbarrow/kv-watch?Prefix=&after=411&WaitMs=1000");
    store_call read;
    CHECK(call_target(read) == "/briarbarrow/kv-range?Prefix=");
    read.after_key = "servers/a b";
    CHECK(call_target(read) == "/briarbarrow/kv-range?Prefix=&after=servers%2Fa%20b");
}

TEST_CASE("junk from the store is refused or read, never a crash")
{
    std::mt19937_64 random(20261204);
    const std::string answer =
        R"({"events":[{"Key":"a","Value":"bm9kZS0x","Revision":412}],"items":[],"CurrentRev":4})";
    int refused = 0;
    for (int i = 0; i < 20'000; ++i)
    {
        const auto junk = [&random](const std::string& text)
        {
            const auto bytes = spoil({text.begin(), text.end()}, random);
            return std::string(bytes.begin(), bytes.end());
        };
        refused += read_backend("i-7f3a91c2", junk(entry)) ? 0 : 1;
        refused += read_routes(junk(configuration_text)) ? 0 : 1;
        const store_answer read = read_answer(watch_call(), reply_of(200, junk(answer)));
        refused += read.outcome == store_outcome::answered ? 0 : 1;
    }
    CHECK(refused > 5'000);
    CHECK(refused < 60'000);
}

TEST_CASE("the id of a request is read where it is readable")
{
    CHECK(read_request_id("GET / HTTP/1.1\r\nRequest-Id: 99a9\r\nHost: x\r\n\r\n") == "99a9");
    CHECK(read_request_id("GET / HTTP/1.1\r\nrequest-id:99a9") == "99a9");
    CHECK(read_request_id("GET / HTTP/1.1\r\n\r\n").empty());
    CHECK(read_request_id("").empty());
    CHECK(read_request_id("Request-Id:").empty());
    CHECK(read_request_id("Request-Id: " + std::string(500, 'x')).size() == 64);
}

TEST_CASE("settings of the platform are read, and new keys are passed over")
{
    const settings_file file(good_settings);
    const auto settings = read_machine_settings(file.path);
    REQUIRE(settings);
    CHECK(settings.value().host == "front-quito-a-1");
    CHECK(to_string(settings.value().packets) == "10.1.0.10:8172");
    CHECK(to_string(settings.value().peers) == "10.1.0.10:7720");
    REQUIRE(settings.value().seeds.size() == 2);
    CHECK(to_string(settings.value().seeds[1]) == "10.2.0.40:7720");
    CHECK(settings.value().stop_grace == millis{6'000});
    REQUIRE(settings.value().metrics);
    CHECK(to_string(*settings.value().metrics) == "10.1.0.10:7735");
    const settings_file one_port(with(good_settings, "[7720,7735]", "[7720]"));
    const auto without_page = read_machine_settings(one_port.path);
    REQUIRE(without_page);
    CHECK_FALSE(without_page.value().metrics);
}

TEST_CASE("faults in the settings are told together, with file and line")
{
    std::string bad = with(good_settings, "Zone = \"quito-a\"\n", "");
    bad = with(bad, "\"10.1.0.10:8172\"", "\"10.1.0.10\"");
    bad = with(bad, "GraceS = 6", "GraceS = -1");
    bad = with(bad, "\"echo\"", "\"kv\"");
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

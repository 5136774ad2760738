#include <doctest/doctest.h>

#include <random>

#include <sys/socket.h>
#include <unistd.h>

#include "adapters/etcd_codec.hpp"
#include "adapters/tun_port.hpp"
#include "standin/kv_store.hpp"
#include "testing/junk.hpp"

using namespace briarbarrow;

TEST_CASE("requests follow the published etcd JSON mapping")
{
    CHECK(encode_range("a", "b") == R"({"key":"YQ==","range_end":"Yg=="})");
    CHECK(encode_put({"a", "b"}, 7) == R"({"key":"YQ==","lease":"7","value":"Yg=="})");
    const std::string transaction = encode_transaction({"a", 3, {{"a", "b"}}, {"c"}});
    CHECK(transaction ==
          R"({"compare":[{"key":"YQ==","mod_revision":"3","result":"EQUAL","target":"MOD"}],)"
          R"("success":[{"request_put":{"key":"YQ==","value":"Yg=="}},)"
          R"({"request_delete_range":{"key":"Yw=="}}]})");
    CHECK(prefix_end("/briarbarrow/") == "/briarbarrow0");
}

TEST_CASE("responses with absent fields are decoded")
{
    const auto range = decode_range(
        R"({"header":{"revision":"9"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"4"}]})");
    REQUIRE(range.has_value());
    CHECK(range.value().store_revision == 9);
    CHECK(range.value().entries[0].value == "b");
    CHECK(range.value().entries[0].mod_revision == 4);
    CHECK(decode_range(R"({"header":{"revision":"9"}})").value().entries.empty());
    CHECK(!decode_transaction(R"({"header":{}})").value());
    CHECK(decode_transaction(R"({"succeeded":true})").value());
    CHECK(!decode_range("junk").has_value());
    const auto watch = decode_watch(
        R"({"result":{"events":[{"kv":{"key":"YQ=="}},{"type":"DELETE","kv":{"key":"Yg=="}}]}})");
    CHECK(watch.value().puts.size() == 1);
    CHECK(watch.value().deletes == std::vector<std::string>{"b"});
}

TEST_CASE("corrupted responses from the platform are rejected without a crash")
{
    std::mt19937_64 random(20261204);
    const std::string response =
        R"({"header":{"revision":"9"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"4"}],)"
        R"("result":{"TTL":"60","events":[{"type":"PUT","kv":{"key":"YQ=="}}]},"ID":"7"})";
    int rejected = 0;
    for (int i = 0; i < 20'000; ++i)
    {
        const auto bytes = corrupt_randomly({response.begin(), response.end()}, random);
        const std::string text(bytes.begin(), bytes.end());
        rejected += decode_range(text) ? 0 : 1;
        rejected += decode_watch(text) ? 0 : 1;
        rejected += decode_transaction(text) ? 0 : 1;
        rejected += decode_lease_grant(text) ? 0 : 1;
        rejected += decode_keep_alive(text) ? 0 : 1;
    }
    CHECK(rejected > 20'000);
}

TEST_CASE("the stand-in removes a key when its lease expires, and not before")
{
    kv_store store;
    const std::int64_t lease = grant_lease(store, millis{1'000}, millis{0});
    put_value(store, "a", "1", lease);
    put_value(store, "b", "2", 0);
    expire_leases(store, millis{900});
    CHECK(store.values.size() == 2);
    CHECK(renew_lease(store, lease, millis{900}) == millis{1'000});
    expire_leases(store, millis{1'800});
    CHECK(store.values.size() == 2);
    expire_leases(store, millis{1'900});
    CHECK(store.values.size() == 1);
    CHECK(renew_lease(store, lease, millis{2'000}) == millis{0});
}

TEST_CASE("a TUN port keeps packet boundaries in both directions")
{
    int ends[2] = {-1, -1};
    REQUIRE(socketpair(AF_UNIX, SOCK_DGRAM | SOCK_NONBLOCK, 0, ends) == 0);
    std::vector<std::vector<std::uint8_t>> received;
    {
        tun_port port(ends[0], [&received](std::span<const std::uint8_t> packet)
                      { received.emplace_back(packet.begin(), packet.end()); });
        const std::vector<std::uint8_t> sent{1, 2, 3};
        REQUIRE(write(ends[1], sent.data(), sent.size()) == 3);
        REQUIRE(write(ends[1], sent.data(), 2) == 2);
        while (received.size() < 2)
        {
            g_main_context_iteration(nullptr, TRUE);
        }
        CHECK(received[0] == sent);
        CHECK(received[1].size() == 2);
        CHECK(port.send(sent));
        std::array<std::uint8_t, 8> back{};
        CHECK(read(ends[1], back.data(), back.size()) == 3);
    }
    close(ends[1]);
}

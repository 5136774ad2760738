#include <doctest/doctest.h>

#include <random>

#include <sys/socket.h>
#include <unistd.h>

#include "adapters/etcd_codec.hpp"
#include "adapters/tun_port.hpp"
#include "standin/kv_store.hpp"
#include "testing/junk.hpp"

using namespace briarbarrow;

TEST_CASE("requests have the published form")
{
    CHECK(encode_range("a", "b") == R"({"key":"YQ==","range_end":"Yg=="})");
    CHECK(encode_put({"a", "b"}, 7) == R"({"key":"YQ==","lease":"7","value":"Yg=="})");
    const std::string swap = encode_swap({"a", 3, {{"a", "b"}}, {"c"}});
    CHECK(swap ==
          R"({"compare":[{"key":"YQ==","mod_revision":"3","result":"EQUAL","target":"MOD"}],)"
          R"("success":[{"request_put":{"key":"YQ==","value":"Yg=="}},)"
          R"({"request_delete_range":{"key":"Yw=="}}]})");
    CHECK(prefix_end("/briarbarrow/") == "/briarbarrow0");
}

TEST_CASE("answers are read, also with absent fields")
{
    const auto range = decode_range(
        R"({"header":{"revision":"9"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"4"}]})");
    REQUIRE(range.has_value());
    CHECK(range.value().store_revision == 9);
    CHECK(range.value().entries[0].value == "b");
    CHECK(range.value().entries[0].mod_revision == 4);
    CHECK(decode_range(R"({"header":{"revision":"9"}})").value().entries.empty());
    CHECK(!decode_swap(R"({"header":{}})").value());
    CHECK(decode_swap(R"({"succeeded":true})").value());
    CHECK(!decode_range("junk").has_value());
    const auto watch = decode_watch(
        R"({"result":{"events":[{"kv":{"key":"YQ=="}},{"type":"DELETE","kv":{"key":"Yg=="}}]}})");
    CHECK(watch.value().puts.size() == 1);
    CHECK(watch.value().deletes == std::vector<std::string>{"b"});
}

TEST_CASE("junk answers from the platform are refused, never a crash")
{
    std::mt19937_64 random(20261204);
    const std::string answer =
        R"({"header":{"revision":"9"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"4"}],)"
        R"("result":{"TTL":"60","events":[{"type":"PUT","kv":{"key":"YQ=="}}]},"ID":"7"})";
    int refused = 0;
    for (int i = 0; i < 20'000; ++i)
    {
        const auto bytes = spoil({answer.begin(), answer.end()}, random);
        const std::string text(bytes.begin(), bytes.end());
        refused += decode_range(text) ? 0 : 1;
        refused += decode_watch(text) ? 0 : 1;
        refused += decode_swap(text) ? 0 : 1;
        refused += decode_lease_grant(text) ? 0 : 1;
        refused += decode_keep_alive(text) ? 0 : 1;
    }
    CHECK(refused > 20'000);
}

TEST_CASE("the stand-in's keys go when their lease ends")
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

TEST_CASE("a TUN descriptor hands packets over and takes them")
{
    int ends[2] = {-1, -1};
    REQUIRE(socketpair(AF_UNIX, SOCK_DGRAM | SOCK_NONBLOCK, 0, ends) == 0);
    std::vector<std::vector<std::uint8_t>> got;
    {
        tun_port port(ends[0], [&got](std::span<const std::uint8_t> packet)
                      { got.emplace_back(packet.begin(), packet.end()); });
        const std::vector<std::uint8_t> sent{1, 2, 3};
        REQUIRE(write(ends[1], sent.data(), sent.size()) == 3);
        REQUIRE(write(ends[1], sent.data(), 2) == 2);
        while (got.size() < 2)
        {
            g_main_context_iteration(nullptr, TRUE);
        }
        CHECK(got[0] == sent);
        CHECK(got[1].size() == 2);
        CHECK(port.send(sent));
        std::array<std::uint8_t, 8> back{};
        CHECK(read(ends[1], back.data(), back.size()) == 3);
    }
    close(ends[1]);
}

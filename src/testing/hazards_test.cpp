// Faults that operators of similar systems have met. docs/DESIGN.md lists them with all tests; here
// are those of late copies and of pauses on the port whose packets carry a tag.
#include <array>
#include <chrono>
#include <ctime>
#include <optional>
#include <string>
#include <thread>

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_channel.hpp"
#include "net/monotonic_clock.hpp"
#include "net/socket_address.hpp"
#include "store_codec.hpp"
#include "testing/replica_fleet.hpp"
#include "testing/router_fixture.hpp"

using namespace briarbarrow;

namespace
{

// An HTTP server that sends each response twice: the body is the path of the request.
struct repeating_server
{
    int listener = -1;
    endpoint address;
    std::thread thread;

    explicit repeating_server(std::chrono::milliseconds copy_delay)
    {
        this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_storage bound{};
        const socklen_t length = to_socket_address(endpoint{*parse_address("127.0.0.1"), 0}, bound);
        REQUIRE(bind(this->listener, reinterpret_cast<sockaddr*>(&bound), length) == 0);
        REQUIRE(listen(this->listener, 8) == 0);
        socklen_t size = sizeof(bound);
        getsockname(this->listener, reinterpret_cast<sockaddr*>(&bound), &size);
        this->address = from_socket_address(bound);
        this->thread = std::thread([this, copy_delay]() { this->serve(copy_delay); });
    }

    ~repeating_server()
    {
        shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        close(this->listener);
    }

    void serve(std::chrono::milliseconds copy_delay) const
    {
        for (int connection = accept(this->listener, nullptr, nullptr); connection >= 0;
             connection = accept(this->listener, nullptr, nullptr))
        {
            serve_connection(connection, copy_delay);
            close(connection);
        }
    }

    static void serve_connection(int connection, std::chrono::milliseconds copy_delay)
    {
        std::array<char, 1'024> bytes{};
        for (ssize_t count = recv(connection, bytes.data(), bytes.size(), 0); count > 0;
             count = recv(connection, bytes.data(), bytes.size(), 0))
        {
            const std::string request(bytes.data(), static_cast<std::size_t>(count));
            const std::string path = request.substr(4, request.find(' ', 4) - 4);
            const std::string response =
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(path.size()) + "\r\n\r\n" +
                path;
            if (copy_delay.count() == 0)
            {
                const std::string both = response + response;
                send(connection, both.data(), both.size(), MSG_NOSIGNAL);
                continue;
            }
            send(connection, response.data(), response.size(), MSG_NOSIGNAL);
            std::this_thread::sleep_for(copy_delay);
            send(connection, response.data(), response.size(), MSG_NOSIGNAL);
        }
    }
};

http_reply get(http_channel& channel, const std::string& target)
{
    std::optional<http_reply> received;
    channel.get(target, millis{2'000}, [&received](const http_reply& reply) { received = reply; });
    while (!received)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    return *received;
}

// A daemon's replica sync with one store call at a time.
struct sync_driver
{
    replica_sync sync;
    millis now{100'000};
    std::optional<store_call> call;

    sync_driver()
    {
        start_replica_sync(this->sync, report_of(0, "zone-0"), {}, 1);
    }

    void run(std::int64_t duration_ms)
    {
        for (const millis end = this->now + millis{duration_ms}; this->now < end;)
        {
            this->now = this->now + router_tick_interval;
            sync_actions actions;
            tick_replica_sync(this->sync, this->now, actions);
            this->call = actions.call ? actions.call : this->call;
        }
    }

    // A response that began to arrive at `begun`, and has arrived now.
    void respond(std::vector<store_item> items, std::optional<millis> begun = std::nullopt)
    {
        store_response response;
        response.begun = begun;
        response.outcome = store_outcome::answered;
        response.store_revision = 7;
        response.last_key = items.empty() ? "" : items.back().key;
        response.items = std::move(items);
        this->call.reset();
        sync_updates updates;
        handle_store_response(this->sync, response, this->now, updates);
    }
};

// Opens a flow and returns its opening packet; `tag` becomes the tag of its backend server.
tagged_packet open_flow(router_fixture& fixture, std::uint32_t& tag)
{
    const tagged_packet opening = fixture.opening(orders_address);
    tag = fixture.route(opening).tag;
    fixture.route(router_fixture::data(opening, tag));
    return opening;
}

} // namespace

// The network or a daemon that was paused can deliver an opening packet seconds late, when the
// caller uses its port again. Placed like a new flow, it made a second backend server answer, whose
// tag the caller then repeated.
TEST_CASE("late copy: an opening packet doesn't reach a second backend server of an open flow")
{
    router_fixture fixture;
    for (int i = 0; i < 20; ++i)
    {
        std::uint32_t tag = 0;
        const tagged_packet opening = open_flow(fixture, tag);
        for (known_backend& backend : fixture.router.backends.entries)
        {
            // A new flow would go elsewhere.
            backend.evidence.in_flight += backend.tag == tag ? 10 : 0;
        }
        tagged_packet late = opening;
        late.sequence = opening.sequence + 77'000;
        const packet_decision decision = fixture.route(late);
        CHECK(decision.tag == tag);
        CHECK(fixture.route(router_fixture::data(opening, tag)).tag == tag);
    }
}

TEST_CASE("late copy: a caller that uses its port again after a while gets a flow of its own")
{
    router_fixture fixture;
    std::uint32_t tag = 0;
    tagged_packet again = open_flow(fixture, tag);
    again.sequence += 77'000;
    fixture.advance(tuple_reuse_delay.count + 100);
    CHECK(fixture.route(again).reason == verdict_reason::placed);
}

TEST_CASE(
    "late copy: an opening packet for an open flow doesn't reach a backend server that leaves")
{
    router_fixture fixture;
    std::uint32_t tag = 0;
    tagged_packet late = open_flow(fixture, tag);
    late.sequence += 77'000;
    for (const backend_index index : {0U, 1U, 2U, 3U, 4U, 5U})
    {
        backend_registration leaving = fixture.backend(index).registration;
        leaving.is_draining = tag_of(leaving.name) == tag;
        apply_backend_registration(fixture.router, leaving, fixture.now);
    }
    CHECK(fixture.route(late).tag != tag);
}

// Copies that the network delivers together went to one backend server each, and all of them
// answered: the caller repeated the tag of the last one.
TEST_CASE("late copy: copies of an opening packet that arrive together go to one backend server")
{
    for (const std::int64_t spacing_ms : {0, 1, 5, 20})
    {
        router_fixture fixture;
        for (int i = 0; i < 20; ++i)
        {
            tagged_packet opening = fixture.opening(orders_address);
            const std::uint32_t tag = fixture.route(opening).tag;
            for (const std::uint32_t copy : {1U, 2U})
            {
                fixture.now = fixture.now + millis{spacing_ms};
                opening.retransmissions = copy;
                CHECK(fixture.route(opening).tag == tag);
            }
        }
    }
}

// A daemon that has not seen a contested flow open goes by the report of one that has.
TEST_CASE("late copy: the tag of a second answer doesn't lead other daemons astray")
{
    router_fixture fixture;
    router_fixture other;
    tagged_packet opening = fixture.opening(orders_address);
    const std::uint32_t first = fixture.route(opening).tag;
    // No answer, though others answer.
    fixture.advance(200);
    opening.retransmissions = 1;
    const std::uint32_t second = fixture.route(opening).tag;
    REQUIRE(second != first);
    fixture.route(router_fixture::data(opening, second));
    fixture.now = fixture.now + router_tick_interval;
    router_actions actions;
    tick_router(fixture.router, fixture.now, actions);
    REQUIRE(actions.contested.size() == 1);
    handle_contested_flows(other.router, actions.contested, other.now);
    // The first backend server has answered after all.
    const tagged_packet next = router_fixture::data(opening, first);
    CHECK(other.route(next).tag == second);
    // Another flow from the same address is another one's.
    router_fixture third;
    handle_contested_flows(third.router, known_contested_flows(other.router, other.now), third.now);
    tagged_packet foreign = next;
    foreign.sequence += 0x9000'0000U;
    CHECK(third.route(foreign).tag == first);
    // An entry ends with the longest life of a flow, and when the addresses are used again.
    router_fixture late;
    handle_contested_flows(late.router, actions.contested, late.now);
    late.advance(late.router.settings.max_flow_age.count + 2'000);
    CHECK(late.router.contested.flows.empty());
    router_fixture reused;
    handle_contested_flows(reused.router, actions.contested, reused.now);
    // A copy of the opening packet that comes late opens nothing.
    CHECK(reused.route(opening).reason == verdict_reason::overtaken);
    CHECK(reused.router.contested.flows.size() == 1);
    opening.sequence += 77'000;
    opening.retransmissions = 0;
    CHECK(reused.route(opening).reason == verdict_reason::placed);
    CHECK(reused.router.contested.flows.empty());
}

TEST_CASE("late copy: a second copy of a response is not taken for the next one")
{
    for (const int copy_delay_ms : {0, 30})
    {
        const repeating_server server{std::chrono::milliseconds{copy_delay_ms}};
        http_channel channel(server.address);
        for (const std::string target : {"/first", "/second", "/third"})
        {
            CHECK(get(channel, target).body == target);
            // The copy arrives while no request is pending, and nothing has read it.
            std::this_thread::sleep_for(std::chrono::milliseconds{2 * copy_delay_ms});
        }
    }
}

// A copy that arrives after the next request can only be told by what it holds. A page taken for
// the response to a watch would skip the changes that were made during the read.
TEST_CASE("late copy: a response of the store to another call is malformed")
{
    const auto decode = [](const store_call& call, const std::string& body)
    {
        http_reply reply;
        reply.status = 200;
        reply.body = body;
        return platform::decode_store_response(call, reply).outcome;
    };
    const std::string page =
        R"({"items":[{"Key":"servers/i-5","Value":"YQ==","Revision":40}],"HasMore":true,"CurrentRev":50})";
    const std::string events =
        R"({"events":[{"Key":"servers/i-5","Value":"YQ==","Revision":40}],"CurrentRev":40})";
    store_call read;
    store_call watch;
    watch.kind = store_call_kind::watch;
    watch.after_revision = 39;
    CHECK(decode(read, page) == store_outcome::answered);
    CHECK(decode(watch, events) == store_outcome::answered);
    CHECK(decode(watch, page) == store_outcome::malformed);
    CHECK(decode(read, events) == store_outcome::malformed);
    read.after_key = "servers/i-5";
    CHECK(decode(read, page) == store_outcome::malformed);
    watch.after_revision = 40;
    CHECK(decode(watch, events) == store_outcome::malformed);
}

// A suspended machine holds leases and lists that have run out; a clock that stands still meanwhile
// makes them look fresh.
TEST_CASE("pause: the clock counts the time in which the machine is suspended")
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const std::int64_t begin = time.tv_sec * 1'000 + time.tv_nsec / 1'000'000;
    const std::int64_t read = monotonic_now().count;
    clock_gettime(CLOCK_BOOTTIME, &time);
    const std::int64_t end = time.tv_sec * 1'000 + time.tv_nsec / 1'000'000;
    CHECK(begin <= read);
    CHECK(read <= end);
}

// The response to a watch that waited in the socket during a pause says what held when it was sent.
// Taken as current, it let the daemon refuse routes and reset flows by a list of before the pause.
TEST_CASE("pause: a response that was received during a pause doesn't make the list look fresh")
{
    sync_driver driver;
    driver.run(100);
    REQUIRE(driver.call);
    driver.respond({put("op/config", "routes", 3)});
    driver.run(100);
    REQUIRE(driver.call);
    REQUIRE(driver.call->kind == store_call_kind::watch);
    CHECK(replica_age(driver.sync, driver.now) <= millis{100});
    for (const bool is_ticked_first : {false, true})
    {
        driver.now = driver.now + millis{5'000};
        if (is_ticked_first)
        {
            driver.run(router_tick_interval.count);
        }
        driver.respond({});
        CHECK(replica_age(driver.sync, driver.now) >= millis{5'000});
        // The next one returns at once, and then the list is fresh again.
        driver.run(router_tick_interval.count);
        REQUIRE(driver.call);
        CHECK(driver.call->wait == millis{});
        driver.respond({});
        CHECK(replica_age(driver.sync, driver.now) == millis{});
        driver.run(100);
        REQUIRE(driver.call);
        CHECK(driver.call->wait > millis{});
    }
}

TEST_CASE("pause: a response that began before a pause is as old as its begin")
{
    sync_driver driver;
    driver.run(100);
    driver.respond({put("op/config", "routes", 3)});
    driver.run(100);
    REQUIRE(driver.call);
    driver.run(400);
    const millis begun = driver.now;
    driver.run(700);
    driver.now = driver.now + millis{5'000};
    driver.respond({}, begun);
    CHECK(replica_age(driver.sync, driver.now) == driver.now - begun);
}

// A paused daemon finds in its socket opening packets whose callers have given up, or have opened
// the flow with a later copy through another daemon.
TEST_CASE("pause: opening packets that waited until the caller's next copy are not placed")
{
    router_fixture fixture;
    fixture.advance(100);
    tagged_packet unanswered = fixture.opening(orders_address);
    fixture.route(unanswered);
    fixture.now = fixture.now + millis{2'500} + router_tick_interval;
    unanswered.waited = millis{2'500};
    CHECK(fixture.route(unanswered).reason == verdict_reason::overtaken);
    for (const std::int64_t waited_ms : {200, 201, 399, 400, 799, 800, 1'000, 2'499, 2'500, 4'000})
    {
        for (const std::uint32_t copy : {0U, 1U, 2U})
        {
            CAPTURE(waited_ms);
            CAPTURE(copy);
            tagged_packet packet = fixture.opening(copy == 0 ? orders_address : previews_address);
            packet.retransmissions = copy;
            packet.waited = millis{waited_ms};
            const packet_decision decision = fixture.route(packet);
            const std::array<std::int64_t, 3> lifetimes_ms{200, 400, 800};
            const bool is_obsolete = waited_ms >= lifetimes_ms[copy];
            if (is_obsolete)
            {
                CHECK(decision.verdict == packet_verdict::drop);
                CHECK(decision.reason == verdict_reason::overtaken);
            }
            else if (copy == 2)
            {
                // No further copy comes, and its caller still waits.
                CHECK(decision.reason == verdict_reason::placed);
            }
        }
    }
    // Nobody knows the route, but the caller's flow may be open elsewhere.
    tagged_packet unknown = fixture.opening(unknown_address);
    unknown.waited = millis{300};
    CHECK(fixture.route(unknown).verdict == packet_verdict::drop);
    fixture.advance(100);
    CHECK(fixture.route(fixture.opening(orders_address)).reason == verdict_reason::placed);
    // Callers may still wait for an answer that a short pause delays.
    fixture.now = fixture.now + millis{800};
    CHECK(fixture.route(fixture.opening(orders_address)).reason == verdict_reason::placed);
}

// Else new flows go to backend servers that left, or whose zone was evacuated, during the pause.
TEST_CASE("pause: a daemon is ready again once its lists are confirmed, and after a second at most")
{
    router_fixture fixture;
    fixture.advance(100);
    CHECK(is_ready_for_new_flows(fixture.router, fixture.now));
    for (const bool is_confirmed : {true, false})
    {
        fixture.now = fixture.now + max_list_age + millis{100};
        CHECK_FALSE(is_ready_for_new_flows(fixture.router, fixture.now));
        fixture.advance(200, false);
        CHECK_FALSE(is_ready_for_new_flows(fixture.router, fixture.now));
        if (is_confirmed)
        {
            confirm_lists(fixture.router, fixture.now);
        }
        else
        {
            fixture.advance(max_unconfirmed_time.count, false);
        }
        CHECK(is_ready_for_new_flows(fixture.router, fixture.now));
    }
}

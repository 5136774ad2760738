#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/http_call.hpp"
#include "net/http_channel.hpp"
#include "net/http_responder.hpp"
#include "net/instance_check.hpp"
#include "net/line_log.hpp"
#include "net/monotonic_clock.hpp"
#include "net/packet_port.hpp"
#include "net/socket_address.hpp"

using namespace briarbarrow;

namespace
{

// A TCP socket that listens on a free loopback port and never accepts or responds.
struct unresponsive_server
{
    int descriptor = -1;
    endpoint address;

    unresponsive_server()
    {
        this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_storage bound{};
        const socklen_t length = to_socket_address(endpoint{*parse_address("127.0.0.1"), 0}, bound);
        REQUIRE(bind(this->descriptor, reinterpret_cast<sockaddr*>(&bound), length) == 0);
        REQUIRE(listen(this->descriptor, 8) == 0);
        socklen_t size = sizeof(bound);
        getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
        this->address = from_socket_address(bound);
    }

    ~unresponsive_server()
    {
        this->stop();
    }

    void stop()
    {
        if (this->descriptor >= 0)
        {
            close(this->descriptor);
            this->descriptor = -1;
        }
    }
};

// Finds a free loopback port for a server to listen on.
endpoint free_address()
{
    const unresponsive_server probe;
    return probe.address;
}

template <typename Condition>
void run_until(Condition condition)
{
    while (!condition())
    {
        g_main_context_iteration(nullptr, TRUE);
    }
}

http_reply get(http_channel& channel, const std::string& target, millis timeout)
{
    std::optional<http_reply> received;
    channel.get(target, timeout, [&received](const http_reply& reply) { received = reply; });
    run_until([&received]() { return received.has_value(); });
    return *received;
}

} // namespace

TEST_CASE("pages are served over a persistent connection, which is reopened after it breaks")
{
    const endpoint address = free_address();
    int asked = 0;
    auto server = http_responder::open(address,
                                       [&asked](const http_query& query)
                                       {
                                           ++asked;
                                           http_page page;
                                           page.status = query.path == "/good" ? 200 : 503;
                                           page.body = query.path;
                                           return page;
                                       });
    REQUIRE(server);
    http_channel channel(address);
    CHECK(get(channel, "/good", millis{2'000}).body == "/good");
    CHECK(get(channel, "/bad", millis{2'000}).status == 503);
    CHECK(asked == 2);
    server.value().reset();
    CHECK(get(channel, "/good", millis{2'000}).status == 0);
    server = http_responder::open(address,
                                  [](const http_query&) {
                                      return http_page{200, "again"};
                                  });
    REQUIRE(server);
    CHECK(get(channel, "/good", millis{2'000}).body == "again");
}

TEST_CASE("each response has its own headers, whose names are found in any case")
{
    const endpoint address = free_address();
    auto server = http_responder::open(
        address,
        [](const http_query& query)
        {
            http_page page;
            page.status = 503;
            page.headers = query.path == "/first" ? "X-First: 1\r\nx-second: two words\r\n" : "";
            return page;
        });
    REQUIRE(server);
    http_channel channel(address);
    const http_reply first = get(channel, "/first", millis{2'000});
    CHECK(find_header(first.headers, "x-first") == "1");
    CHECK(find_header(first.headers, "X-Second") == "two words");
    const http_reply second = get(channel, "/second", millis{2'000});
    CHECK(second.status == 503);
    CHECK_FALSE(find_header(second.headers, "x-first"));
}

TEST_CASE("a request for a deferred page stays pending until the page is available")
{
    const endpoint address = free_address();
    bool is_available = false;
    auto server = http_responder::open(address,
                                       [&is_available](const http_query& query)
                                       {
                                           http_page page;
                                           page.is_deferred = !is_available;
                                           page.body = query.waited > millis{0} ? "late" : "early";
                                           return page;
                                       });
    REQUIRE(server);
    http_channel channel(address);
    std::optional<http_reply> received;
    channel.get("/", millis{2'000}, [&received](const http_reply& reply) { received = reply; });
    const millis begin{g_get_monotonic_time() / 1'000};
    while (millis{g_get_monotonic_time() / 1'000} < begin + millis{30})
    {
        g_main_context_iteration(nullptr, FALSE);
        server.value()->serve_pending();
    }
    CHECK_FALSE(received);
    is_available = true;
    server.value()->serve_pending();
    run_until([&received]() { return received.has_value(); });
    CHECK(received->body == "late");
}

TEST_CASE("a request to a server that accepts connections and never responds times out")
{
    const unresponsive_server server;
    http_channel channel(server.address);
    const http_reply reply = get(channel, "/", millis{50});
    CHECK(reply.status == 0);
    CHECK(reply.failure == "no response before the timeout");
}

namespace
{

// Sends a response to each connection in pieces, one in each interval, and then stays silent.
class paced_server
{
public:
    paced_server(std::string response, std::size_t piece_bytes, guint interval_ms)
        : response(std::move(response)), piece_bytes(piece_bytes)
    {
        this->timer = g_timeout_add(interval_ms, on_interval, this);
    }

    ~paced_server()
    {
        g_source_remove(this->timer);
        if (this->connection >= 0)
        {
            close(this->connection);
        }
    }

    paced_server(const paced_server&) = delete;
    paced_server& operator=(const paced_server&) = delete;

    const endpoint& address() const
    {
        return this->listener.address;
    }

    std::size_t sent_bytes() const
    {
        return this->sent;
    }

private:
    static gboolean on_interval(gpointer self)
    {
        static_cast<paced_server*>(self)->send_piece();
        return G_SOURCE_CONTINUE;
    }

    void send_piece()
    {
        if (this->connection < 0)
        {
            this->connection =
                accept4(this->listener.descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            return;
        }
        const std::size_t count = std::min(this->piece_bytes, this->response.size() - this->sent);
        const ssize_t written =
            send(this->connection, this->response.data() + this->sent, count, MSG_NOSIGNAL);
        this->sent += written > 0 ? static_cast<std::size_t>(written) : 0;
    }

    unresponsive_server listener;
    std::string response;
    std::size_t piece_bytes;
    std::size_t sent = 0;
    int connection = -1;
    guint timer = 0;
};

std::string make_response(std::size_t announced_bytes, std::size_t body_bytes)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(announced_bytes) + "\r\n\r\n" +
           std::string(body_bytes, 'b');
}

http_reply get(http_channel& channel, const transfer_limits& limits)
{
    std::optional<http_reply> received;
    channel.send({"GET", "/", ""}, limits,
                 [&received](const http_reply& reply) { received = reply; });
    run_until([&received]() { return received.has_value(); });
    return *received;
}

} // namespace

// A page of the store was given up after a second although bytes kept arriving, for ever.
TEST_CASE("a large response is received over a slow link for as long as it makes progress")
{
    // Ten times as long as the timeout.
    const std::size_t body_bytes = 1'000'000;
    const paced_server server(make_response(body_bytes, body_bytes), 10'000, 10);
    http_channel channel(server.address());
    const http_reply reply = get(channel, {millis{100}, millis{100}, body_bytes});
    CHECK(reply.status == 200);
    CHECK(reply.body.size() == body_bytes);
    CHECK(reply.begun);
}

// The own port's requests go through another library, whose timeout must not end them either.
TEST_CASE("own port: a response that keeps arriving for longer than the timeout is received")
{
    const std::size_t body_bytes = 104'000;
    const paced_server server(make_response(body_bytes, body_bytes), 4'000, 100);
    SoupSession* session = make_http_session(1);
    std::optional<std::size_t> received;
    post_json(session, server.address(), "/", "{}",
              [&received](const call_result& answer)
              { received = answer ? answer.value().size() : 0; });
    run_until([&received]() { return received.has_value(); });
    CHECK(*received == body_bytes);
    g_object_unref(session);
}

TEST_CASE("a response that falls silent or trickles is given up")
{
    const paced_server silent(make_response(200'000, 100'000), 50'000, 10);
    http_channel silent_channel(silent.address());
    const http_reply from_silent = get(silent_channel, {millis{100}, millis{100}, 200'000});
    CHECK(from_silent.status == 0);
    CHECK(from_silent.failure == "the response makes no progress");

    const paced_server trickling(make_response(200'000, 200'000), 20, 5);
    http_channel trickling_channel(trickling.address());
    CHECK(get(trickling_channel, {millis{100}, millis{100}, 200'000}).status == 0);
    CHECK(trickling.sent_bytes() < 5'000);
}

TEST_CASE("a response that is too large is rejected, before it is received if it says its size")
{
    const paced_server announcing(make_response(200'000, 200'000), 10'000, 10);
    http_channel channel(announcing.address());
    const http_reply announced = get(channel, {millis{1'000}, millis{1'000}, 199'999});
    CHECK(announced.status == 0);
    CHECK(announced.is_too_large);
    CHECK(announcing.sent_bytes() <= 20'000);

    std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 10; ++i)
    {
        chunked += "4e20\r\n" + std::string(20'000, 'b') + "\r\n";
    }
    chunked += "0\r\n\r\n";
    const paced_server unannounced(chunked, 10'000, 10);
    http_channel chunked_channel(unannounced.address());
    const http_reply rejected = get(chunked_channel, {millis{1'000}, millis{1'000}, 199'999});
    CHECK(rejected.status == 0);
    CHECK(rejected.is_too_large);
}

TEST_CASE("health checks distinguish an instance from one that reuses its address, is busy or gone")
{
    std::vector<check_outcome> outcomes;
    instance_checks checks([&outcomes](const std::string& /*instance*/, check_outcome outcome)
                           { outcomes.push_back(outcome); });
    const auto check = [&outcomes, &checks](const endpoint& address, const std::string& instance)
    {
        const std::size_t before = outcomes.size();
        checks.begin({instance, address, "/health", "Instance-Id"}, millis{200});
        run_until([&outcomes, before]() { return outcomes.size() > before; });
        return outcomes.back();
    };
    const endpoint address = free_address();
    auto server = http_responder::open(address,
                                       [](const http_query& /*query*/)
                                       {
                                           http_page page;
                                           page.headers = "instance-id: i-7\r\n";
                                           return page;
                                       });
    REQUIRE(server);
    CHECK(check(address, "i-7") == check_outcome::answered);
    CHECK(check(address, "i-8") == check_outcome::replaced);
    server.value().reset();
    CHECK(check(address, "i-7") == check_outcome::refused);
    const unresponsive_server busy;
    CHECK(check(busy.address, "i-7") == check_outcome::unidentified);
}

TEST_CASE("a log never blocks on a stopped reader, and reports how many lines it omitted")
{
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    line_log_limits limits;
    limits.lines_per_second = 1'000'000;
    line_log log(ends[1], limits);
    log_line line("filler");
    line.add("text", std::string(200, 'x'));
    for (int i = 0; i < 2'000; ++i)
    {
        log.write(line, millis{i}, millis{0});
        log.flush();
    }
    CHECK(log.omitted() > 0);
    log.write(log_line("after"), millis{9'000}, millis{5'000});
    std::string read_back;
    std::array<char, 4'096> part{};
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    for (ssize_t received = 1; received > 0;)
    {
        received = read(ends[0], part.data(), part.size());
        read_back.append(part.data(), received > 0 ? static_cast<std::size_t>(received) : 0);
        log.flush();
    }
    log.write(log_line("emptied"), millis{9'500}, millis{6'500});
    log.flush();
    const ssize_t received = read(ends[0], part.data(), part.size());
    read_back.append(part.data(), received > 0 ? static_cast<std::size_t>(received) : 0);
    CHECK(read_back.find("event=filler") != std::string::npos);
    CHECK(read_back.find("event=lines_omitted lines=") != std::string::npos);
    CHECK(read_back.find("event=emptied") != std::string::npos);
    close(ends[0]);
    close(ends[1]);
}

TEST_CASE("a log survives a reader that has closed its end")
{
    std::signal(SIGPIPE, SIG_IGN);
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    close(ends[0]);
    line_log log(ends[1]);
    log.write(log_line("lost"), millis{0}, millis{0});
    log.flush();
    close(ends[1]);
}

TEST_CASE("a log omits the lines that exceed its rate limit")
{
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    line_log_limits limits;
    limits.lines_per_second = 10;
    line_log log(ends[1], limits);
    for (int i = 0; i < 100; ++i)
    {
        log.write(log_line("fast"), millis{0}, millis{0});
    }
    CHECK(log.omitted() == 90);
    log.write(log_line("later"), millis{1'000}, millis{1'000});
    CHECK(log.omitted() == 90);
    close(ends[0]);
    close(ends[1]);
}

TEST_CASE("a flood of ordinary log lines doesn't displace essential ones")
{
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    line_log_limits limits;
    limits.lines_per_second = 1'000;
    limits.buffer_bytes = 8'192;
    limits.essential_buffer_bytes = 4'096;
    line_log log(ends[1], limits);
    for (int i = 0; i < 2'000; ++i)
    {
        log.write(log_line("flood"), millis{0}, millis{0});
    }
    const std::uint64_t omitted = log.omitted();
    CHECK(omitted > 1'000);
    for (int i = 0; i < 20; ++i)
    {
        log.write(log_line("flow_given_up"), millis{0}, millis{0}, line_importance::essential);
    }
    CHECK(log.omitted() == omitted);
    close(ends[0]);
    close(ends[1]);
}

TEST_CASE("values can't forge log lines or key=value pairs")
{
    log_line line("told");
    line.add("text", "a\nb=\"c\" d").add("empty", "").add("plain", "x=y");
    CHECK(line.text() == "event=told text=\"a?b=?c? d\" empty=\"\" plain=x=y");
}

// A process that was paused could not tell old packets from new ones.
TEST_CASE("arrival: a datagram that waited in the socket comes with its time of arrival")
{
    std::vector<millis> waits;
    const endpoint local = free_address();
    auto port = packet_port::open(
        local,
        [&waits](const received_datagram& datagram)
        { waits.push_back(monotonic_now() - datagram.arrived); },
        []() {});
    REQUIRE(port);
    const int sender = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_storage to{};
    const socklen_t length = to_socket_address(local, to);
    for (const int wait_ms : {150, 100, 0})
    {
        // The process doesn't read meanwhile, as in a pause.
        REQUIRE(sendto(sender, "x", 1, 0, reinterpret_cast<sockaddr*>(&to), length) == 1);
        std::this_thread::sleep_for(std::chrono::milliseconds{wait_ms});
    }
    while (waits.size() < 3)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    close(sender);
    CHECK(waits[0].count >= 249);
    CHECK(waits[1].count >= 99);
    CHECK(waits[1].count < waits[0].count);
    CHECK(waits[2].count < waits[1].count);
}

TEST_CASE("arrival: without a usable time stamp a datagram may be as old as the socket's last rest")
{
    const arrival_clock clock{{millis{1'000}, millis{500'000}}};
    const clock_reading now{millis{1'700}, millis{500'700}};
    CHECK(arrival_time(clock, millis{500'600}, now) == millis{1'600});
    CHECK(arrival_time(clock, std::nullopt, now) == millis{1'000});
    // A stamp of before the last time at which the socket was empty can't be right.
    CHECK(arrival_time(clock, millis{400'000}, now) == millis{1'000});
    // The wall clock was set forward or back between both readings.
    for (const std::int64_t step_ms : {-5'000, -700, -200, 200, 700, 5'000})
    {
        const clock_reading set{now.monotonic, now.wall + millis{step_ms}};
        CHECK(arrival_time(clock, millis{500'600}, set) == millis{1'000});
        CHECK(arrival_time(clock, millis{500'600 + step_ms}, set) == millis{1'000});
    }
}

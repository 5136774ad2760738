#include "net/http_channel.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <limits>
#include <utility>

#include <glib-unix.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/monotonic_clock.hpp"
#include "net/socket_address.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::size_t receive_bytes = 16'384;

std::string format_request(const http_request& request, const endpoint& server)
{
    std::string text =
        request.method + " " + request.target + " HTTP/1.1\r\nHost: " + to_string(server) + "\r\n";
    if (request.method != "GET")
    {
        text += "Content-Type: application/json\r\nContent-Length: " +
                std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

} // namespace

http_channel::http_channel(const endpoint& server) : server(server) {}

http_channel::~http_channel()
{
    this->close_connection();
    if (this->timer != 0)
    {
        g_source_remove(this->timer);
    }
}

void http_channel::set_server(const endpoint& new_server)
{
    if (new_server != this->server)
    {
        this->server = new_server;
        this->close_connection();
    }
}

void http_channel::get(const std::string& target, millis timeout, http_receiver receiver)
{
    this->send({"GET", target, ""}, timeout, std::move(receiver));
}

void http_channel::send(const http_request& request, millis timeout, http_receiver receiver)
{
    this->send(request, transfer_limits{timeout, std::nullopt, max_http_body_bytes},
               std::move(receiver));
}

void http_channel::send(const http_request& request, const transfer_limits& limits,
                        http_receiver receiver)
{
    this->receiver = std::move(receiver);
    this->is_request_pending = true;
    this->is_complete = false;
    this->is_too_large = false;
    this->limits = limits;
    this->progress = start_transfer(limits, monotonic_now());
    this->headers = http_headers{};
    this->body.clear();
    this->unsent = format_request(request, this->server);
    if (this->has_unread_bytes())
    {
        this->close_connection();
    }
    this->set_timer();
    http_parser_init(&this->parser, HTTP_RESPONSE);
    this->parser.data = this;
    if (this->descriptor < 0 && !this->open())
    {
        this->fail(std::string("failed to connect: ") + std::strerror(errno));
        return;
    }
    this->watch(G_IO_OUT);
}

void http_channel::disconnect()
{
    this->close_connection();
}

// True when the server has sent something that no request asked for, or has closed the connection.
bool http_channel::has_unread_bytes() const
{
    char byte = 0;
    return this->descriptor >= 0 &&
           recv(this->descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) >= 0;
}

bool http_channel::open()
{
    sockaddr_storage address{};
    const socklen_t length = to_socket_address(this->server, address);
    const int opened =
        socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
    if (opened < 0)
    {
        return false;
    }
    const int on = 1;
    setsockopt(opened, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const bool is_connecting =
        connect(opened, reinterpret_cast<sockaddr*>(&address), length) == 0 || errno == EINPROGRESS;
    if (!is_connecting)
    {
        const int reason = errno;
        close(opened);
        errno = reason;
        return false;
    }
    this->descriptor = opened;
    return true;
}

void http_channel::close_connection()
{
    if (this->source != 0)
    {
        g_source_remove(this->source);
        this->source = 0;
    }
    if (this->descriptor >= 0)
    {
        close(this->descriptor);
        this->descriptor = -1;
    }
}

void http_channel::watch(GIOCondition condition)
{
    if (this->source != 0)
    {
        g_source_remove(this->source);
    }
    this->source = g_unix_fd_add(this->descriptor, condition, on_ready, this);
}

gboolean http_channel::on_ready(gint /*descriptor*/, GIOCondition condition, gpointer self)
{
    auto* channel = static_cast<http_channel*>(self);
    if ((condition & G_IO_OUT) != 0)
    {
        channel->send_unsent();
    }
    else
    {
        channel->receive();
    }
    // The source may have been replaced or removed by now. G_SOURCE_CONTINUE does not undo that.
    return G_SOURCE_CONTINUE;
}

void http_channel::set_timer()
{
    if (this->timer != 0)
    {
        g_source_remove(this->timer);
    }
    const millis left = this->progress.deadline - monotonic_now();
    this->timer =
        g_timeout_add(static_cast<guint>(std::max<std::int64_t>(0, left.count)), on_deadline, this);
}

gboolean http_channel::on_deadline(gpointer self)
{
    auto* channel = static_cast<http_channel*>(self);
    channel->timer = 0;
    if (renew_deadline(channel->progress, channel->limits, monotonic_now()))
    {
        channel->set_timer();
        return G_SOURCE_REMOVE;
    }
    channel->fail(channel->progress.begun && channel->limits.progress_interval
                      ? "the response makes no progress"
                      : "no response before the timeout");
    return G_SOURCE_REMOVE;
}

void http_channel::send_unsent()
{
    const ssize_t sent =
        ::send(this->descriptor, this->unsent.data(), this->unsent.size(), MSG_NOSIGNAL);
    if (sent < 0)
    {
        if (errno != EAGAIN)
        {
            this->fail(std::string("failed to send the request: ") + std::strerror(errno));
        }
        return;
    }
    this->unsent.erase(0, static_cast<std::size_t>(sent));
    if (this->unsent.empty())
    {
        this->watch(G_IO_IN);
    }
}

void http_channel::receive()
{
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_header_field = on_header_name;
    settings.on_header_value = on_header_value;
    settings.on_headers_complete = on_headers_complete;
    settings.on_body = on_body;
    settings.on_message_complete = on_complete;
    std::array<char, receive_bytes> bytes;
    const ssize_t count = recv(this->descriptor, bytes.data(), bytes.size(), 0);
    if (count < 0 && errno == EAGAIN)
    {
        return;
    }
    if (count <= 0 || !this->is_request_pending)
    {
        this->fail(count < 0
                       ? std::string("failed to receive the response: ") + std::strerror(errno)
                       : "connection closed by the server");
        return;
    }
    const auto length = static_cast<std::size_t>(count);
    if (observe_received(this->progress, this->limits, length, monotonic_now()))
    {
        this->set_timer();
    }
    const std::size_t read = http_parser_execute(&this->parser, &settings, bytes.data(), length);
    if (this->is_complete)
    {
        http_reply reply;
        reply.status = static_cast<int>(this->parser.status_code);
        reply.headers = std::move(this->headers);
        reply.body = std::move(this->body);
        if (http_should_keep_alive(&this->parser) == 0 || read != length)
        {
            this->close_connection();
        }
        this->finish(std::move(reply));
        return;
    }
    if (this->is_too_large)
    {
        this->fail("the response has more than " + std::to_string(this->limits.max_bytes) +
                   " bytes");
    }
    else if (read != length)
    {
        this->fail("the response is malformed");
    }
}

int http_channel::on_header_name(http_parser* parser, const char* bytes, std::size_t count)
{
    auto* channel = static_cast<http_channel*>(parser->data);
    return add_header_name(channel->headers, {bytes, count}) ? 0 : 1;
}

int http_channel::on_header_value(http_parser* parser, const char* bytes, std::size_t count)
{
    auto* channel = static_cast<http_channel*>(parser->data);
    return add_header_value(channel->headers, {bytes, count}) ? 0 : 1;
}

// Rejects a body that is announced as too large before it is received.
int http_channel::on_headers_complete(http_parser* parser)
{
    auto* channel = static_cast<http_channel*>(parser->data);
    constexpr std::uint64_t not_announced = std::numeric_limits<std::uint64_t>::max();
    channel->is_too_large = parser->content_length != not_announced &&
                            parser->content_length > channel->limits.max_bytes;
    // The parser takes a 1 for a response without a body.
    constexpr int abort_parsing = -1;
    return channel->is_too_large ? abort_parsing : 0;
}

int http_channel::on_body(http_parser* parser, const char* bytes, std::size_t count)
{
    auto* channel = static_cast<http_channel*>(parser->data);
    channel->is_too_large = channel->body.size() + count > channel->limits.max_bytes;
    if (channel->is_too_large)
    {
        return 1;
    }
    channel->body.append(bytes, count);
    return 0;
}

int http_channel::on_complete(http_parser* parser)
{
    static_cast<http_channel*>(parser->data)->is_complete = true;
    // What follows is not part of this response.
    http_parser_pause(parser, 1);
    return 0;
}

void http_channel::fail(const std::string& reason)
{
    this->close_connection();
    if (this->is_request_pending)
    {
        http_reply reply;
        reply.failure = reason;
        reply.is_too_large = this->is_too_large;
        this->finish(std::move(reply));
    }
}

void http_channel::finish(http_reply reply)
{
    reply.begun = this->progress.begun;
    if (this->timer != 0)
    {
        g_source_remove(this->timer);
        this->timer = 0;
    }
    this->is_request_pending = false;
    this->body.clear();
    const http_receiver done = std::move(this->receiver);
    this->receiver = nullptr;
    done(reply);
}

} // namespace briarbarrow

// A persistent HTTP/1.1 client connection that carries one request at a time. For processes that
// must start within milliseconds: it needs no libraries except GLib's main loop and http_parser.
#ifndef BRIARBARROW_NET_HTTP_CHANNEL_HPP
#define BRIARBARROW_NET_HTTP_CHANNEL_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <glib.h>
#include <http_parser.h>

#include "core/address.hpp"
#include "core/clock.hpp"
#include "follow/transfer_progress.hpp"
#include "net/http_headers.hpp"

namespace briarbarrow
{

// Largest response body that is accepted. A value in the platform's store has at most a megabyte
// before it is encoded in base64, and a page of entries has a megabyte. Unit: bytes.
constexpr std::size_t max_http_body_bytes = 4'194'304;

// The result of a request. `status` is 0 if no complete response was received.
struct http_reply
{
    int status = 0;
    http_headers headers;
    std::string body;
    // When the response began to arrive.
    std::optional<millis> begun;
    // The body is larger than the request allows.
    bool is_too_large = false;
    // Why there was no complete response, for the log.
    std::string failure;
};

// A request to send. A body is taken for JSON.
struct http_request
{
    std::string method = "GET";
    std::string target;
    std::string body;
};

using http_receiver = std::function<void(const http_reply&)>;

// Connects when a request needs it, and closes the connection when a response is late or malformed,
// or when the server sends more than was asked for: the next response would not be that of the next
// request.
class http_channel
{
public:
    explicit http_channel(const endpoint& server);
    ~http_channel();
    http_channel(const http_channel&) = delete;
    http_channel& operator=(const http_channel&) = delete;

    // Sends a request and passes the result to the receiver. No other request may be pending. With
    // a timeout alone, the whole response must have arrived by then.
    void send(const http_request& request, const transfer_limits& limits, http_receiver receiver);
    void send(const http_request& request, millis timeout, http_receiver receiver);
    void get(const std::string& target, millis timeout, http_receiver receiver);

    // Sets the server for further requests. Closes the connection if the server differs.
    void set_server(const endpoint& new_server);

    // Closes the connection, when a response shows that it isn't that of its request. No request
    // may be pending.
    void disconnect();

private:
    static gboolean on_ready(gint descriptor, GIOCondition condition, gpointer self);
    static gboolean on_deadline(gpointer self);
    static int on_header_name(http_parser* parser, const char* bytes, std::size_t count);
    static int on_header_value(http_parser* parser, const char* bytes, std::size_t count);
    static int on_headers_complete(http_parser* parser);
    static int on_body(http_parser* parser, const char* bytes, std::size_t count);
    static int on_complete(http_parser* parser);

    bool open();
    bool has_unread_bytes() const;
    void close_connection();
    void watch(GIOCondition condition);
    void send_unsent();
    void receive();
    void set_timer();
    void finish(http_reply reply);
    void fail(const std::string& reason);

    endpoint server;
    int descriptor = -1;
    guint source = 0;
    guint timer = 0;
    bool is_request_pending = false;
    bool is_complete = false;
    bool is_too_large = false;
    transfer_limits limits;
    transfer_progress progress;
    std::string unsent;
    http_headers headers;
    std::string body;
    http_parser parser{};
    http_receiver receiver;
};

} // namespace briarbarrow

#endif

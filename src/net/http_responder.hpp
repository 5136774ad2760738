// A small HTTP/1.1 server for generated pages: readiness and metrics.
#ifndef BRIARBARROW_NET_HTTP_RESPONDER_HPP
#define BRIARBARROW_NET_HTTP_RESPONDER_HPP

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <glib.h>

#include "core/address.hpp"
#include "core/clock.hpp"
#include "core/result.hpp"

namespace briarbarrow
{

// Most open connections. A new one beyond this limit closes the oldest.
constexpr std::size_t max_responder_connections = 32;

// A request for a page.
struct http_query
{
    std::string_view path;
    std::string_view body;
    // Time since the request was received.
    millis waited;
};

// A page to respond with.
struct http_page
{
    int status = 200;
    std::string body;
    // Additional header lines, each terminated by "\r\n".
    std::string headers;
    // The page is not available yet: the request stays pending, and serve_pending() tries again.
    bool is_deferred = false;
};

// Makes the page for a request.
using page_maker = std::function<http_page(const http_query& query)>;

// Accepts connections and serves pages on GLib's default main context.
class http_responder
{
public:
    ~http_responder();
    http_responder(const http_responder&) = delete;
    http_responder& operator=(const http_responder&) = delete;

    // Starts listening on `local`. The error says why this failed.
    static result<std::unique_ptr<http_responder>, text_error> open(const endpoint& local,
                                                                    page_maker maker);

    // Tries again to make the pages of pending requests, and sends those that are available.
    void serve_pending();

private:
    struct connection;

    http_responder(int descriptor, page_maker maker);
    static gboolean on_connection(gint descriptor, GIOCondition condition, gpointer self);
    void remove_connection(const connection* closed);

    int descriptor;
    guint source = 0;
    page_maker maker;
    std::vector<std::unique_ptr<connection>> connections;
};

} // namespace briarbarrow

#endif

#include "net/http_responder.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include <glib-unix.h>
#include <http_parser.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/monotonic_clock.hpp"
#include "net/socket_address.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::size_t receive_bytes = 2048;
constexpr std::size_t max_path_bytes = 512;
constexpr std::size_t max_body_bytes = 65'536;
constexpr int listen_backlog = 64;

std::string format_response(const http_page& page)
{
    const std::string_view reason = page.status == 200 ? "OK" : "Unavailable";
    std::string text = "HTTP/1.1 " + std::to_string(page.status) + " ";
    text.append(reason);
    text += "\r\n" + page.headers + "Content-Type: text/plain; version=0.0.4\r\n" +
            "Content-Length: " + std::to_string(page.body.size()) + "\r\n\r\n" + page.body;
    return text;
}

} // namespace

// An accepted connection.
struct http_responder::connection
{
    http_responder* owner = nullptr;
    int descriptor = -1;
    guint source = 0;
    http_parser parser{};
    std::string path;
    std::string body;
    std::string unsent;
    bool is_waiting = false;
    millis received_at;

    ~connection()
    {
        if (this->source != 0)
        {
            g_source_remove(this->source);
        }
        close(this->descriptor);
    }

    static int on_url(http_parser* parser, const char* bytes, std::size_t count)
    {
        auto* self = static_cast<connection*>(parser->data);
        self->path.append(bytes, count);
        return self->path.size() > max_path_bytes ? 1 : 0;
    }

    static int on_body(http_parser* parser, const char* bytes, std::size_t count)
    {
        auto* self = static_cast<connection*>(parser->data);
        self->body.append(bytes, count);
        return self->body.size() > max_body_bytes ? 1 : 0;
    }

    static int on_complete(http_parser* parser)
    {
        auto* self = static_cast<connection*>(parser->data);
        self->received_at = monotonic_now();
        self->is_waiting = true;
        self->make_response();
        return 0;
    }

    void make_response()
    {
        const http_page page =
            this->owner->maker({this->path, this->body, monotonic_now() - this->received_at});
        if (page.is_deferred)
        {
            return;
        }
        this->unsent += format_response(page);
        this->path.clear();
        this->body.clear();
        this->is_waiting = false;
    }

    // Returns false if the connection must be closed: the peer closed it, the request is malformed,
    // or the kernel did not accept the whole response, which is small enough for its send buffer.
    bool handle_readable()
    {
        std::array<char, receive_bytes> bytes;
        const ssize_t count = recv(this->descriptor, bytes.data(), bytes.size(), 0);
        if (count <= 0)
        {
            return count < 0 && errno == EAGAIN;
        }
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_url = on_url;
        settings.on_body = on_body;
        settings.on_message_complete = on_complete;
        const auto length = static_cast<std::size_t>(count);
        if (http_parser_execute(&this->parser, &settings, bytes.data(), length) != length)
        {
            return false;
        }
        return this->send_unsent();
    }

    bool send_unsent()
    {
        if (this->unsent.empty())
        {
            return true;
        }
        const ssize_t sent =
            send(this->descriptor, this->unsent.data(), this->unsent.size(), MSG_NOSIGNAL);
        const bool is_complete = sent == static_cast<ssize_t>(this->unsent.size());
        this->unsent.clear();
        return is_complete;
    }

    static gboolean on_readable(gint /*descriptor*/, GIOCondition /*condition*/, gpointer data)
    {
        auto* self = static_cast<connection*>(data);
        if (self->handle_readable())
        {
            return G_SOURCE_CONTINUE;
        }
        self->source = 0;
        self->owner->remove_connection(self);
        return G_SOURCE_REMOVE;
    }
};

http_responder::http_responder(int descriptor, page_maker maker)
    : descriptor(descriptor), maker(std::move(maker))
{
    this->source = g_unix_fd_add(this->descriptor, G_IO_IN, on_connection, this);
}

http_responder::~http_responder()
{
    g_source_remove(this->source);
    close(this->descriptor);
}

result<std::unique_ptr<http_responder>, text_error> http_responder::open(const endpoint& local,
                                                                         page_maker maker)
{
    sockaddr_storage address{};
    const socklen_t length = to_socket_address(local, address);
    const int opened = socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(opened, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const bool listens = opened >= 0 &&
                         bind(opened, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
                         listen(opened, listen_backlog) == 0;
    if (!listens)
    {
        const int reason = errno;
        close(opened);
        return text_error{"failed to listen on " + to_string(local) + ": " + std::strerror(reason)};
    }
    return std::unique_ptr<http_responder>(new http_responder(opened, std::move(maker)));
}

gboolean http_responder::on_connection(gint descriptor, GIOCondition /*condition*/, gpointer self)
{
    auto* responder = static_cast<http_responder*>(self);
    const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0)
    {
        return G_SOURCE_CONTINUE;
    }
    if (responder->connections.size() >= max_responder_connections)
    {
        responder->connections.erase(responder->connections.begin());
    }
    auto new_connection = std::make_unique<connection>();
    new_connection->owner = responder;
    new_connection->descriptor = accepted;
    http_parser_init(&new_connection->parser, HTTP_REQUEST);
    new_connection->parser.data = new_connection.get();
    new_connection->source =
        g_unix_fd_add(accepted, G_IO_IN, connection::on_readable, new_connection.get());
    responder->connections.push_back(std::move(new_connection));
    return G_SOURCE_CONTINUE;
}

void http_responder::serve_pending()
{
    std::vector<const connection*> broken;
    for (const std::unique_ptr<connection>& entry : this->connections)
    {
        if (entry->is_waiting)
        {
            entry->make_response();
            if (!entry->send_unsent())
            {
                broken.push_back(entry.get());
            }
        }
    }
    for (const connection* closed : broken)
    {
        this->remove_connection(closed);
    }
}

void http_responder::remove_connection(const connection* closed)
{
    const auto place = std::find_if(this->connections.begin(), this->connections.end(),
                                    [closed](const std::unique_ptr<connection>& entry)
                                    { return entry.get() == closed; });
    if (place != this->connections.end())
    {
        this->connections.erase(place);
    }
}

} // namespace briarbarrow

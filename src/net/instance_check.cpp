#include "net/instance_check.hpp"

#include <array>
#include <cerrno>
#include <optional>
#include <utility>

#include <glib-unix.h>
#include <http_parser.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_headers.hpp"
#include "net/socket_address.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::size_t receive_bytes = 2'048;

} // namespace

// State of a check in progress.
struct instance_checks::running_check
{
    instance_checks* owner = nullptr;
    instance_check_request request;
    int descriptor = -1;
    guint source = 0;
    guint timer = 0;
    bool is_connected = false;
    http_parser parser{};
    http_headers headers;
    bool has_headers = false;

    static int on_name(http_parser* parser, const char* bytes, std::size_t count)
    {
        auto* self = static_cast<running_check*>(parser->data);
        return add_header_name(self->headers, {bytes, count}) ? 0 : 1;
    }

    static int on_value(http_parser* parser, const char* bytes, std::size_t count)
    {
        auto* self = static_cast<running_check*>(parser->data);
        return add_header_value(self->headers, {bytes, count}) ? 0 : 1;
    }

    static int on_headers(http_parser* parser)
    {
        static_cast<running_check*>(parser->data)->has_headers = true;
        return 0;
    }

    // Returns the outcome once the headers are complete or can't be completed any more.
    std::optional<check_outcome> receive()
    {
        std::array<char, receive_bytes> bytes;
        const ssize_t count = recv(this->descriptor, bytes.data(), bytes.size(), 0);
        if (count < 0 && errno == EAGAIN)
        {
            return std::nullopt;
        }
        if (count <= 0)
        {
            return check_outcome::unidentified;
        }
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_header_field = on_name;
        settings.on_header_value = on_value;
        settings.on_headers_complete = on_headers;
        const auto length = static_cast<std::size_t>(count);
        const std::size_t read =
            http_parser_execute(&this->parser, &settings, bytes.data(), length);
        if (this->has_headers)
        {
            const std::optional<std::string> instance =
                find_header(this->headers, this->request.header);
            if (!instance)
            {
                return check_outcome::unidentified;
            }
            return *instance == this->request.instance ? check_outcome::answered
                                                       : check_outcome::replaced;
        }
        return read != length ? std::optional(check_outcome::unidentified) : std::nullopt;
    }
};

instance_checks::instance_checks(check_receiver receiver) : receiver(std::move(receiver)) {}

instance_checks::~instance_checks()
{
    for (const running_check& check : this->checks)
    {
        g_source_remove(check.source);
        g_source_remove(check.timer);
        close(check.descriptor);
    }
}

void instance_checks::begin(const instance_check_request& request, millis timeout)
{
    if (this->checks.size() >= max_concurrent_checks)
    {
        return;
    }
    sockaddr_storage target{};
    const socklen_t length = to_socket_address(request.address, target);
    const int opened = socket(target.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (opened < 0)
    {
        return;
    }
    const int connect_result = connect(opened, reinterpret_cast<sockaddr*>(&target), length);
    if (connect_result != 0 && errno != EINPROGRESS)
    {
        const bool is_refused = errno == ECONNREFUSED;
        close(opened);
        this->receiver(request.instance,
                       is_refused ? check_outcome::refused : check_outcome::timed_out);
        return;
    }
    running_check& check = this->checks.emplace_back();
    check.owner = this;
    check.request = request;
    check.descriptor = opened;
    http_parser_init(&check.parser, HTTP_RESPONSE);
    check.parser.data = &check;
    check.source = g_unix_fd_add(opened, G_IO_OUT, on_ready, &check);
    check.timer = g_timeout_add(static_cast<guint>(timeout.count), on_timeout, &check);
}

gboolean instance_checks::on_ready(gint descriptor, GIOCondition condition, gpointer data)
{
    auto& check = *static_cast<running_check*>(data);
    if (check.is_connected)
    {
        const std::optional<check_outcome> outcome = check.receive();
        if (outcome)
        {
            check.owner->finish(check, *outcome);
        }
        return G_SOURCE_CONTINUE;
    }
    int socket_error = 0;
    socklen_t length = sizeof(socket_error);
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &socket_error, &length);
    if (socket_error != 0)
    {
        check.owner->finish(check, socket_error == ECONNREFUSED ? check_outcome::refused
                                                                : check_outcome::timed_out);
        return G_SOURCE_CONTINUE;
    }
    static_cast<void>(condition);
    check.is_connected = true;
    const std::string request = "GET " + check.request.path +
                                " HTTP/1.1\r\nHost: " + to_string(check.request.address) +
                                "\r\nConnection: close\r\n\r\n";
    const ssize_t sent = send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
    if (sent != static_cast<ssize_t>(request.size()))
    {
        check.owner->finish(check, check_outcome::unidentified);
        return G_SOURCE_CONTINUE;
    }
    g_source_remove(check.source);
    check.source = g_unix_fd_add(descriptor, G_IO_IN, on_ready, &check);
    return G_SOURCE_CONTINUE;
}

gboolean instance_checks::on_timeout(gpointer data)
{
    auto& check = *static_cast<running_check*>(data);
    // A server that accepts connections but responds late may be busy.
    check.owner->finish(check, check.is_connected ? check_outcome::unidentified
                                                  : check_outcome::timed_out);
    return G_SOURCE_CONTINUE;
}

void instance_checks::finish(running_check& check, check_outcome outcome)
{
    g_source_remove(check.source);
    g_source_remove(check.timer);
    close(check.descriptor);
    const std::string instance = std::move(check.request.instance);
    this->checks.remove_if([&check](const running_check& entry) { return &entry == &check; });
    this->receiver(instance, outcome);
}

} // namespace briarbarrow

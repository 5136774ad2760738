#include "testing/soak/fault_proxy.hpp"

#include <cstdlib>
#include <iostream>

#include <glib-unix.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/socket_address.hpp"

namespace briarbarrow
{

namespace
{

constexpr guint response_delay_ms = 300;

int open_socket(const endpoint& address, bool is_listener)
{
    sockaddr_storage raw{};
    const socklen_t length = to_socket_address(address, raw);
    const int opened_socket = socket(raw.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(opened_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto* generic_address = reinterpret_cast<sockaddr*>(&raw);
    const bool is_open = is_listener ? bind(opened_socket, generic_address, length) == 0 &&
                                           listen(opened_socket, 64) == 0
                                     : connect(opened_socket, generic_address, length) == 0;
    if (!is_open)
    {
        close(opened_socket);
        return -1;
    }
    return opened_socket;
}

} // namespace

// A connection through the proxy: sockets[0] is the client's and sockets[1] the target's.
struct fault_proxy::proxied_connection
{
    fault_proxy* proxy = nullptr;
    std::array<int, 2> sockets{-1, -1};
    std::array<guint, 2> sources{0, 0};
    std::string delayed_bytes;
    guint timer = 0;
};

fault_proxy::fault_proxy(const endpoint& local, const endpoint& target)
    : target(target), descriptor(open_socket(local, true))
{
    if (this->descriptor < 0)
    {
        std::cerr << "fault proxy cannot listen on " << to_string(local) << "\n";
        std::exit(EXIT_FAILURE);
    }
    this->source = g_unix_fd_add(this->descriptor, G_IO_IN, on_new_client, this);
}

fault_proxy::~fault_proxy()
{
    this->reset_all();
    g_source_remove(this->source);
    close(this->descriptor);
}

void fault_proxy::set_mode(proxy_mode new_mode)
{
    this->mode = new_mode;
    // Streams from which bytes were dropped cannot continue, so they are reset.
    if (new_mode == proxy_mode::pass || new_mode == proxy_mode::refuse)
    {
        this->reset_all();
    }
}

void fault_proxy::reset_all()
{
    while (!this->connections.empty())
    {
        this->close_connection(this->connections.front(), true);
    }
}

gboolean fault_proxy::on_new_client(gint descriptor, GIOCondition /*condition*/, gpointer self)
{
    auto* proxy = static_cast<fault_proxy*>(self);
    const int client = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    const int server = proxy->mode == proxy_mode::refuse ? -1 : open_socket(proxy->target, false);
    if (client < 0 || server < 0)
    {
        close(client);
        return G_SOURCE_CONTINUE;
    }
    proxied_connection& connection = proxy->connections.emplace_back();
    connection.proxy = proxy;
    connection.sockets = {client, server};
    for (std::size_t i = 0; i < connection.sockets.size(); ++i)
    {
        connection.sources[i] =
            g_unix_fd_add(connection.sockets[i], G_IO_IN, on_readable, &connection);
    }
    return G_SOURCE_CONTINUE;
}

gboolean fault_proxy::on_readable(gint descriptor, GIOCondition /*condition*/, gpointer entry)
{
    auto& connection = *static_cast<proxied_connection*>(entry);
    std::array<char, 65'536> bytes;
    const ssize_t count = recv(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count <= 0)
    {
        connection.proxy->close_connection(connection, false);
        return G_SOURCE_CONTINUE;
    }
    const bool is_response = descriptor == connection.sockets[1];
    const proxy_mode mode = connection.proxy->mode;
    if (mode == proxy_mode::blackhole || (mode == proxy_mode::one_way && is_response))
    {
        return G_SOURCE_CONTINUE;
    }
    const auto length = static_cast<std::size_t>(count);
    if (mode == proxy_mode::delay && is_response)
    {
        connection.delayed_bytes.append(bytes.data(), length);
        if (connection.timer == 0)
        {
            connection.timer = g_timeout_add(response_delay_ms, on_delay_over, &connection);
        }
        return G_SOURCE_CONTINUE;
    }
    static_cast<void>(send(is_response ? connection.sockets[0] : connection.sockets[1],
                           bytes.data(), length, MSG_NOSIGNAL));
    return G_SOURCE_CONTINUE;
}

gboolean fault_proxy::on_delay_over(gpointer entry)
{
    auto& connection = *static_cast<proxied_connection*>(entry);
    connection.timer = 0;
    static_cast<void>(send(connection.sockets[0], connection.delayed_bytes.data(),
                           connection.delayed_bytes.size(), MSG_NOSIGNAL));
    connection.delayed_bytes.clear();
    return G_SOURCE_REMOVE;
}

void fault_proxy::close_connection(proxied_connection& closed, bool with_reset)
{
    for (std::size_t i = 0; i < closed.sockets.size(); ++i)
    {
        g_source_remove(closed.sources[i]);
        const linger reset_on_close{1, 0};
        if (with_reset)
        {
            setsockopt(closed.sockets[i], SOL_SOCKET, SO_LINGER, &reset_on_close,
                       sizeof(reset_on_close));
        }
        close(closed.sockets[i]);
    }
    if (closed.timer != 0)
    {
        g_source_remove(closed.timer);
    }
    this->connections.remove_if([&closed](const proxied_connection& entry)
                                { return &entry == &closed; });
}

} // namespace briarbarrow

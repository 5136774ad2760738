#include "adapters/peer_link.hpp"

#include "adapters/peer_connection.hpp"
#include "net/socket_address.hpp"

namespace briarbarrow
{

namespace
{

constexpr unsigned connect_timeout_seconds = 5;

endpoint remote_of(GSocketConnection* connection)
{
    endpoint remote;
    GSocketAddress* address = g_socket_connection_get_remote_address(connection, nullptr);
    if (address == nullptr)
    {
        return remote;
    }
    sockaddr_storage raw{};
    if (g_socket_address_to_native(address, &raw, sizeof(raw), nullptr) != FALSE)
    {
        remote = from_socket_address(raw);
    }
    g_object_unref(address);
    return remote;
}

GSocketAddress* local_address(const endpoint& local, std::uint16_t port)
{
    GInetAddress* address = g_inet_address_new_from_string(to_string(local.address).c_str());
    GSocketAddress* bound = g_inet_socket_address_new(address, port);
    g_object_unref(address);
    return bound;
}

} // namespace

peer_link::peer_link(const endpoint& local, peer_link_callbacks callbacks)
    : local(local), callbacks(std::move(callbacks)), service(g_socket_service_new()),
      client(g_socket_client_new())
{
    // Peers are authenticated by their listed address, so outgoing connections must bind to it.
    GSocketAddress* address = local_address(local, 0);
    g_socket_client_set_local_address(this->client, address);
    g_object_unref(address);
    g_socket_client_set_timeout(this->client, connect_timeout_seconds);
    g_socket_client_set_enable_proxy(this->client, FALSE);
}

peer_link::~peer_link()
{
    g_socket_service_stop(this->service);
    g_socket_listener_close(G_SOCKET_LISTENER(this->service));
    for (const auto& connection : this->connections)
    {
        connection->close();
    }
    g_object_unref(this->service);
    g_object_unref(this->client);
}

result<std::unique_ptr<peer_link>, text_error> peer_link::open(const endpoint& local,
                                                               peer_link_callbacks callbacks)
{
    std::unique_ptr<peer_link> link(new peer_link(local, std::move(callbacks)));
    GSocketAddress* address = local_address(local, local.port);
    GError* error = nullptr;
    const gboolean bound = g_socket_listener_add_address(
        G_SOCKET_LISTENER(link->service), address, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
        nullptr, nullptr, &error);
    g_object_unref(address);
    if (bound == FALSE)
    {
        text_error fault{"cannot listen for peers on " + to_string(local) + ": " + error->message};
        g_error_free(error);
        return fault;
    }
    g_signal_connect(link->service, "incoming", G_CALLBACK(on_incoming), link.get());
    g_socket_service_start(link->service);
    return link;
}

const peer_link_counts& peer_link::counts() const
{
    return this->counted;
}

gboolean peer_link::on_incoming(GSocketService* /*service*/, GSocketConnection* connection,
                                GObject* /*source*/, gpointer self)
{
    auto* link = static_cast<peer_link*>(self);
    const endpoint remote = remote_of(connection);
    if (!link->callbacks.is_member(remote.address))
    {
        ++link->counted.refused;
        link->callbacks.on_connection_error("peer connection from " + to_string(remote) +
                                            " refused: not the address of a member");
        return TRUE;
    }
    auto accepted = std::make_shared<peer_connection>(*link, remote);
    link->connections.insert(accepted);
    accepted->start(G_SOCKET_CONNECTION(g_object_ref(connection)));
    return TRUE;
}

void peer_link::send(const endpoint& to, const peer_message& message)
{
    const auto found = this->outgoing_connections.find(to);
    if (found != this->outgoing_connections.end())
    {
        found->second->send(message);
        return;
    }
    auto made = std::make_shared<peer_connection>(*this, to);
    this->outgoing_connections[to] = made;
    this->connections.insert(made);
    made->send(message);
    made->connect();
}

void peer_link::remove_connection(const std::shared_ptr<peer_connection>& connection)
{
    const auto found = this->outgoing_connections.find(connection->remote_endpoint());
    if (found != this->outgoing_connections.end() && found->second == connection)
    {
        this->outgoing_connections.erase(found);
    }
    this->connections.erase(connection);
    connection->close();
}

} // namespace briarbarrow

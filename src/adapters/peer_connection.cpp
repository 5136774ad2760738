#include "adapters/peer_connection.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::size_t max_queued_messages = 64;

GSocketAddress* to_gio_address(const endpoint& value)
{
    GInetAddress* address = g_inet_address_new_from_string(to_string(value.address).c_str());
    GSocketAddress* socket_address = g_inet_socket_address_new(address, value.port);
    g_object_unref(address);
    return socket_address;
}

} // namespace

peer_connection::peer_connection(peer_link& link, const endpoint& remote)
    : link(&link), remote(remote), cancel(g_cancellable_new())
{
}

peer_connection::~peer_connection()
{
    g_clear_object(&this->connection);
    g_clear_object(&this->cancel);
}

const endpoint& peer_connection::remote_endpoint() const
{
    return this->remote;
}

void peer_connection::connect()
{
    GSocketAddress* address = to_gio_address(this->remote);
    g_socket_client_connect_async(this->link->client, G_SOCKET_CONNECTABLE(address), this->cancel,
                                  on_connected, new self_reference(this->shared_from_this()));
    g_object_unref(address);
}

void peer_connection::on_connected(GObject* source, GAsyncResult* finished, gpointer data)
{
    const std::unique_ptr<self_reference> holder(static_cast<self_reference*>(data));
    const self_reference self = *holder;
    GError* error = nullptr;
    GSocketConnection* made =
        g_socket_client_connect_finish(G_SOCKET_CLIENT(source), finished, &error);
    if (self->link == nullptr || made == nullptr)
    {
        self->fail(error == nullptr ? "closed" : error->message);
        g_clear_error(&error);
        g_clear_object(&made);
        return;
    }
    self->start(made);
}

void peer_connection::start(GSocketConnection* accepted)
{
    this->connection = accepted;
    // TCP keepalive detects peers that disappeared without closing the connection.
    g_socket_set_keepalive(g_socket_connection_get_socket(accepted), TRUE);
    this->queued.push_front(encode_peer_frame(this->link->callbacks.make_hello()));
    this->read_more();
    this->write_queued();
}

void peer_connection::send(const peer_message& message)
{
    if (this->link == nullptr || this->queued.size() >= max_queued_messages)
    {
        return;
    }
    ++this->link->counted.messages_sent;
    this->queued.push_back(encode_peer_frame(message));
    this->write_queued();
}

void peer_connection::close()
{
    this->link = nullptr;
    g_cancellable_cancel(this->cancel);
    if (this->connection != nullptr)
    {
        g_io_stream_close(G_IO_STREAM(this->connection), nullptr, nullptr);
    }
}

void peer_connection::fail(const std::string& text)
{
    if (this->link == nullptr)
    {
        return;
    }
    peer_link* owner = this->link;
    if (!text.empty())
    {
        ++owner->counted.faults;
        owner->callbacks.on_connection_error("peer link with " + to_string(this->remote) + ": " +
                                             text);
    }
    owner->remove_connection(this->shared_from_this());
}

void peer_connection::read_more()
{
    GInputStream* input = g_io_stream_get_input_stream(G_IO_STREAM(this->connection));
    g_input_stream_read_async(input, this->read_buffer.data(), this->read_buffer.size(),
                              G_PRIORITY_DEFAULT, this->cancel, on_read,
                              new self_reference(this->shared_from_this()));
}

void peer_connection::on_read(GObject* source, GAsyncResult* finished, gpointer data)
{
    const std::unique_ptr<self_reference> holder(static_cast<self_reference*>(data));
    const self_reference self = *holder;
    const gssize count = g_input_stream_read_finish(G_INPUT_STREAM(source), finished, nullptr);
    if (self->link == nullptr)
    {
        return;
    }
    if (count <= 0)
    {
        // A peer that stops closes its connections: not an error.
        self->fail("");
        return;
    }
    self->handle_received_bytes(static_cast<std::size_t>(count));
    if (self->link != nullptr)
    {
        self->read_more();
    }
}

void peer_connection::handle_received_bytes(std::size_t count)
{
    append_bytes(this->received, {this->read_buffer.data(), count});
    while (this->link != nullptr)
    {
        const auto message = pop_message(this->received);
        if (!message)
        {
            const auto reason = static_cast<std::size_t>(message.error());
            this->fail("bad frame: " + std::string(peer_frame_error_names[reason]));
            return;
        }
        if (!message.value())
        {
            return;
        }
        const bool is_hello = std::holds_alternative<hello>(*message.value());
        if (is_hello == this->hello_received)
        {
            this->fail("protocol error: exactly one hello must come, as the first message");
            return;
        }
        this->hello_received = true;
        ++this->link->counted.messages_received;
        const self_reference self = this->shared_from_this();
        this->link->callbacks.on_message(*message.value(), [self](const peer_message& answer)
                                         { self->send(answer); });
    }
}

void peer_connection::write_queued()
{
    if (this->connection == nullptr || !this->writing.empty() || this->queued.empty())
    {
        return;
    }
    this->writing = std::move(this->queued.front());
    this->queued.pop_front();
    this->link->counted.bytes_sent += this->writing.size();
    GOutputStream* output = g_io_stream_get_output_stream(G_IO_STREAM(this->connection));
    g_output_stream_write_all_async(output, this->writing.data(), this->writing.size(),
                                    G_PRIORITY_DEFAULT, this->cancel, on_written,
                                    new self_reference(this->shared_from_this()));
}

void peer_connection::on_written(GObject* source, GAsyncResult* finished, gpointer data)
{
    const std::unique_ptr<self_reference> holder(static_cast<self_reference*>(data));
    const self_reference self = *holder;
    const bool good = g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), finished, nullptr,
                                                       nullptr) != FALSE;
    self->writing.clear();
    if (self->link == nullptr)
    {
        return;
    }
    if (!good)
    {
        self->fail("write failed");
        return;
    }
    self->write_queued();
}

} // namespace briarbarrow

// One TCP connection of the peer link.
#ifndef BRIARBARROW_ADAPTERS_PEER_CONNECTION_HPP
#define BRIARBARROW_ADAPTERS_PEER_CONNECTION_HPP

#include <array>
#include <deque>
#include <memory>

#include "adapters/peer_link.hpp"

namespace briarbarrow
{

// Reads frames and writes queued ones. Reference-counted: lives until the link has removed it and
// no asynchronous call is pending.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    // `remote` is the endpoint to connect to, or the one that a connection was accepted from.
    peer_connection(peer_link& link, const endpoint& remote);
    ~peer_connection();
    peer_connection(const peer_connection&) = delete;
    peer_connection& operator=(const peer_connection&) = delete;

    // Starts connecting to the remote endpoint.
    void connect();

    // Sends the hello and starts reading and writing on an established connection, which it takes
    // over.
    void start(GSocketConnection* accepted);

    // Queues a message; drops it when the queue is full or the connection is closed.
    void send(const peer_message& message);

    // Closes the connection and cancels pending calls. No callback of the link runs afterwards.
    void close();

    // The peer's endpoint.
    const endpoint& remote_endpoint() const;

private:
    using self_reference = std::shared_ptr<peer_connection>;

    void fail(const std::string& text);
    void read_more();
    void write_queued();
    void handle_received_bytes(std::size_t count);
    static void on_connected(GObject* source, GAsyncResult* finished, gpointer data);
    static void on_read(GObject* source, GAsyncResult* finished, gpointer data);
    static void on_written(GObject* source, GAsyncResult* finished, gpointer data);

    peer_link* link;
    endpoint remote;
    GSocketConnection* connection = nullptr;
    GCancellable* cancel = nullptr;
    peer_frame_buffer received;
    std::array<std::uint8_t, 16'384> read_buffer{};
    std::deque<message_bytes> queued;
    message_bytes writing;
    bool hello_received = false;
};

} // namespace briarbarrow

#endif

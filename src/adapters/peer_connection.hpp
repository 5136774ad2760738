// One TCP connection of the peer link.
#ifndef BRIARBARROW_ADAPTERS_PEER_CONNECTION_HPP
#define BRIARBARROW_ADAPTERS_PEER_CONNECTION_HPP

#include <array>
#include <deque>
#include <memory>

#include "adapters/peer_link.hpp"

namespace briarbarrow
{

// Reads frames and writes those queued. Lives until the link forgets it and no call is pending.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    // A connection to be made to a peer endpoint, or one that was accepted from an address.
    peer_connection(peer_link& link, const endpoint& remote);
    ~peer_connection();
    peer_connection(const peer_connection&) = delete;
    peer_connection& operator=(const peer_connection&) = delete;

    // Begins to connect.
    void connect();

    // Begins to read and write on an accepted connection.
    void start(GSocketConnection* accepted);

    // Queues a message.
    void send(const peer_message& message);

    // Breaks off. Nothing is called back afterwards.
    void close();

    // Where it leads to, or came from.
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

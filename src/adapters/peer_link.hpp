// The TCP link between hosts, for what does not fit into a datagram: lists of hosts and the
// configuration. Connections are opened on demand and carry messages in both directions. The first
// message on each side is a hello.
#ifndef BRIARBARROW_ADAPTERS_PEER_LINK_HPP
#define BRIARBARROW_ADAPTERS_PEER_LINK_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include <gio/gio.h>

#include "adapters/peer_frame.hpp"
#include "core/address.hpp"
#include "core/result.hpp"

namespace briarbarrow
{

class peer_connection;

// Callbacks of the link into its owner.
struct peer_link_callbacks
{
    // A complete message from a member; `answer` responds on the same connection.
    std::function<void(const peer_message&, const std::function<void(const peer_message&)>& answer)>
        on_message;
    // True when an address belongs to a member; connections from other addresses are refused.
    std::function<bool(const ip_address&)> is_member;
    // Makes the hello that is sent first on each connection.
    std::function<hello()> make_hello;
    // Called with the reason when a connection was refused or failed, for the log.
    std::function<void(const std::string& text)> on_connection_error;
};

// Counts since the process started.
struct peer_link_counts
{
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t refused = 0;
    std::uint64_t faults = 0;
};

// Accepts and opens the connections to peers.
class peer_link
{
public:
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    // Starts listening. The error says why that failed.
    static result<std::unique_ptr<peer_link>, text_error> open(const endpoint& local,
                                                               peer_link_callbacks callbacks);

    // Sends a message to a peer endpoint, connecting first if needed. Best effort: a message that
    // can't be delivered is dropped, and the protocol above repeats what is still needed.
    void send(const endpoint& to, const peer_message& message);

    // Counts since the process started.
    const peer_link_counts& counts() const;

private:
    friend class peer_connection;

    peer_link(const endpoint& local, peer_link_callbacks callbacks);
    static gboolean on_incoming(GSocketService* service, GSocketConnection* connection,
                                GObject* source, gpointer self);
    void remove_connection(const std::shared_ptr<peer_connection>& connection);

    endpoint local;
    peer_link_callbacks callbacks;
    GSocketService* service = nullptr;
    GSocketClient* client = nullptr;
    std::map<endpoint, std::shared_ptr<peer_connection>> outgoing_connections;
    std::set<std::shared_ptr<peer_connection>> connections;
    peer_link_counts counted;
};

} // namespace briarbarrow

#endif

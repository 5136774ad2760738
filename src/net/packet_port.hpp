// A UDP socket for packets, relayed packets and control frames. Receives and sends in batches.
#ifndef BRIARBARROW_NET_PACKET_PORT_HPP
#define BRIARBARROW_NET_PACKET_PORT_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

#include <glib.h>

#include "core/core.hpp"
#include "core/result.hpp"
#include "net/arrival_clock.hpp"

namespace briarbarrow
{

// A received datagram.
struct received_datagram
{
    endpoint from;
    std::span<const std::uint8_t> bytes;
    // When it arrived at this host (arrival_clock.hpp).
    millis arrived;
};

// Called for each datagram of a batch.
using datagram_receiver = std::function<void(const received_datagram&)>;

// Called after all datagrams of a batch were passed to the receiver. Their bytes stay valid until
// it returns.
using batch_end_callback = std::function<void()>;

// Counts of datagrams and of received batches.
struct packet_port_counts
{
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    std::uint64_t send_failures = 0;
    std::uint64_t batches = 0;
};

// Limits that determine the memory of a port's buffers.
struct packet_port_limits
{
    std::size_t batch_datagrams = 64;
    // Largest datagram that is received without truncation. Unit: bytes.
    std::size_t datagram_bytes = max_packet_bytes + 256;
};

// A bound UDP socket that is served by GLib's default main context.
class packet_port
{
public:
    ~packet_port();
    packet_port(const packet_port&) = delete;
    packet_port& operator=(const packet_port&) = delete;

    // Binds a socket to `local`. The error says why this failed.
    static result<std::unique_ptr<packet_port>, text_error> open(const endpoint& local,
                                                                 datagram_receiver receiver,
                                                                 batch_end_callback batch_finished,
                                                                 packet_port_limits limits = {});

    // Sends datagrams without blocking. Those that the kernel does not accept are dropped and
    // counted as failures: the network may lose packets at any time, so nobody relies on delivery.
    void send(std::span<const outgoing> datagrams);

    // Records that the socket is empty. To be called when the main loop has found no datagrams to
    // read, so that arrival times are known without time stamps too.
    void observe_idle();

    // Returns the counts since the port was opened.
    const packet_port_counts& counts() const;

private:
    packet_port(int descriptor, datagram_receiver receiver, batch_end_callback batch_finished,
                packet_port_limits limits);
    static gboolean on_readable(gint descriptor, GIOCondition condition, gpointer self);
    bool receive_batch();

    struct buffers;

    int descriptor;
    guint source = 0;
    datagram_receiver receiver;
    batch_end_callback batch_finished;
    packet_port_limits limits;
    packet_port_counts port_counts;
    arrival_clock arrivals;
    std::unique_ptr<buffers> batch_buffers;
};

} // namespace briarbarrow

#endif

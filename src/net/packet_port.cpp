#include "net/packet_port.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <optional>

#include <glib-unix.h>
#include <unistd.h>

#include "net/socket_address.hpp"

namespace briarbarrow
{

namespace
{

// Received batches after which control returns to the main loop, so that its other sources run.
constexpr int batches_per_turn = 8;

// Control data of a received datagram: the kernel's time stamp.
struct alignas(cmsghdr) control_buffer
{
    std::array<std::uint8_t, CMSG_SPACE(sizeof(timespec))> bytes;
};

bool is_before(const timespec& left, const timespec& right)
{
    return left.tv_sec < right.tv_sec ||
           (left.tv_sec == right.tv_sec && left.tv_nsec < right.tv_nsec);
}

// The kernel's time stamp of a received datagram on the wall clock. No value if it has none: the
// kernel then stamps it when it is read, which is after `read_begin`.
std::optional<millis> find_time_stamp(const msghdr& header, const timespec& read_begin)
{
    constexpr std::int64_t milliseconds_per_second = 1'000;
    constexpr std::int64_t nanoseconds_per_millisecond = 1'000'000;
    const cmsghdr* control = CMSG_FIRSTHDR(&header);
    const bool has_stamp = control != nullptr && control->cmsg_level == SOL_SOCKET &&
                           control->cmsg_type == SCM_TIMESTAMPNS &&
                           control->cmsg_len >= CMSG_LEN(sizeof(timespec));
    if (!has_stamp)
    {
        return std::nullopt;
    }
    timespec stamp{};
    std::memcpy(&stamp, CMSG_DATA(control), sizeof(stamp));
    if (!is_before(stamp, read_begin))
    {
        return std::nullopt;
    }
    return millis{static_cast<std::int64_t>(stamp.tv_sec) * milliseconds_per_second +
                  static_cast<std::int64_t>(stamp.tv_nsec) / nanoseconds_per_millisecond};
}

} // namespace

// Buffers for one received and one sent batch, allocated once.
struct packet_port::buffers
{
    explicit buffers(const packet_port_limits& limits)
        : bytes(limits.batch_datagrams * limits.datagram_bytes),
          receive_buffers(limits.batch_datagrams), receive_from(limits.batch_datagrams),
          receive_control(limits.batch_datagrams), receive_headers(limits.batch_datagrams),
          send_buffers(limits.batch_datagrams), send_to(limits.batch_datagrams),
          send_headers(limits.batch_datagrams)
    {
    }

    std::vector<std::uint8_t> bytes;
    std::vector<iovec> receive_buffers;
    std::vector<sockaddr_storage> receive_from;
    std::vector<control_buffer> receive_control;
    std::vector<mmsghdr> receive_headers;
    std::vector<std::array<iovec, 2>> send_buffers;
    std::vector<sockaddr_storage> send_to;
    std::vector<mmsghdr> send_headers;
};

packet_port::packet_port(int descriptor, datagram_receiver receiver,
                         batch_end_callback batch_finished, packet_port_limits limits)
    : descriptor(descriptor), receiver(std::move(receiver)),
      batch_finished(std::move(batch_finished)), limits(limits),
      batch_buffers(std::make_unique<buffers>(limits))
{
    // Without time stamps arrival times are estimated.
    const int is_enabled = 1;
    setsockopt(this->descriptor, SOL_SOCKET, SO_TIMESTAMPNS, &is_enabled, sizeof(is_enabled));
    this->observe_idle();
    this->source = g_unix_fd_add(this->descriptor, G_IO_IN, on_readable, this);
}

packet_port::~packet_port()
{
    g_source_remove(this->source);
    close(this->descriptor);
}

result<std::unique_ptr<packet_port>, text_error>
packet_port::open(const endpoint& local, datagram_receiver receiver,
                  batch_end_callback batch_finished, packet_port_limits limits)
{
    const int descriptor = open_udp_socket(local);
    if (descriptor < 0)
    {
        return text_error{"failed to bind UDP socket " + to_string(local) + ": " +
                          std::strerror(errno)};
    }
    return std::unique_ptr<packet_port>(
        new packet_port(descriptor, std::move(receiver), std::move(batch_finished), limits));
}

void packet_port::observe_idle()
{
    this->arrivals.drained = read_clocks();
}

const packet_port_counts& packet_port::counts() const
{
    return this->port_counts;
}

gboolean packet_port::on_readable(gint /*descriptor*/, GIOCondition /*condition*/, gpointer self)
{
    auto* port = static_cast<packet_port*>(self);
    for (int i = 0; i < batches_per_turn; ++i)
    {
        if (!port->receive_batch())
        {
            break;
        }
    }
    return G_SOURCE_CONTINUE;
}

bool packet_port::receive_batch()
{
    buffers& batch_buffers = *this->batch_buffers;
    const std::size_t batch_datagrams = this->limits.batch_datagrams;
    const std::size_t datagram_bytes = this->limits.datagram_bytes;
    for (std::size_t i = 0; i < batch_datagrams; ++i)
    {
        batch_buffers.receive_buffers[i] =
            iovec{&batch_buffers.bytes[i * datagram_bytes], datagram_bytes};
        msghdr& header = batch_buffers.receive_headers[i].msg_hdr;
        header = {};
        header.msg_iov = &batch_buffers.receive_buffers[i];
        header.msg_iovlen = 1;
        header.msg_name = &batch_buffers.receive_from[i];
        header.msg_namelen = sizeof(sockaddr_storage);
        header.msg_control = batch_buffers.receive_control[i].bytes.data();
        header.msg_controllen = batch_buffers.receive_control[i].bytes.size();
    }
    // Read first: what arrives later than this is either in the batch or was not there before.
    const clock_reading now = read_clocks();
    timespec read_begin{};
    clock_gettime(CLOCK_REALTIME, &read_begin);
    const int count = recvmmsg(this->descriptor, batch_buffers.receive_headers.data(),
                               static_cast<unsigned>(batch_datagrams), MSG_DONTWAIT, nullptr);
    if (count <= 0)
    {
        this->arrivals.drained = now;
        return false;
    }
    ++this->port_counts.batches;
    this->port_counts.received += static_cast<std::uint64_t>(count);
    for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i)
    {
        const mmsghdr& header = batch_buffers.receive_headers[i];
        this->receiver(
            {from_socket_address(batch_buffers.receive_from[i]),
             std::span<const std::uint8_t>(&batch_buffers.bytes[i * datagram_bytes],
                                           header.msg_len),
             arrival_time(this->arrivals, find_time_stamp(header.msg_hdr, read_begin), now)});
    }
    this->batch_finished();
    const bool is_full = static_cast<std::size_t>(count) == batch_datagrams;
    this->arrivals.drained = is_full ? this->arrivals.drained : now;
    return is_full;
}

void packet_port::send(std::span<const outgoing> datagrams)
{
    buffers& batch_buffers = *this->batch_buffers;
    while (!datagrams.empty())
    {
        const std::size_t count = std::min(datagrams.size(), this->limits.batch_datagrams);
        for (std::size_t i = 0; i < count; ++i)
        {
            const outgoing& datagram = datagrams[i];
            auto* head = const_cast<std::uint8_t*>(datagram.head.data());
            auto* body = const_cast<std::uint8_t*>(datagram.body.data());
            batch_buffers.send_buffers[i][0] = iovec{head, datagram.head.size()};
            batch_buffers.send_buffers[i][1] = iovec{body, datagram.body.size()};
            msghdr& header = batch_buffers.send_headers[i].msg_hdr;
            header = {};
            header.msg_name = &batch_buffers.send_to[i];
            header.msg_namelen = to_socket_address(datagram.to, batch_buffers.send_to[i]);
            header.msg_iov = batch_buffers.send_buffers[i].data();
            header.msg_iovlen = 2;
        }
        const int sent = sendmmsg(this->descriptor, batch_buffers.send_headers.data(),
                                  static_cast<unsigned>(count), MSG_DONTWAIT);
        // If the kernel rejects the first datagram, skip it and try those after it.
        const std::size_t done = sent > 0 ? static_cast<std::size_t>(sent) : 1;
        this->port_counts.sent += sent > 0 ? static_cast<std::uint64_t>(sent) : 0;
        this->port_counts.send_failures += sent > 0 ? 0 : 1;
        datagrams = datagrams.subspan(done);
    }
}

} // namespace briarbarrow

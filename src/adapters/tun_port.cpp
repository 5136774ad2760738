#include "adapters/tun_port.hpp"

#include <cerrno>
#include <cstring>

#include <fcntl.h>
#include <glib-unix.h>
#include <linux/if.h>
#include <linux/if_tun.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include "wire/ip_packet.hpp"

namespace briarbarrow
{

namespace
{

constexpr int max_packets_per_wakeup = 256;

} // namespace

result<int, text_error> open_tun_device(const std::string& name)
{
    const int descriptor = open("/dev/net/tun", O_RDWR | O_NONBLOCK | O_CLOEXEC);
    if (descriptor < 0)
    {
        return text_error{std::string("cannot open /dev/net/tun: ") + std::strerror(errno)};
    }
    ifreq request{};
    request.ifr_flags = IFF_TUN | IFF_NO_PI;
    name.copy(request.ifr_name, IFNAMSIZ - 1);
    if (ioctl(descriptor, TUNSETIFF, &request) != 0)
    {
        const text_error fault{"cannot attach to the TUN device " + name + ": " +
                               std::strerror(errno)};
        close(descriptor);
        return fault;
    }
    return descriptor;
}

tun_port::tun_port(int descriptor, ip_packet_receiver receiver)
    : descriptor(descriptor), receiver(std::move(receiver)), buffer(max_packet_bytes + 1)
{
    this->source = g_unix_fd_add(this->descriptor, G_IO_IN, on_readable, this);
}

tun_port::~tun_port()
{
    g_source_remove(this->source);
    close(this->descriptor);
}

bool tun_port::send(std::span<const std::uint8_t> packet)
{
    const ssize_t written = write(this->descriptor, packet.data(), packet.size());
    return written == static_cast<ssize_t>(packet.size());
}

gboolean tun_port::on_readable(gint descriptor, GIOCondition /*condition*/, gpointer self)
{
    auto* port = static_cast<tun_port*>(self);
    for (int i = 0; i < max_packets_per_wakeup; ++i)
    {
        const ssize_t length = read(descriptor, port->buffer.data(), port->buffer.size());
        if (length <= 0)
        {
            break;
        }
        port->receiver({port->buffer.data(), static_cast<std::size_t>(length)});
    }
    return G_SOURCE_CONTINUE;
}

} // namespace briarbarrow

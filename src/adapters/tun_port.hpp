// A TUN device as packet port: bare IP packets from the fabric come in, resets to callers go out.
// The descriptor is passed in, so that tests can use one end of a socket pair.
#ifndef BRIARBARROW_ADAPTERS_TUN_PORT_HPP
#define BRIARBARROW_ADAPTERS_TUN_PORT_HPP

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include <glib.h>

#include "core/result.hpp"

namespace briarbarrow
{

// Called for each packet.
using ip_packet_receiver = std::function<void(std::span<const std::uint8_t>)>;

// Opens a TUN device that exists already and returns its descriptor.
result<int, text_error> open_tun_device(const std::string& name);

// Packets on a descriptor that reads and writes one packet at a time.
class tun_port
{
public:
    // Takes the descriptor and closes it at the end.
    tun_port(int descriptor, ip_packet_receiver receiver);
    ~tun_port();
    tun_port(const tun_port&) = delete;
    tun_port& operator=(const tun_port&) = delete;

    // Writes one packet. False when the device did not take it.
    bool send(std::span<const std::uint8_t> packet);

private:
    static gboolean on_readable(gint descriptor, GIOCondition condition, gpointer self);

    int descriptor;
    guint source = 0;
    ip_packet_receiver receiver;
    std::vector<std::uint8_t> buffer;
};

} // namespace briarbarrow

#endif

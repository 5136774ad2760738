// A TUN device as packet port: receives unencapsulated IP packets from the fabric and sends resets
// to callers. The descriptor is passed in, so that tests can use one end of a socket pair.
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

// Called for each received packet; the bytes are valid during the call.
using ip_packet_receiver = std::function<void(std::span<const std::uint8_t>)>;

// Attaches to a TUN device by name and returns its descriptor.
result<int, text_error> open_tun_device(const std::string& name);

// Sends and receives packets on a descriptor where each read or write is one packet.
class tun_port
{
public:
    // Takes ownership of the descriptor and closes it on destruction.
    tun_port(int descriptor, ip_packet_receiver receiver);
    ~tun_port();
    tun_port(const tun_port&) = delete;
    tun_port& operator=(const tun_port&) = delete;

    // Writes one packet. False when the device did not accept it whole.
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

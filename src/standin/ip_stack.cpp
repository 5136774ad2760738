#include "standin/ip_stack.hpp"

#include <array>
#include <cstring>

extern "C"
{
#include <lwip/ip.h>
#include <lwip/ip6.h>
#include <lwip/netif.h>
#include <lwip/pbuf.h>
#include <lwip/tcpip.h>
}

#include "wire/ip_packet.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::uint16_t interface_mtu = 1400;

// The network interface of this process and the buffer for its outgoing packets.
struct interface_state
{
    netif device{};
    packet_sender sender;
    std::array<std::uint8_t, max_packet_bytes> packet{};
};

interface_state& network_interface()
{
    static interface_state state;
    return state;
}

err_t send_pbuf(pbuf* chain)
{
    interface_state& state = network_interface();
    const std::uint16_t length = pbuf_copy_partial(chain, state.packet.data(), chain->tot_len, 0);
    const std::span<const std::uint8_t> bytes(state.packet.data(), length);
    // Packets other than TCP and UDP, such as neighbour discovery, are dropped: there is no link.
    if (parse_packet(bytes))
    {
        state.sender(bytes);
    }
    return ERR_OK;
}

err_t send_v4(netif* /*device*/, pbuf* chain, const ip4_addr_t* /*to*/)
{
    return send_pbuf(chain);
}

err_t send_v6(netif* /*device*/, pbuf* chain, const ip6_addr_t* /*to*/)
{
    return send_pbuf(chain);
}

err_t init_interface(netif* device)
{
    device->name[0] = 'b';
    device->name[1] = 'b';
    device->mtu = interface_mtu;
    device->output = send_v4;
    device->output_ip6 = send_v6;
    return ERR_OK;
}

void add_address(netif& device, const ip_address& address)
{
    if (is_v4(address))
    {
        ip4_addr_t raw{};
        std::memcpy(&raw.addr, address.bytes.data() + 12, 4);
        netif_set_ipaddr(&device, &raw);
        return;
    }
    ip6_addr_t raw{};
    std::memcpy(&raw.addr, address.bytes.data(), 16);
    s8_t index = -1;
    netif_add_ip6_address(&device, &raw, &index);
    if (index >= 0)
    {
        netif_ip6_addr_set_state(&device, index, IP6_ADDR_PREFERRED);
    }
}

} // namespace

stack_lock::stack_lock()
{
    LOCK_TCPIP_CORE();
}

stack_lock::~stack_lock()
{
    UNLOCK_TCPIP_CORE();
}

void start_ip_stack(const std::vector<ip_address>& addresses, packet_sender sender)
{
    tcpip_init(nullptr, nullptr);
    const stack_lock lock;
    interface_state& state = network_interface();
    state.sender = std::move(sender);
    ip4_addr_t none{};
    netif_add(&state.device, &none, &none, &none, nullptr, init_interface, ip_input);
    netif_set_default(&state.device);
    netif_set_link_up(&state.device);
    netif_set_up(&state.device);
    for (const ip_address& address : addresses)
    {
        add_address(state.device, address);
    }
}

void deliver_to_stack(std::span<const std::uint8_t> packet)
{
    const stack_lock lock;
    pbuf* chain = pbuf_alloc(PBUF_RAW, static_cast<u16_t>(packet.size()), PBUF_RAM);
    if (chain == nullptr)
    {
        return;
    }
    pbuf_take(chain, packet.data(), static_cast<u16_t>(packet.size()));
    netif& device = network_interface().device;
    if (device.input(chain, &device) != ERR_OK)
    {
        pbuf_free(chain);
    }
}

} // namespace briarbarrow

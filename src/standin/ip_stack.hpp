// A user-space TCP/IP stack (lwIP) for the stand-ins, so that retransmissions, FIN and RST come
// from a real TCP implementation. It has one interface, whose packets pass through two functions
// instead of a network.
//
// lwIP runs a thread for its timers. Callbacks run with the stack's lock held; a caller of lwIP
// functions must hold a stack_lock.
#ifndef BRIARBARROW_STANDIN_IP_STACK_HPP
#define BRIARBARROW_STANDIN_IP_STACK_HPP

#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "core/address.hpp"

namespace briarbarrow
{

// Holds the stack's lock for its lifetime.
class stack_lock
{
public:
    stack_lock();
    ~stack_lock();
    stack_lock(const stack_lock&) = delete;
    stack_lock& operator=(const stack_lock&) = delete;
};

// Called with each IP packet that the stack sends, possibly on the stack's own thread.
using packet_sender = std::function<void(std::span<const std::uint8_t>)>;

// Starts the stack of this process with its own addresses, at most one IPv4 and three IPv6.
void start_ip_stack(const std::vector<ip_address>& addresses, packet_sender sender);

// Passes a received IP packet to the stack. Acquires the stack's lock itself.
void deliver_to_stack(std::span<const std::uint8_t> packet);

} // namespace briarbarrow

#endif

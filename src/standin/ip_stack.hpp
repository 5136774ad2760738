// A true TCP/IP stack in user space for the stand-ins, so that retransmission, FIN and RST are not
// invented by the tests: lwIP with one interface whose packets go through two functions instead of
// a network.
//
// lwIP runs a thread for its timers. Everything that touches the stack, callbacks included, runs
// while the stack's lock is held; take a stack_lock before calling into it.
#ifndef BRIARBARROW_STANDIN_IP_STACK_HPP
#define BRIARBARROW_STANDIN_IP_STACK_HPP

#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "core/address.hpp"

namespace briarbarrow
{

// Holds the stack's lock while it lives.
class stack_lock
{
public:
    stack_lock();
    ~stack_lock();
    stack_lock(const stack_lock&) = delete;
    stack_lock& operator=(const stack_lock&) = delete;
};

// Called with each IP packet that the stack sends. May run on the stack's thread.
using packet_sender = std::function<void(std::span<const std::uint8_t>)>;

// Starts the stack of this process with its addresses, at most one IPv4 and three IPv6.
void start_ip_stack(const std::vector<ip_address>& addresses, packet_sender sender);

// Hands an IP packet to the stack. Takes the lock itself.
void deliver_to_stack(std::span<const std::uint8_t> packet);

} // namespace briarbarrow

#endif

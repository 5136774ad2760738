// Converts between endpoints and the kernel's socket addresses, and opens UDP sockets.
#ifndef BRIARBARROW_NET_SOCKET_ADDRESS_HPP
#define BRIARBARROW_NET_SOCKET_ADDRESS_HPP

#include <netinet/in.h>
#include <sys/socket.h>

#include "core/address.hpp"

namespace briarbarrow
{

// Fills `out` with a socket address of the endpoint's family and returns its length in bytes.
socklen_t to_socket_address(const endpoint& value, sockaddr_storage& out);

// Converts a socket address of either family.
endpoint from_socket_address(const sockaddr_storage& address);

// Returns a bound, non-blocking UDP socket, or -1 with errno set.
int open_udp_socket(const endpoint& local);

} // namespace briarbarrow

#endif

#include "net/socket_address.hpp"

#include <algorithm>
#include <cstring>

#include <unistd.h>

namespace briarbarrow
{

namespace
{

constexpr int socket_buffer_bytes = 4 * 1024 * 1024;

} // namespace

socklen_t to_socket_address(const endpoint& value, sockaddr_storage& out)
{
    out = {};
    if (is_v4(value.address))
    {
        auto& v4 = reinterpret_cast<sockaddr_in&>(out);
        v4.sin_family = AF_INET;
        v4.sin_port = htons(value.port);
        std::memcpy(&v4.sin_addr, value.address.bytes.data() + 12, 4);
        return sizeof(sockaddr_in);
    }
    auto& v6 = reinterpret_cast<sockaddr_in6&>(out);
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(value.port);
    std::memcpy(&v6.sin6_addr, value.address.bytes.data(), 16);
    return sizeof(sockaddr_in6);
}

endpoint from_socket_address(const sockaddr_storage& address)
{
    endpoint value;
    if (address.ss_family == AF_INET)
    {
        const auto& v4 = reinterpret_cast<const sockaddr_in&>(address);
        value.address = make_v4(reinterpret_cast<const std::uint8_t*>(&v4.sin_addr));
        value.port = ntohs(v4.sin_port);
        return value;
    }
    const auto& v6 = reinterpret_cast<const sockaddr_in6&>(address);
    value.address = make_v6(reinterpret_cast<const std::uint8_t*>(&v6.sin6_addr));
    value.port = ntohs(v6.sin6_port);
    return value;
}

int open_udp_socket(const endpoint& local)
{
    const int family = is_v4(local.address) ? AF_INET : AF_INET6;
    const int descriptor = socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
    {
        return -1;
    }
    // The kernel caps these sizes at its own limits. A smaller buffer only loses more datagrams
    // under load.
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &socket_buffer_bytes, sizeof(int));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &socket_buffer_bytes, sizeof(int));
    sockaddr_storage address{};
    const socklen_t length = to_socket_address(local, address);
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) != 0)
    {
        const int reason = errno;
        close(descriptor);
        errno = reason;
        return -1;
    }
    return descriptor;
}

} // namespace briarbarrow

#include "sockets.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <string_view>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::string_view digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

sockaddr_in to_socket_address(const address& value)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(value.host);
    result.sin_port = htons(value.port);
    return result;
}

int open_bound_socket(const address& local, int type)
{
    const int opened = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(opened, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in bound = to_socket_address(local);
    if (opened < 0 || bind(opened, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0)
    {
        close(opened);
        return -1;
    }
    return opened;
}

} // namespace

std::string to_text(const address& value)
{
    return std::to_string(value.host >> 24) + "." + std::to_string(value.host >> 16 & 255) + "." +
           std::to_string(value.host >> 8 & 255) + "." + std::to_string(value.host & 255) + ":" +
           std::to_string(value.port);
}

int open_datagram_socket(const address& local)
{
    return open_bound_socket(local, SOCK_DGRAM);
}

int open_listener(const address& local)
{
    const int opened = open_bound_socket(local, SOCK_STREAM);
    if (opened >= 0 && listen(opened, 64) != 0)
    {
        close(opened);
        return -1;
    }
    return opened;
}

int open_connection(const address& remote)
{
    const int opened = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in target = to_socket_address(remote);
    if (opened >= 0 &&
        connect(opened, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0 &&
        errno != EINPROGRESS)
    {
        close(opened);
        return -1;
    }
    return opened;
}

int accept_connection(int listener, bool has_small_buffer)
{
    const int accepted = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0)
    {
        const int on = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const int buffer_bytes = 16'384;
        if (has_small_buffer)
        {
            setsockopt(accepted, SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof(buffer_bytes));
        }
    }
    return accepted;
}

void send_datagram(int socket, const address& to, const std::string& bytes)
{
    const sockaddr_in target = to_socket_address(to);
    sendto(socket, bytes.data(), bytes.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}

bool receive_datagram(int socket, std::string& bytes, address& from)
{
    std::array<char, 2'048> buffer;
    sockaddr_in sender{};
    socklen_t size = sizeof(sender);
    const ssize_t count = recvfrom(socket, buffer.data(), buffer.size(), MSG_DONTWAIT,
                                   reinterpret_cast<sockaddr*>(&sender), &size);
    if (count < 0)
    {
        return false;
    }
    bytes.assign(buffer.data(), static_cast<std::size_t>(count));
    from = {ntohl(sender.sin_addr.s_addr), ntohs(sender.sin_port)};
    return true;
}

bool receive_bytes(int socket, std::string& bytes)
{
    std::array<char, 65'536> buffer;
    for (;;)
    {
        const ssize_t count = recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count <= 0)
        {
            return count < 0 && errno == EAGAIN;
        }
        bytes.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

bool send_bytes(int socket, std::string& bytes, std::size_t limit)
{
    const std::size_t wanted = std::min(bytes.size(), limit);
    if (wanted == 0)
    {
        return true;
    }
    const ssize_t count = send(socket, bytes.data(), wanted, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count < 0)
    {
        return errno == EAGAIN;
    }
    bytes.erase(0, static_cast<std::size_t>(count));
    return true;
}

bool take_request(std::string& bytes, http_request& request)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos)
    {
        return false;
    }
    const std::size_t body_begin = end + 4;
    const std::string name = "Content-Length: ";
    const std::size_t length = bytes.find(name);
    const std::size_t body_bytes =
        length < end ? std::strtoul(bytes.c_str() + length + name.size(), nullptr, 10) : 0;
    if (bytes.size() < body_begin + body_bytes)
    {
        return false;
    }
    const std::size_t first = bytes.find(' ');
    const std::size_t second = bytes.find(' ', first + 1);
    request.method = bytes.substr(0, first);
    request.path = bytes.substr(first + 1, second - first - 1);
    request.body = bytes.substr(body_begin, body_bytes);
    bytes.erase(0, body_begin + body_bytes);
    return true;
}

std::string make_response(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers +
           "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string find_parameter(const std::string& path, const std::string& name)
{
    for (std::size_t begin = path.find('?'); begin != std::string::npos;
         begin = path.find('&', begin + 1))
    {
        if (path.compare(begin + 1, name.size() + 1, name + "=") != 0)
        {
            continue;
        }
        const std::size_t from = begin + name.size() + 2;
        const std::string escaped = path.substr(from, path.find('&', from) - from);
        std::string value;
        for (std::size_t i = 0; i < escaped.size(); ++i)
        {
            const bool is_escape = escaped[i] == '%' && i + 2 < escaped.size();
            value +=
                is_escape
                    ? static_cast<char>(std::strtoul(escaped.substr(i + 1, 2).c_str(), nullptr, 16))
                    : escaped[i];
            i += is_escape ? 2 : 0;
        }
        return value;
    }
    return "";
}

std::string encode_base64(const std::string& bytes)
{
    std::string text;
    text.reserve(bytes.size() * 4 / 3 + 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            group =
                group << 8U | (i + j < bytes.size() ? static_cast<std::uint8_t>(bytes[i + j]) : 0U);
        }
        const std::size_t used = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 4; ++j)
        {
            text += j <= used ? digits[group >> (18U - 6U * j) & 63U] : '=';
        }
    }
    return text;
}

std::string decode_base64(const std::string& text)
{
    std::string bytes;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char character : text)
    {
        const std::size_t value = digits.find(character);
        if (value == std::string_view::npos)
        {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

} // namespace review

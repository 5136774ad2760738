#include "loop.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr int exit_cannot_run = 2;
constexpr std::size_t max_datagram_bytes = 2'048;
constexpr int listen_backlog = 256;

sockaddr_in to_socket_address(const address& value)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(value.port);
    out.sin_addr.s_addr = htonl(value.ip);
    return out;
}

[[noreturn]] void end_case(const std::string& what)
{
    std::fprintf(stderr, "the case can't run: %s: %s\n", what.c_str(), std::strerror(errno));
    std::exit(exit_cannot_run);
}

int open_bound(const address& local, int kind)
{
    const int descriptor = socket(AF_INET, kind | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in name = to_socket_address(local);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0)
    {
        end_case("bind " + to_text(local));
    }
    return descriptor;
}

} // namespace

std::int64_t now_ms()
{
    using std::chrono::steady_clock;
    static const steady_clock::time_point start = steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - start)
        .count();
}

std::string ip_text(std::uint32_t ip)
{
    in_addr field{htonl(ip)};
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &field, text, sizeof(text));
    return text;
}

std::string to_text(const address& value)
{
    return ip_text(value.ip) + ":" + std::to_string(value.port);
}

int open_udp(const address& local)
{
    const int descriptor = open_bound(local, SOCK_DGRAM);
    const int bytes = 4 * 1024 * 1024;
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    return descriptor;
}

int open_listener(const address& local)
{
    const int descriptor = open_bound(local, SOCK_STREAM);
    if (listen(descriptor, listen_backlog) != 0)
    {
        end_case("listen " + to_text(local));
    }
    return descriptor;
}

int start_connecting(const address& to)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in name = to_socket_address(to);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0 &&
        errno != EINPROGRESS)
    {
        close(descriptor);
        return -1;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return descriptor;
}

void send_datagram(int descriptor, const address& to, const std::string& bytes)
{
    const sockaddr_in name = to_socket_address(to);
    sendto(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr*>(&name), sizeof(name));
}

bool receive_datagram(int descriptor, address& from, std::string& bytes)
{
    char buffer[max_datagram_bytes];
    sockaddr_in name{};
    socklen_t length = sizeof(name);
    const ssize_t count = recvfrom(descriptor, buffer, sizeof(buffer), 0,
                                   reinterpret_cast<sockaddr*>(&name), &length);
    if (count < 0)
    {
        return false;
    }
    from = address{ntohl(name.sin_addr.s_addr), ntohs(name.sin_port)};
    bytes.assign(buffer, static_cast<std::size_t>(count));
    return true;
}

void event_loop::watch(int descriptor, handler on_readable)
{
    this->interests[descriptor].on_readable = std::move(on_readable);
}

void event_loop::watch_writable(int descriptor, handler on_writable)
{
    this->interests[descriptor].on_writable = std::move(on_writable);
}

void event_loop::forget(int descriptor)
{
    this->interests.erase(descriptor);
}

void event_loop::after(std::int64_t delay_ms, handler task)
{
    this->timers.emplace(now_ms() + delay_ms, std::move(task));
}

void event_loop::run_until(std::int64_t end_ms)
{
    while (now_ms() < end_ms)
    {
        this->run_once(end_ms);
    }
}

void event_loop::run_once(std::int64_t end_ms)
{
    std::vector<pollfd> waiting;
    for (const auto& [descriptor, wanted] : this->interests)
    {
        const int events = (wanted.on_readable ? POLLIN : 0) | (wanted.on_writable ? POLLOUT : 0);
        waiting.push_back(pollfd{descriptor, static_cast<short>(events), 0});
    }
    std::int64_t next = end_ms;
    if (!this->timers.empty())
    {
        next = std::min(next, this->timers.begin()->first);
    }
    const std::int64_t wait_ms = std::clamp<std::int64_t>(next - now_ms(), 0, 1'000);
    poll(waiting.data(), waiting.size(), static_cast<int>(wait_ms));
    for (const pollfd& ready : waiting)
    {
        // A handler may forget this descriptor or others.
        const auto found = this->interests.find(ready.fd);
        if (ready.revents == 0 || found == this->interests.end())
        {
            continue;
        }
        const interest wanted = found->second;
        if ((ready.revents & (POLLOUT | POLLERR)) != 0 && wanted.on_writable)
        {
            wanted.on_writable();
        }
        if ((ready.revents & (POLLIN | POLLERR | POLLHUP)) != 0 && wanted.on_readable &&
            this->interests.count(ready.fd) > 0)
        {
            wanted.on_readable();
        }
    }
    while (!this->timers.empty() && this->timers.begin()->first <= now_ms())
    {
        const handler task = std::move(this->timers.begin()->second);
        this->timers.erase(this->timers.begin());
        task();
    }
}

case_record::case_record(const std::string& path) : file(std::fopen(path.c_str(), "w"))
{
    if (this->file == nullptr)
    {
        end_case(path);
    }
}

case_record::~case_record()
{
    std::fclose(this->file);
}

void case_record::line(const std::string& text)
{
    const std::int64_t at = now_ms();
    std::fprintf(this->file, "%lld.%03lld %s\n", static_cast<long long>(at / 1'000),
                 static_cast<long long>(at % 1'000), text.c_str());
    std::fflush(this->file);
}

void case_record::result(const std::string& text)
{
    this->line(text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
}

} // namespace review

// standin_backend: a backend server with a true TCP stack. It takes packets out of UDP, holds the
// service's addresses itself and answers callers directly, as a backend server's kernel does.
#include <algorithm>
#include <deque>
#include <iostream>
#include <memory>
#include <set>

#include <cxxopts.hpp>
#include <glib-unix.h>
#include <glib.h>

extern "C"
{
#include <lwip/tcp.h>
#include <lwip/udp.h>
}

#include "net/monotonic_clock.hpp"
#include "net/socket_address.hpp"
#include "standin/backend_options.hpp"
#include "standin/exchange.hpp"
#include "standin/ip_stack.hpp"
#include "wire/encapsulation.hpp"
#include "wire/ip_packet.hpp"

namespace
{

using namespace briarbarrow;

constexpr guint work_interval_ms = 10;
constexpr millis load_report_interval{100};
constexpr std::size_t datagram_bytes = max_packet_bytes + 256;
// Answers longer than this are sent at a bounded rate and take no slot.
constexpr std::uint64_t long_answer_bytes = 65'536;

// A connection of a caller.
struct connection
{
    tcp_pcb* control = nullptr;
    std::string received;
    // The answer being sent: its first line, and the place in the bytes behind it.
    std::string pending_head;
    request_line answering;
    std::uint64_t place = 0;
    std::uint64_t allowed = 0;
    bool busy = false;
    bool closing = false;
};

// A request that waits for a slot or holds one.
struct job
{
    std::weak_ptr<connection> from;
    request_line request;
    // For datagrams.
    ip_addr_t address{};
    std::uint16_t port = 0;
    bool datagram = false;
    millis done;
};

struct server
{
    backend_options options;
    int socket = -1;
    std::set<std::shared_ptr<connection>> connections;
    std::deque<job> waiting;
    std::vector<job> running;
    udp_pcb* datagrams = nullptr;
    millis next_load_report;
    millis last_work;
};

// Callbacks of the stack get a plain pointer only.
server* the_server = nullptr;

void send_to(const endpoint& to, std::string_view head, std::span<const std::uint8_t> body)
{
    sockaddr_storage address{};
    std::array<iovec, 2> parts{iovec{const_cast<char*>(head.data()), head.size()},
                               iovec{const_cast<std::uint8_t*>(body.data()), body.size()}};
    msghdr header{};
    header.msg_name = &address;
    header.msg_namelen = to_socket_address(to, address);
    header.msg_iov = parts.data();
    header.msg_iovlen = parts.size();
    sendmsg(the_server->socket, &header, MSG_DONTWAIT);
}

void report(report_line::kind what, std::uint64_t value)
{
    const backend_options& options = the_server->options;
    send_to(options.reports, write_report({what, options.service, options.name, value}), {});
}

void send_packet_to_caller(std::span<const std::uint8_t> packet)
{
    wire_buffer head;
    encode_plain_header(head, packet);
    send_to(the_server->options.callers, {reinterpret_cast<const char*>(head.data()), head.size()},
            packet);
}

std::string answer_head(const request_line& request)
{
    const backend_options& options = the_server->options;
    return write_answer({request.id, options.service, options.name, request.bytes,
                         answer_checksum(request.id, request.bytes)});
}

// Gives as much of the answer to the stack as it takes.
void push_answer(connection& to)
{
    if (!to.busy || to.control == nullptr)
    {
        return;
    }
    if (!to.pending_head.empty())
    {
        const auto length = static_cast<u16_t>(to.pending_head.size());
        if (tcp_write(to.control, to.pending_head.data(), length, TCP_WRITE_FLAG_COPY) != ERR_OK)
        {
            return;
        }
        to.pending_head.clear();
    }
    std::array<char, 1024> chunk{};
    while (to.place < std::min(to.answering.bytes, to.allowed))
    {
        const std::uint64_t left = std::min(to.answering.bytes, to.allowed) - to.place;
        const std::uint64_t room = std::min<std::uint64_t>(tcp_sndbuf(to.control), chunk.size());
        const std::uint64_t count = std::min(left, room);
        for (std::uint64_t i = 0; i < count; ++i)
        {
            chunk[i] = answer_byte(to.answering.id, to.place + i);
        }
        const auto length = static_cast<u16_t>(count);
        if (count == 0 ||
            tcp_write(to.control, chunk.data(), length, TCP_WRITE_FLAG_COPY) != ERR_OK)
        {
            break;
        }
        to.place += count;
    }
    tcp_output(to.control);
    to.busy = to.place < to.answering.bytes;
}

void begin_answer(connection& to, const request_line& request)
{
    to.answering = request;
    to.pending_head = answer_head(request);
    to.place = 0;
    const bool paced = request.bytes > long_answer_bytes;
    to.allowed = paced ? 0 : request.bytes;
    to.busy = true;
    push_answer(to);
}

void forget(connection& gone)
{
    const auto same = [&gone](const auto& held)
    {
        return held.get() == &gone;
    };
    auto& connections = the_server->connections;
    const auto found = std::find_if(connections.begin(), connections.end(), same);
    if (found != connections.end())
    {
        connections.erase(found);
    }
}

void close_when_done(connection& from)
{
    if (!from.closing || from.busy || from.control == nullptr)
    {
        return;
    }
    tcp_pcb* control = from.control;
    tcp_arg(control, nullptr);
    tcp_recv(control, nullptr);
    tcp_err(control, nullptr);
    tcp_sent(control, nullptr);
    if (tcp_close(control) != ERR_OK)
    {
        tcp_abort(control);
    }
    forget(from);
}

void take_lines(connection& from)
{
    const auto end = from.received.find('\n');
    if (end == std::string::npos)
    {
        return;
    }
    const auto request = read_request(from.received.substr(0, end));
    from.received.erase(0, end + 1);
    if (!request)
    {
        return;
    }
    report(report_line::kind::receipt, request->id);
    const auto same = [&from](const auto& held)
    {
        return held.get() == &from;
    };
    const auto& connections = the_server->connections;
    const auto held = std::find_if(connections.begin(), connections.end(), same);
    if (request->bytes > long_answer_bytes)
    {
        begin_answer(from, *request);
        return;
    }
    job work;
    work.from = *held;
    work.request = *request;
    from.busy = true;
    from.answering = request_line{request->id, 1};
    the_server->waiting.push_back(work);
}

err_t on_received(void* argument, tcp_pcb* control, pbuf* chain, err_t /*error*/)
{
    auto& from = *static_cast<connection*>(argument);
    if (chain == nullptr)
    {
        from.closing = true;
        close_when_done(from);
        return ERR_OK;
    }
    std::string bytes(chain->tot_len, '\0');
    pbuf_copy_partial(chain, bytes.data(), chain->tot_len, 0);
    tcp_recved(control, chain->tot_len);
    pbuf_free(chain);
    from.received += bytes;
    take_lines(from);
    return ERR_OK;
}

err_t on_sent(void* argument, tcp_pcb* /*control*/, u16_t /*length*/)
{
    auto& to = *static_cast<connection*>(argument);
    const bool answering = to.pending_head.empty() && to.place < to.answering.bytes;
    if (answering && to.allowed > 0)
    {
        push_answer(to);
    }
    close_when_done(to);
    return ERR_OK;
}

void on_error(void* argument, err_t /*error*/)
{
    auto* gone = static_cast<connection*>(argument);
    if (gone != nullptr)
    {
        gone->control = nullptr;
        forget(*gone);
    }
}

err_t on_accepted(void* /*argument*/, tcp_pcb* control, err_t error)
{
    if (error != ERR_OK || control == nullptr)
    {
        return ERR_VAL;
    }
    auto made = std::make_shared<connection>();
    made->control = control;
    the_server->connections.insert(made);
    tcp_nagle_disable(control);
    tcp_arg(control, made.get());
    tcp_recv(control, on_received);
    tcp_sent(control, on_sent);
    tcp_err(control, on_error);
    return ERR_OK;
}

void on_datagram(void* /*argument*/, udp_pcb* /*control*/, pbuf* chain, const ip_addr_t* address,
                 u16_t port)
{
    std::string bytes(chain->tot_len, '\0');
    pbuf_copy_partial(chain, bytes.data(), chain->tot_len, 0);
    pbuf_free(chain);
    const auto request = read_request(bytes);
    if (!request)
    {
        return;
    }
    report(report_line::kind::receipt, request->id);
    job work;
    work.request = *request;
    work.address = *address;
    work.port = port;
    work.datagram = true;
    the_server->waiting.push_back(work);
}

void answer_datagram(const job& done)
{
    std::string text = answer_head(done.request);
    for (std::uint64_t place = 0; place < done.request.bytes; ++place)
    {
        text += answer_byte(done.request.id, place);
    }
    pbuf* chain = pbuf_alloc(PBUF_TRANSPORT, static_cast<u16_t>(text.size()), PBUF_RAM);
    pbuf_take(chain, text.data(), static_cast<u16_t>(text.size()));
    udp_sendto(the_server->datagrams, chain, &done.address, done.port);
    pbuf_free(chain);
}

void finish_job(const job& done)
{
    if (done.datagram)
    {
        answer_datagram(done);
        return;
    }
    const auto from = done.from.lock();
    if (from && from->control != nullptr)
    {
        begin_answer(*from, done.request);
        close_when_done(*from);
    }
}

void work(millis now)
{
    server& self = *the_server;
    for (std::size_t i = 0; i < self.running.size();)
    {
        if (now < self.running[i].done)
        {
            ++i;
            continue;
        }
        const job done = self.running[i];
        self.running.erase(self.running.begin() + static_cast<std::ptrdiff_t>(i));
        finish_job(done);
    }
    while (self.running.size() < self.options.slots && !self.waiting.empty())
    {
        job next = self.waiting.front();
        self.waiting.pop_front();
        next.done = now + self.options.service_time;
        self.running.push_back(next);
    }
    const auto elapsed = static_cast<std::uint64_t>((now - self.last_work).count);
    self.last_work = now;
    const std::uint64_t earned = self.options.long_bytes_per_second * elapsed / 1000;
    const auto connections = self.connections;
    for (const auto& held : connections)
    {
        if (held->busy && held->answering.bytes > long_answer_bytes)
        {
            held->allowed += earned;
            push_answer(*held);
            close_when_done(*held);
        }
    }
}

gboolean on_work(gpointer /*data*/)
{
    const stack_lock lock;
    const millis now = monotonic_now();
    work(now);
    if (now >= the_server->next_load_report)
    {
        the_server->next_load_report = now + load_report_interval;
        report(report_line::kind::load, the_server->connections.size());
    }
    return G_SOURCE_CONTINUE;
}

void take_frame(std::span<const std::uint8_t> bytes)
{
    const auto read = decode_frame(bytes);
    if (!read || read.value().control || read.value().relay)
    {
        return;
    }
    const auto packet = parse_packet(read.value().body);
    if (!packet)
    {
        return;
    }
    const auto& own = the_server->options.addresses;
    const ip_address& to = packet.value().tuple.destination;
    if (std::find(own.begin(), own.end(), to) == own.end())
    {
        report(report_line::kind::misrouted, 1);
        return;
    }
    receive_packet(read.value().body);
}

gboolean on_readable(gint descriptor, GIOCondition /*condition*/, gpointer /*data*/)
{
    static std::array<std::uint8_t, datagram_bytes> buffer;
    constexpr int datagrams_per_turn = 256;
    for (int i = 0; i < datagrams_per_turn; ++i)
    {
        const ssize_t length = recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (length <= 0)
        {
            break;
        }
        take_frame({buffer.data(), static_cast<std::size_t>(length)});
    }
    return G_SOURCE_CONTINUE;
}

void listen_for_callers(const backend_options& options)
{
    const stack_lock lock;
    tcp_pcb* control = tcp_new_ip_type(IPADDR_TYPE_ANY);
    tcp_bind(control, IP_ANY_TYPE, options.port);
    constexpr u8_t backlog = 255;
    tcp_accept(tcp_listen_with_backlog(control, backlog), on_accepted);
    the_server->datagrams = udp_new_ip_type(IPADDR_TYPE_ANY);
    udp_bind(the_server->datagrams, IP_ANY_TYPE, options.port);
    udp_recv(the_server->datagrams, on_datagram, nullptr);
}

int run(const backend_options& options)
{
    server self;
    self.options = options;
    self.socket = open_udp_socket(options.listen);
    if (self.socket < 0)
    {
        std::cerr << "standin_backend: can't listen on " << to_string(options.listen) << '\n';
        return 1;
    }
    the_server = &self;
    self.last_work = monotonic_now();
    start_ip_stack(options.addresses, send_packet_to_caller);
    listen_for_callers(options);
    GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
    g_unix_fd_add(self.socket, G_IO_IN, on_readable, nullptr);
    g_timeout_add(work_interval_ms, on_work, nullptr);
    g_main_loop_run(loop);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options = make_backend_options();
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        return run(read_options(parsed));
    }
    catch (const std::exception& wrong)
    {
        std::cerr << "standin_backend: " << wrong.what() << "; see --help\n";
        return 2;
    }
}

// standin_backend: a simulated backend server with its own TCP/IP stack. It decapsulates packets
// that hosts send over UDP, holds the service's addresses itself and answers callers directly
// (direct server return), as the kernel of a backend server does.
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
// Longer answers are sent at a limited rate and occupy no slot.
constexpr std::uint64_t paced_answer_threshold_bytes = 65'536;

// A TCP connection from a caller.
struct connection
{
    tcp_pcb* control = nullptr;
    std::string received;
    // The answer being sent: its first line until lwIP has accepted it, the number of body bytes
    // written, and the number that may be written so far.
    std::string pending_line;
    request_line answering;
    std::uint64_t offset = 0;
    std::uint64_t allowed_bytes = 0;
    bool request_in_progress = false;
    bool peer_closed = false;
};

// A request that waits for a slot or occupies one.
struct job
{
    std::weak_ptr<connection> from;
    request_line request;
    // The caller's endpoint, for a request that came as a datagram.
    ip_addr_t address{};
    std::uint16_t port = 0;
    bool is_datagram = false;
    millis finish_at;
};

// The state of this process.
struct server
{
    backend_options options;
    int socket = -1;
    std::set<std::shared_ptr<connection>> connections;
    std::deque<job> waiting_jobs;
    std::vector<job> running_jobs;
    udp_pcb* udp_control = nullptr;
    millis next_load_report;
    millis last_run;
};

// A global, because the packet callbacks of the stack carry no argument for it.
server* the_server = nullptr;

void send_to(const endpoint& to, std::string_view prefix, std::span<const std::uint8_t> body)
{
    sockaddr_storage address{};
    std::array<iovec, 2> buffers{iovec{const_cast<char*>(prefix.data()), prefix.size()},
                                 iovec{const_cast<std::uint8_t*>(body.data()), body.size()}};
    msghdr message{};
    message.msg_name = &address;
    message.msg_namelen = to_socket_address(to, address);
    message.msg_iov = buffers.data();
    message.msg_iovlen = buffers.size();
    sendmsg(the_server->socket, &message, MSG_DONTWAIT);
}

void send_report(report_line::kind type, std::uint64_t value)
{
    const backend_options& options = the_server->options;
    send_to(options.reports, format_report_line({type, options.service, options.name, value}), {});
}

void send_to_caller(std::span<const std::uint8_t> packet)
{
    wire_buffer header;
    encode_plain_header(header, packet);
    send_to(the_server->options.callers,
            {reinterpret_cast<const char*>(header.data()), header.size()}, packet);
}

std::string make_answer_line(const request_line& request)
{
    const backend_options& options = the_server->options;
    return format_answer_line({request.id, options.service, options.name, request.bytes,
                               answer_checksum(request.id, request.bytes)});
}

// Writes as much of the answer as the stack's send buffer accepts.
void write_answer_bytes(connection& to)
{
    if (!to.request_in_progress || to.control == nullptr)
    {
        return;
    }
    if (!to.pending_line.empty())
    {
        const auto length = static_cast<u16_t>(to.pending_line.size());
        if (tcp_write(to.control, to.pending_line.data(), length, TCP_WRITE_FLAG_COPY) != ERR_OK)
        {
            return;
        }
        to.pending_line.clear();
    }
    std::array<char, 1024> chunk{};
    while (to.offset < std::min(to.answering.bytes, to.allowed_bytes))
    {
        const std::uint64_t left = std::min(to.answering.bytes, to.allowed_bytes) - to.offset;
        const std::uint64_t capacity =
            std::min<std::uint64_t>(tcp_sndbuf(to.control), chunk.size());
        const std::uint64_t count = std::min(left, capacity);
        for (std::uint64_t i = 0; i < count; ++i)
        {
            chunk[i] = answer_byte(to.answering.id, to.offset + i);
        }
        const auto length = static_cast<u16_t>(count);
        if (count == 0 ||
            tcp_write(to.control, chunk.data(), length, TCP_WRITE_FLAG_COPY) != ERR_OK)
        {
            break;
        }
        to.offset += count;
    }
    tcp_output(to.control);
    to.request_in_progress = to.offset < to.answering.bytes;
}

void begin_answer(connection& to, const request_line& request)
{
    to.answering = request;
    to.pending_line = make_answer_line(request);
    to.offset = 0;
    const bool paced = request.bytes > paced_answer_threshold_bytes;
    to.allowed_bytes = paced ? 0 : request.bytes;
    to.request_in_progress = true;
    write_answer_bytes(to);
}

// Removes a connection that the stack has closed or freed.
void remove_connection(connection& gone)
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

// Closes a connection that the caller has closed, once its answer is written.
void close_if_done(connection& from)
{
    if (!from.peer_closed || from.request_in_progress || from.control == nullptr)
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
    remove_connection(from);
}

// Accepts a request once its line is complete: a long one is answered at once, others queue for a
// slot.
void handle_request_line(connection& from)
{
    const auto end = from.received.find('\n');
    if (end == std::string::npos)
    {
        return;
    }
    const auto request = parse_request_line(from.received.substr(0, end));
    from.received.erase(0, end + 1);
    if (!request)
    {
        return;
    }
    send_report(report_line::kind::receipt, request->id);
    const auto same = [&from](const auto& held)
    {
        return held.get() == &from;
    };
    const auto& connections = the_server->connections;
    const auto held = std::find_if(connections.begin(), connections.end(), same);
    if (request->bytes > paced_answer_threshold_bytes)
    {
        begin_answer(from, *request);
        return;
    }
    job work;
    work.from = *held;
    work.request = *request;
    from.request_in_progress = true;
    from.answering = request_line{request->id, 1};
    the_server->waiting_jobs.push_back(work);
}

err_t on_received(void* argument, tcp_pcb* control, pbuf* chain, err_t /*error*/)
{
    auto& from = *static_cast<connection*>(argument);
    if (chain == nullptr)
    {
        from.peer_closed = true;
        close_if_done(from);
        return ERR_OK;
    }
    std::string bytes(chain->tot_len, '\0');
    pbuf_copy_partial(chain, bytes.data(), chain->tot_len, 0);
    tcp_recved(control, chain->tot_len);
    pbuf_free(chain);
    from.received += bytes;
    handle_request_line(from);
    return ERR_OK;
}

err_t on_sent(void* argument, tcp_pcb* /*control*/, u16_t /*length*/)
{
    auto& to = *static_cast<connection*>(argument);
    const bool answering = to.pending_line.empty() && to.offset < to.answering.bytes;
    if (answering && to.allowed_bytes > 0)
    {
        write_answer_bytes(to);
    }
    close_if_done(to);
    return ERR_OK;
}

void on_error(void* argument, err_t /*error*/)
{
    auto* gone = static_cast<connection*>(argument);
    if (gone != nullptr)
    {
        gone->control = nullptr;
        remove_connection(*gone);
    }
}

err_t on_accepted(void* /*argument*/, tcp_pcb* control, err_t error)
{
    if (error != ERR_OK || control == nullptr)
    {
        return ERR_VAL;
    }
    auto accepted = std::make_shared<connection>();
    accepted->control = control;
    the_server->connections.insert(accepted);
    tcp_nagle_disable(control);
    tcp_arg(control, accepted.get());
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
    const auto request = parse_request_line(bytes);
    if (!request)
    {
        return;
    }
    send_report(report_line::kind::receipt, request->id);
    job work;
    work.request = *request;
    work.address = *address;
    work.port = port;
    work.is_datagram = true;
    the_server->waiting_jobs.push_back(work);
}

void answer_datagram(const job& done)
{
    std::string text = make_answer_line(done.request);
    for (std::uint64_t offset = 0; offset < done.request.bytes; ++offset)
    {
        text += answer_byte(done.request.id, offset);
    }
    pbuf* chain = pbuf_alloc(PBUF_TRANSPORT, static_cast<u16_t>(text.size()), PBUF_RAM);
    pbuf_take(chain, text.data(), static_cast<u16_t>(text.size()));
    udp_sendto(the_server->udp_control, chain, &done.address, done.port);
    pbuf_free(chain);
}

void finish_job(const job& done)
{
    if (done.is_datagram)
    {
        answer_datagram(done);
        return;
    }
    const auto from = done.from.lock();
    if (from && from->control != nullptr)
    {
        begin_answer(*from, done.request);
        close_if_done(*from);
    }
}

// Finishes the jobs that are due, starts waiting ones in free slots and paces long answers.
void run_jobs(millis now)
{
    server& self = *the_server;
    for (std::size_t i = 0; i < self.running_jobs.size();)
    {
        if (now < self.running_jobs[i].finish_at)
        {
            ++i;
            continue;
        }
        const job done = self.running_jobs[i];
        self.running_jobs.erase(self.running_jobs.begin() + static_cast<std::ptrdiff_t>(i));
        finish_job(done);
    }
    while (self.running_jobs.size() < self.options.slots && !self.waiting_jobs.empty())
    {
        job next = self.waiting_jobs.front();
        self.waiting_jobs.pop_front();
        next.finish_at = now + self.options.service_time;
        self.running_jobs.push_back(next);
    }
    const auto elapsed = static_cast<std::uint64_t>((now - self.last_run).count);
    self.last_run = now;
    const std::uint64_t new_bytes = self.options.long_bytes_per_second * elapsed / 1000;
    const auto connections = self.connections;
    for (const auto& held : connections)
    {
        if (held->request_in_progress && held->answering.bytes > paced_answer_threshold_bytes)
        {
            held->allowed_bytes += new_bytes;
            write_answer_bytes(*held);
            close_if_done(*held);
        }
    }
}

gboolean on_work_timer(gpointer /*data*/)
{
    const stack_lock lock;
    const millis now = monotonic_now();
    run_jobs(now);
    if (now >= the_server->next_load_report)
    {
        the_server->next_load_report = now + load_report_interval;
        send_report(report_line::kind::load, the_server->connections.size());
    }
    return G_SOURCE_CONTINUE;
}

void handle_frame(std::span<const std::uint8_t> bytes)
{
    const auto frame = decode_frame(bytes);
    if (!frame || frame.value().control || frame.value().relay)
    {
        return;
    }
    const auto packet = parse_packet(frame.value().body);
    if (!packet)
    {
        return;
    }
    const auto& own = the_server->options.addresses;
    const ip_address& to = packet.value().tuple.destination;
    if (std::find(own.begin(), own.end(), to) == own.end())
    {
        send_report(report_line::kind::misrouted, 1);
        return;
    }
    deliver_to_stack(frame.value().body);
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
        handle_frame({buffer.data(), static_cast<std::size_t>(length)});
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
    the_server->udp_control = udp_new_ip_type(IPADDR_TYPE_ANY);
    udp_bind(the_server->udp_control, IP_ANY_TYPE, options.port);
    udp_recv(the_server->udp_control, on_datagram, nullptr);
}

int run(const backend_options& options)
{
    server self;
    self.options = options;
    self.socket = open_udp_socket(options.listen);
    if (self.socket < 0)
    {
        std::cerr << "standin_backend: cannot open a UDP socket on " << to_string(options.listen)
                  << '\n';
        return 1;
    }
    the_server = &self;
    self.last_run = monotonic_now();
    start_ip_stack(options.addresses, send_to_caller);
    listen_for_callers(options);
    GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
    g_unix_fd_add(self.socket, G_IO_IN, on_readable, nullptr);
    g_timeout_add(work_interval_ms, on_work_timer, nullptr);
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
    catch (const std::exception& error)
    {
        std::cerr << "standin_backend: " << error.what() << "; see --help\n";
        return 2;
    }
}

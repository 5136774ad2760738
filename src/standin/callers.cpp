#include "standin/callers.hpp"

#include <algorithm>
#include <cstring>

extern "C"
{
#include <lwip/tcp.h>
#include <lwip/udp.h>
}

#include "standin/exchange.hpp"
#include "standin/ip_stack.hpp"

namespace briarbarrow
{

namespace
{

// A flow that makes no progress for this long counts as stalled.
constexpr millis stall_timeout{20'000};
constexpr millis datagram_retry_interval{1'000};
constexpr int max_datagram_attempts = 8;

ip_addr_t to_stack_address(const ip_address& address)
{
    ip_addr_t raw{};
    if (is_v4(address))
    {
        IP_SET_TYPE_VAL(raw, IPADDR_TYPE_V4);
        std::memcpy(&ip_2_ip4(&raw)->addr, address.bytes.data() + 12, 4);
        return raw;
    }
    IP_SET_TYPE_VAL(raw, IPADDR_TYPE_V6);
    std::memcpy(ip_2_ip6(&raw)->addr, address.bytes.data(), 16);
    return raw;
}

} // namespace

std::uint64_t caller_tally::broken_flow_count() const
{
    std::uint64_t sum = 0;
    for (const auto& [reason, count] : this->broken)
    {
        sum += count;
    }
    return sum;
}

// One caller and its current flow, if any.
class caller
{
public:
    caller(const caller_group& group, caller_tally& counts, std::uint64_t& next_request_id,
           millis first_start_at)
        : group(group), counts(counts), next_request_id(next_request_id),
          next_start_at(first_start_at)
    {
    }

    ~caller()
    {
        this->release_sockets();
    }

    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    void tick(millis now);

    void stop_new_flows()
    {
        this->stopping = true;
    }

    bool is_idle() const
    {
        return this->tcp_control == nullptr && this->udp_control == nullptr;
    }

    void abandon_open_flows()
    {
        if (!this->is_idle())
        {
            this->break_flow("stalled");
        }
    }

private:
    void start();
    void start_connection();
    void start_datagram();
    void send_request();
    void send_datagram();
    void handle_bytes(const std::string& bytes);
    void finish_answer();
    void close();
    void release_sockets();
    void break_flow(const std::string& reason);
    static err_t on_connected(void* argument, tcp_pcb* control, err_t error);
    static err_t on_received(void* argument, tcp_pcb* control, pbuf* chain, err_t error);
    static void on_error(void* argument, err_t error);
    static void on_datagram(void* argument, udp_pcb* control, pbuf* chain, const ip_addr_t* address,
                            u16_t port);

    caller_group group;
    caller_tally& counts;
    std::uint64_t& next_request_id;
    tcp_pcb* tcp_control = nullptr;
    udp_pcb* udp_control = nullptr;
    bool established = false;
    bool awaiting_answer = false;
    bool stopping = false;
    millis now;
    millis next_start_at;
    millis next_request_at;
    millis request_sent_at;
    millis last_progress;
    int attempts = 0;
    request_line request;
    std::string partial_line;
    bool in_body = false;
    answer_line answer;
    std::uint64_t answer_offset = 0;
    std::uint64_t checksum = 0;
    bool has_wrong_byte = false;
};

void caller::tick(millis at)
{
    this->now = at;
    if (this->is_idle())
    {
        if (!this->stopping && at >= this->next_start_at)
        {
            this->start();
        }
        return;
    }
    if (at - this->last_progress >= stall_timeout)
    {
        this->break_flow("stalled");
        return;
    }
    const bool terminal = this->group.kind == caller_kind::terminal;
    if (terminal && this->established && !this->awaiting_answer)
    {
        if (this->stopping)
        {
            this->close();
        }
        else if (at >= this->next_request_at)
        {
            this->send_request();
        }
    }
    if (this->udp_control != nullptr &&
        at - this->request_sent_at >= datagram_retry_interval * this->attempts)
    {
        this->send_datagram();
    }
}

void caller::start()
{
    ++this->counts.opened;
    this->last_progress = this->now;
    this->established = false;
    this->awaiting_answer = false;
    this->in_body = false;
    this->partial_line.clear();
    if (this->group.kind == caller_kind::datagram)
    {
        this->start_datagram();
        return;
    }
    this->start_connection();
}

void caller::start_connection()
{
    this->tcp_control = tcp_new_ip_type(IPADDR_TYPE_ANY);
    tcp_nagle_disable(this->tcp_control);
    tcp_arg(this->tcp_control, this);
    tcp_recv(this->tcp_control, on_received);
    tcp_err(this->tcp_control, on_error);
    const ip_addr_t destination = to_stack_address(this->group.address);
    if (tcp_connect(this->tcp_control, &destination, this->group.port, on_connected) != ERR_OK)
    {
        this->break_flow("could not connect");
    }
}

err_t caller::on_connected(void* argument, tcp_pcb* /*control*/, err_t /*error*/)
{
    auto& self = *static_cast<caller*>(argument);
    self.established = true;
    self.send_request();
    return ERR_OK;
}

void caller::send_request()
{
    this->request = {this->next_request_id++, this->group.answer_bytes};
    this->awaiting_answer = true;
    this->request_sent_at = this->now;
    this->last_progress = this->now;
    const std::string text = format_request_line(this->request);
    tcp_write(this->tcp_control, text.data(), static_cast<u16_t>(text.size()), TCP_WRITE_FLAG_COPY);
    tcp_output(this->tcp_control);
}

err_t caller::on_received(void* argument, tcp_pcb* control, pbuf* chain, err_t /*error*/)
{
    auto& self = *static_cast<caller*>(argument);
    if (chain == nullptr)
    {
        self.break_flow("closed before the whole answer");
        return ERR_OK;
    }
    std::string bytes(chain->tot_len, '\0');
    pbuf_copy_partial(chain, bytes.data(), chain->tot_len, 0);
    tcp_recved(control, chain->tot_len);
    pbuf_free(chain);
    self.last_progress = self.now;
    self.handle_bytes(bytes);
    return ERR_OK;
}

void caller::handle_bytes(const std::string& bytes)
{
    for (const char byte : bytes)
    {
        if (!this->in_body)
        {
            this->partial_line += byte;
            if (byte != '\n')
            {
                continue;
            }
            const auto parsed = parse_answer_line(this->partial_line);
            this->partial_line.clear();
            this->answer = parsed.value_or(answer_line{});
            this->in_body = true;
            this->answer_offset = 0;
            this->checksum = 0;
            this->has_wrong_byte = false;
            continue;
        }
        this->has_wrong_byte =
            this->has_wrong_byte || byte != answer_byte(this->request.id, this->answer_offset);
        this->checksum = update_checksum(this->checksum, byte);
        ++this->answer_offset;
    }
    if (this->in_body && this->awaiting_answer && this->answer_offset >= this->request.bytes)
    {
        this->finish_answer();
    }
}

void caller::finish_answer()
{
    this->awaiting_answer = false;
    this->in_body = false;
    const bool is_own_answer = this->answer.id == this->request.id;
    const bool is_intact = this->answer_offset == this->request.bytes && !this->has_wrong_byte &&
                           this->checksum == this->answer.checksum;
    this->counts.misrouted += this->answer.service == this->group.service ? 0 : 1;
    this->counts.mismatched_answers += is_own_answer ? 0 : 1;
    if (!is_own_answer || !is_intact)
    {
        this->break_flow("wrong answer");
        return;
    }
    ++this->counts.answered;
    this->counts.answer_ms.push_back(
        static_cast<double>((this->now - this->request_sent_at).count));
    this->next_request_at = this->now + this->group.think_time;
    if (this->group.kind != caller_kind::terminal)
    {
        this->close();
    }
}

void caller::close()
{
    this->next_start_at = this->now + this->group.think_time;
    if (this->tcp_control != nullptr)
    {
        tcp_arg(this->tcp_control, nullptr);
        tcp_recv(this->tcp_control, nullptr);
        tcp_err(this->tcp_control, nullptr);
        if (tcp_close(this->tcp_control) != ERR_OK)
        {
            tcp_abort(this->tcp_control);
        }
        this->tcp_control = nullptr;
    }
    this->release_sockets();
}

void caller::release_sockets()
{
    if (this->tcp_control != nullptr)
    {
        tcp_arg(this->tcp_control, nullptr);
        tcp_recv(this->tcp_control, nullptr);
        tcp_err(this->tcp_control, nullptr);
        tcp_abort(this->tcp_control);
        this->tcp_control = nullptr;
    }
    if (this->udp_control != nullptr)
    {
        udp_remove(this->udp_control);
        this->udp_control = nullptr;
    }
}

void caller::break_flow(const std::string& reason)
{
    ++this->counts.broken[reason];
    this->next_start_at = this->now + this->group.think_time;
    if (this->tcp_control != nullptr)
    {
        this->close();
        return;
    }
    this->release_sockets();
}

void caller::on_error(void* argument, err_t /*error*/)
{
    auto* self = static_cast<caller*>(argument);
    if (self == nullptr)
    {
        return;
    }
    // lwIP has already freed the control block when it calls this.
    self->tcp_control = nullptr;
    if (!self->established)
    {
        ++self->counts.refused;
        self->next_start_at = self->now + self->group.think_time;
        return;
    }
    self->break_flow("reset");
}

void caller::start_datagram()
{
    this->request = {this->next_request_id++, this->group.answer_bytes};
    this->udp_control = udp_new_ip_type(IPADDR_TYPE_ANY);
    udp_bind(this->udp_control, IP_ANY_TYPE, 0);
    udp_recv(this->udp_control, on_datagram, this);
    this->request_sent_at = this->now;
    this->awaiting_answer = true;
    this->attempts = 0;
    this->send_datagram();
}

void caller::send_datagram()
{
    if (this->attempts >= max_datagram_attempts)
    {
        ++this->counts.unanswered_datagrams;
        this->break_flow("datagram without answer");
        return;
    }
    this->counts.retried_datagrams += this->attempts > 0 ? 1 : 0;
    ++this->attempts;
    const std::string text = format_request_line(this->request);
    pbuf* chain = pbuf_alloc(PBUF_TRANSPORT, static_cast<u16_t>(text.size()), PBUF_RAM);
    pbuf_take(chain, text.data(), static_cast<u16_t>(text.size()));
    const ip_addr_t destination = to_stack_address(this->group.address);
    udp_sendto(this->udp_control, chain, &destination, this->group.port);
    pbuf_free(chain);
}

void caller::on_datagram(void* argument, udp_pcb* /*control*/, pbuf* chain,
                         const ip_addr_t* /*address*/, u16_t /*port*/)
{
    auto& self = *static_cast<caller*>(argument);
    std::string bytes(chain->tot_len, '\0');
    pbuf_copy_partial(chain, bytes.data(), chain->tot_len, 0);
    pbuf_free(chain);
    self.in_body = false;
    self.handle_bytes(bytes);
}

caller_set::caller_set() = default;

caller_set::~caller_set()
{
    const stack_lock lock;
    this->callers.clear();
}

void caller_set::add(const caller_group& group)
{
    const stack_lock lock;
    for (std::size_t i = 0; i < group.count; ++i)
    {
        // Start times are spread over one think time, so that callers don't send in lockstep.
        const auto index = static_cast<std::int64_t>(i);
        const auto total = static_cast<std::int64_t>(group.count);
        const millis offset{group.think_time.count * index / total};
        this->callers.push_back(
            std::make_unique<caller>(group, this->counts, this->next_request_id, offset));
    }
}

void caller_set::tick(millis now)
{
    const stack_lock lock;
    for (const auto& one : this->callers)
    {
        one->tick(now);
    }
}

void caller_set::stop_new_flows()
{
    const stack_lock lock;
    for (const auto& one : this->callers)
    {
        one->stop_new_flows();
    }
}

bool caller_set::is_idle() const
{
    const stack_lock lock;
    return std::all_of(this->callers.begin(), this->callers.end(),
                       [](const auto& one) { return one->is_idle(); });
}

void caller_set::abandon_open_flows()
{
    const stack_lock lock;
    for (const auto& one : this->callers)
    {
        one->abandon_open_flows();
    }
}

const caller_tally& caller_set::tally() const
{
    return this->counts;
}

} // namespace briarbarrow

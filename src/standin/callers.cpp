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

// A flow without progress for this long is stalled.
constexpr millis stall_after{20'000};
constexpr millis datagram_repeat{1'000};
constexpr int datagram_tries = 8;

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

std::uint64_t caller_tally::broken_flows() const
{
    std::uint64_t sum = 0;
    for (const auto& [reason, count] : this->broken)
    {
        sum += count;
    }
    return sum;
}

// One caller and its flow under way, if any.
class caller
{
public:
    caller(const caller_group& group, caller_tally& seen, std::uint64_t& next_request,
           millis first_start)
        : group(group), seen(seen), next_request(next_request), next_start(first_start)
    {
    }

    ~caller()
    {
        this->drop();
    }

    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    void tick(millis now);

    void wind_down()
    {
        this->ending = true;
    }

    bool idle() const
    {
        return this->control == nullptr && this->datagrams == nullptr;
    }

    void give_up()
    {
        if (!this->idle())
        {
            this->break_flow("stalled");
        }
    }

private:
    void start();
    void start_stream();
    void start_datagram();
    void send_request();
    void send_datagram();
    void take(const std::string& bytes);
    void finish_answer();
    void close();
    void drop();
    void break_flow(const std::string& reason);
    static err_t on_connected(void* argument, tcp_pcb* control, err_t error);
    static err_t on_received(void* argument, tcp_pcb* control, pbuf* chain, err_t error);
    static void on_error(void* argument, err_t error);
    static void on_datagram(void* argument, udp_pcb* control, pbuf* chain, const ip_addr_t* address,
                            u16_t port);

    caller_group group;
    caller_tally& seen;
    std::uint64_t& next_request;
    tcp_pcb* control = nullptr;
    udp_pcb* datagrams = nullptr;
    bool established = false;
    bool asking = false;
    bool ending = false;
    millis now;
    millis next_start;
    millis next_question;
    millis asked;
    millis progress;
    int tries = 0;
    request_line request;
    std::string line;
    bool in_body = false;
    answer_line answer;
    std::uint64_t place = 0;
    std::uint64_t checksum = 0;
    bool wrong_byte = false;
};

void caller::tick(millis at)
{
    this->now = at;
    if (this->idle())
    {
        if (!this->ending && at >= this->next_start)
        {
            this->start();
        }
        return;
    }
    if (at - this->progress >= stall_after)
    {
        this->break_flow("stalled");
        return;
    }
    const bool terminal = this->group.kind == caller_kind::terminal;
    if (terminal && this->established && !this->asking)
    {
        if (this->ending)
        {
            this->close();
        }
        else if (at >= this->next_question)
        {
            this->send_request();
        }
    }
    if (this->datagrams != nullptr && at - this->asked >= datagram_repeat * this->tries)
    {
        this->send_datagram();
    }
}

void caller::start()
{
    ++this->seen.opened;
    this->progress = this->now;
    this->established = false;
    this->asking = false;
    this->in_body = false;
    this->line.clear();
    if (this->group.kind == caller_kind::datagram)
    {
        this->start_datagram();
        return;
    }
    this->start_stream();
}

void caller::start_stream()
{
    this->control = tcp_new_ip_type(IPADDR_TYPE_ANY);
    tcp_nagle_disable(this->control);
    tcp_arg(this->control, this);
    tcp_recv(this->control, on_received);
    tcp_err(this->control, on_error);
    const ip_addr_t to = to_stack_address(this->group.address);
    if (tcp_connect(this->control, &to, this->group.port, on_connected) != ERR_OK)
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
    this->request = {this->next_request++, this->group.answer_bytes};
    this->asking = true;
    this->asked = this->now;
    this->progress = this->now;
    const std::string text = write_request(this->request);
    tcp_write(this->control, text.data(), static_cast<u16_t>(text.size()), TCP_WRITE_FLAG_COPY);
    tcp_output(this->control);
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
    self.progress = self.now;
    self.take(bytes);
    return ERR_OK;
}

void caller::take(const std::string& bytes)
{
    for (const char byte : bytes)
    {
        if (!this->in_body)
        {
            this->line += byte;
            if (byte != '\n')
            {
                continue;
            }
            const auto read = read_answer(this->line);
            this->line.clear();
            this->answer = read.value_or(answer_line{});
            this->in_body = true;
            this->place = 0;
            this->checksum = 0;
            this->wrong_byte = false;
            continue;
        }
        this->wrong_byte = this->wrong_byte || byte != answer_byte(this->request.id, this->place);
        this->checksum = add_to_checksum(this->checksum, byte);
        ++this->place;
    }
    if (this->in_body && this->asking && this->place >= this->request.bytes)
    {
        this->finish_answer();
    }
}

void caller::finish_answer()
{
    this->asking = false;
    this->in_body = false;
    const bool own = this->answer.id == this->request.id;
    const bool whole = this->place == this->request.bytes && !this->wrong_byte &&
                       this->checksum == this->answer.checksum;
    this->seen.misrouted += this->answer.service == this->group.service ? 0 : 1;
    this->seen.mixed_up += own ? 0 : 1;
    if (!own || !whole)
    {
        this->break_flow("wrong answer");
        return;
    }
    ++this->seen.answered;
    this->seen.answer_ms.push_back(static_cast<double>((this->now - this->asked).count));
    this->next_question = this->now + this->group.think_time;
    if (this->group.kind != caller_kind::terminal)
    {
        this->close();
    }
}

void caller::close()
{
    this->next_start = this->now + this->group.think_time;
    if (this->control != nullptr)
    {
        tcp_arg(this->control, nullptr);
        tcp_recv(this->control, nullptr);
        tcp_err(this->control, nullptr);
        if (tcp_close(this->control) != ERR_OK)
        {
            tcp_abort(this->control);
        }
        this->control = nullptr;
    }
    this->drop();
}

void caller::drop()
{
    if (this->control != nullptr)
    {
        tcp_arg(this->control, nullptr);
        tcp_recv(this->control, nullptr);
        tcp_err(this->control, nullptr);
        tcp_abort(this->control);
        this->control = nullptr;
    }
    if (this->datagrams != nullptr)
    {
        udp_remove(this->datagrams);
        this->datagrams = nullptr;
    }
}

void caller::break_flow(const std::string& reason)
{
    ++this->seen.broken[reason];
    this->next_start = this->now + this->group.think_time;
    if (this->control != nullptr)
    {
        this->close();
        return;
    }
    this->drop();
}

void caller::on_error(void* argument, err_t /*error*/)
{
    auto* self = static_cast<caller*>(argument);
    if (self == nullptr)
    {
        return;
    }
    // The stack has freed the connection already.
    self->control = nullptr;
    if (!self->established)
    {
        ++self->seen.refused;
        self->next_start = self->now + self->group.think_time;
        return;
    }
    self->break_flow("reset");
}

void caller::start_datagram()
{
    this->request = {this->next_request++, this->group.answer_bytes};
    this->datagrams = udp_new_ip_type(IPADDR_TYPE_ANY);
    udp_bind(this->datagrams, IP_ANY_TYPE, 0);
    udp_recv(this->datagrams, on_datagram, this);
    this->asked = this->now;
    this->asking = true;
    this->tries = 0;
    this->send_datagram();
}

void caller::send_datagram()
{
    if (this->tries >= datagram_tries)
    {
        ++this->seen.unanswered_datagrams;
        this->break_flow("datagram without answer");
        return;
    }
    this->seen.retransmitted_datagrams += this->tries > 0 ? 1 : 0;
    ++this->tries;
    const std::string text = write_request(this->request);
    pbuf* chain = pbuf_alloc(PBUF_TRANSPORT, static_cast<u16_t>(text.size()), PBUF_RAM);
    pbuf_take(chain, text.data(), static_cast<u16_t>(text.size()));
    const ip_addr_t to = to_stack_address(this->group.address);
    udp_sendto(this->datagrams, chain, &to, this->group.port);
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
    self.take(bytes);
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
        // Spread over a think time, so that callers don't march in step.
        const auto share = static_cast<std::int64_t>(i);
        const auto all = static_cast<std::int64_t>(group.count);
        const millis offset{group.think_time.count * share / all};
        this->callers.push_back(
            std::make_unique<caller>(group, this->seen, this->next_request, offset));
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

void caller_set::wind_down()
{
    const stack_lock lock;
    for (const auto& one : this->callers)
    {
        one->wind_down();
    }
}

bool caller_set::idle() const
{
    const stack_lock lock;
    return std::all_of(this->callers.begin(), this->callers.end(),
                       [](const auto& one) { return one->idle(); });
}

void caller_set::give_up()
{
    const stack_lock lock;
    for (const auto& one : this->callers)
    {
        one->give_up();
    }
}

const caller_tally& caller_set::tally() const
{
    return this->seen;
}

} // namespace briarbarrow

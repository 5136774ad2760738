#include "testing/tagged_field.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <queue>
#include <random>

#include "tagged/tag_router.hpp"

namespace briarbarrow
{

namespace
{

// Units: microseconds. One way, as the users' pages give it.
constexpr std::int64_t us_per_ms = 1'000;
constexpr std::int64_t caller_link_us = 3'000;
constexpr std::int64_t own_zone_link_us = 100;
constexpr std::int64_t other_zone_link_us = 500;
constexpr std::int64_t handshake_us = 300;
constexpr std::int64_t check_patience_us = 80'000;
constexpr std::int64_t retransmission_us = 200'000;
constexpr std::int64_t first_copy_us = 200'000;
constexpr std::int64_t second_copy_us = 600'000;
constexpr std::int64_t give_up_us = 1'400'000;
constexpr int most_tries = 3;
// Answers of the users' sites: about a thousand bytes, spread by 0.6, and a head.
constexpr double answer_bytes = 1'000;
constexpr double answer_spread = 0.6;
constexpr std::uint32_t answer_head_bytes = 150;
constexpr std::uint32_t error_bytes = 160;
constexpr std::int64_t error_us = 1'000;
constexpr std::uint32_t backend_sequence = 500;
constexpr std::uint32_t caller_sequence = 1'000;

const endpoint idempotent_address = *parse_endpoint("198.18.0.1:8443");
const endpoint once_address = *parse_endpoint("198.18.0.1:8080");

struct field_backend
{
    std::size_t zone = 0;
    std::string name;
    std::uint32_t working = 0;
    std::deque<std::function<void()>> waiting;
    std::vector<std::uint64_t> opened;
};

struct field_daemon
{
    std::size_t zone = 0;
    router_state router;
    // Packets that arrived while it was frozen.
    std::deque<tagged_packet> held;
};

// One request of a caller, over all its tries.
struct field_request
{
    bool once = false;
    std::size_t zone = 0;
    std::int64_t began_us = 0;
    int tries = 0;
    bool is_over = false;
    std::uint64_t runs = 0;
    // The try under way.
    std::uint16_t port = 0;
    bool is_open = false;
    std::uint32_t tag = 0;
    std::size_t backend = 0;
    bool request_arrived = false;
    std::uint32_t answer_bytes = 0;
};

class field
{
public:
    explicit field(const field_options& options) : options(options), random(options.seed) {}

    field_report run();

private:
    using request_ptr = std::shared_ptr<field_request>;

    void at(std::int64_t when_us, std::function<void()> what);
    bool is_within(const field_span& span, std::size_t which) const;
    bool is_cut(std::size_t left, std::size_t right) const;
    bool is_lost();
    bool reaches(std::size_t daemon, std::size_t backend) const;
    std::int64_t link_us(std::size_t daemon, std::size_t backend) const;
    void make_hosts();
    backend_registration notice_of(std::size_t backend) const;
    void plan_lapse();
    void plan_arrivals(bool once, double per_s);
    void arrive(bool once);
    void begin_try(const request_ptr& request);
    void send_opening(const request_ptr& request, std::uint16_t port, std::uint32_t copy);
    void send_data(const request_ptr& request, std::uint16_t port, std::int64_t pause_us);
    void close_flow(const field_request& request);
    void to_daemon(const field_request& request, const tagged_packet& packet);
    void handle(std::size_t daemon, const tagged_packet& packet);
    void tick(std::size_t daemon);
    void count_beliefs(router_state& router);
    void tell_of_others(field_daemon& host) const;
    void check(std::size_t daemon, backend_index index);
    using told = std::function<void(router_state&, millis)>;
    void tell_others(std::size_t daemon, const told& hear);
    std::optional<std::size_t> place_plainly(std::size_t daemon, const tagged_packet& packet);
    void to_backend(std::size_t backend, const tagged_packet& packet, std::uint32_t tag);
    void answer_opening(std::size_t backend, const tagged_packet& packet, std::uint32_t tag);
    void take_request(std::size_t backend, const request_ptr& request);
    void work(std::size_t backend, const request_ptr& request);
    void reset(const flow_tuple& flow);
    bool is_failing(std::size_t backend);
    void answer_error(const request_ptr& request);
    void finish(const request_ptr& request);
    void uncount_plainly(const field_request& request);
    void fail(const request_ptr& request);
    tagged_packet packet_of(const field_request& request, std::uint16_t port) const;
    millis now() const;

    struct event
    {
        std::int64_t when_us;
        std::uint64_t order;
        std::shared_ptr<std::function<void()>> what;

        bool operator>(const event& other) const
        {
            return std::tie(this->when_us, this->order) > std::tie(other.when_us, other.order);
        }
    };

    field_options options;
    std::mt19937_64 random;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::uint64_t order = 0;
    std::int64_t now_us = 0;
    std::vector<field_daemon> daemons;
    std::vector<field_backend> backends;
    std::map<flow_tuple, request_ptr> by_flow;
    std::uint32_t next_caller = 1;
    field_report report;
    // Own counts of the simplest rule, by daemon and backend server.
    std::vector<std::vector<std::int64_t>> plain_counts;
    std::map<flow_tuple, std::pair<std::size_t, std::size_t>> plain_places;
};

millis field::now() const
{
    // A field begins late on the clock, so that spans before its start are no negative points.
    return millis{100'000 + this->now_us / us_per_ms};
}

void field::at(std::int64_t when_us, std::function<void()> what)
{
    this->events.push(
        event{when_us, this->order++, std::make_shared<std::function<void()>>(std::move(what))});
}

bool field::is_within(const field_span& span, std::size_t which) const
{
    const std::int64_t ms = this->now_us / us_per_ms;
    return ms >= span.begin && ms < span.end &&
           std::find(span.which.begin(), span.which.end(), which) != span.which.end();
}

bool field::is_cut(std::size_t left, std::size_t right) const
{
    return left != right && (this->is_within(this->options.cut_zones, left) ||
                             this->is_within(this->options.cut_zones, right));
}

bool field::is_lost()
{
    return std::uniform_real_distribution<>(0, 1)(this->random) < this->options.loss;
}

bool field::reaches(std::size_t daemon, std::size_t backend) const
{
    return !this->is_within(this->options.dark_backends, backend) &&
           !this->is_cut(this->daemons[daemon].zone, this->backends[backend].zone);
}

std::int64_t field::link_us(std::size_t daemon, std::size_t backend) const
{
    return this->daemons[daemon].zone == this->backends[backend].zone ? own_zone_link_us
                                                                      : other_zone_link_us;
}

void field::make_hosts()
{
    for (std::size_t i = 0; i < this->options.backends; ++i)
    {
        field_backend backend;
        backend.zone = i % this->options.zones;
        backend.name = "i-" + std::to_string(1000 + i);
        this->backends.push_back(std::move(backend));
    }
    route_list routes;
    routes.version = 1;
    route idempotent;
    idempotent.name = "previews";
    idempotent.address = idempotent_address;
    idempotent.kind = request_kind::idempotent;
    idempotent.timeout = millis{this->options.timeout_ms};
    idempotent.objective = millis{this->options.objective_ms};
    idempotent.priority = 2;
    idempotent.services = {{service_id_of("orders"), 1}};
    route once = idempotent;
    once.name = "orders";
    once.address = once_address;
    once.kind = request_kind::at_most_once;
    once.priority = 1;
    routes.routes = {idempotent, once};
    this->daemons.resize(this->options.daemons);
    for (std::size_t i = 0; i < this->options.daemons; ++i)
    {
        field_daemon& daemon = this->daemons[i];
        daemon.zone = i % this->options.zones;
        router_settings told;
        told.own_zone = "zone-" + std::to_string(daemon.zone);
        start_router(daemon.router, told, this->now());
        apply_route_list(daemon.router, routes);
        for (std::size_t k = 0; k < this->backends.size(); ++k)
        {
            apply_backend_registration(daemon.router, this->notice_of(k), this->now());
        }
        confirm_lists(daemon.router, this->now());
        this->at(static_cast<std::int64_t>(i) * 1'300, [this, i]() { this->tick(i); });
    }
    this->plain_counts.assign(this->options.daemons,
                              std::vector<std::int64_t>(this->options.backends, 0));
}

backend_registration field::notice_of(std::size_t backend) const
{
    backend_registration registration;
    registration.name = this->backends[backend].name;
    registration.service = "orders";
    registration.zone = "zone-" + std::to_string(this->backends[backend].zone);
    registration.packets = *parse_endpoint("10.0.0." + std::to_string(backend + 1) + ":8080");
    registration.slots = this->options.slots;
    registration.start_time_ms = 1;
    return registration;
}

void field::plan_lapse()
{
    if (this->options.lapse_at_ms == 0)
    {
        return;
    }
    const std::int64_t begin_us = this->options.lapse_at_ms * us_per_ms;
    const std::int64_t span_us = this->options.lapse_return_ms * us_per_ms;
    const auto count = static_cast<std::int64_t>(this->backends.size());
    for (std::size_t k = 0; k < this->backends.size(); ++k)
    {
        this->at(begin_us,
                 [this, k]()
                 {
                     for (field_daemon& daemon : this->daemons)
                     {
                         handle_backend_unlisted(daemon.router, this->backends[k].name,
                                                 this->now());
                     }
                 });
        this->at(begin_us + span_us * static_cast<std::int64_t>(k + 1) / count,
                 [this, k]()
                 {
                     for (field_daemon& daemon : this->daemons)
                     {
                         apply_backend_registration(daemon.router, this->notice_of(k), this->now());
                     }
                 });
    }
}

void field::plan_arrivals(bool once, double per_s)
{
    if (per_s <= 0)
    {
        return;
    }
    std::exponential_distribution<> gap(per_s / 1e6);
    double when = gap(this->random);
    while (when < static_cast<double>(this->options.length_ms * us_per_ms))
    {
        this->at(static_cast<std::int64_t>(when), [this, once]() { this->arrive(once); });
        when += gap(this->random);
    }
}

void field::arrive(bool once)
{
    auto request = std::make_shared<field_request>();
    request->once = once;
    request->zone = this->random() % this->options.zones;
    const bool is_shifted =
        request->zone == this->options.zones - 1 &&
        std::uniform_real_distribution<>(0, 1)(this->random) < this->options.shifted;
    request->zone = is_shifted ? 0 : request->zone;
    request->began_us = this->now_us;
    ++(once ? this->report.once : this->report.idempotent).asked;
    this->at(this->now_us + this->options.timeout_ms * us_per_ms,
             [this, request]() { this->fail(request); });
    this->begin_try(request);
}

tagged_packet field::packet_of(const field_request& request, std::uint16_t port) const
{
    tagged_packet packet;
    const std::uint32_t caller = 1 + static_cast<std::uint32_t>(request.began_us % 65'000);
    packet.tuple.source = *parse_address("100.64." + std::to_string(caller / 256) + "." +
                                         std::to_string(caller % 256));
    packet.tuple.source_port = port;
    const endpoint& to = request.once ? once_address : idempotent_address;
    packet.tuple.destination = to.address;
    packet.tuple.destination_port = to.port;
    packet.sequence = caller_sequence;
    return packet;
}

void field::begin_try(const request_ptr& request)
{
    if (request->is_over || request->tries >= most_tries)
    {
        return;
    }
    ++request->tries;
    this->uncount_plainly(*request);
    request->port = static_cast<std::uint16_t>(1'024 + this->next_caller++ % 60'000);
    request->is_open = false;
    request->request_arrived = false;
    const std::uint16_t port = request->port;
    this->send_opening(request, port, 0);
    this->at(this->now_us + first_copy_us,
             [this, request, port]() { this->send_opening(request, port, 1); });
    this->at(this->now_us + second_copy_us,
             [this, request, port]() { this->send_opening(request, port, 2); });
    this->at(this->now_us + give_up_us,
             [this, request, port]()
             {
                 if (request->port == port && !request->is_open)
                 {
                     this->begin_try(request);
                 }
             });
}

void field::send_opening(const request_ptr& request, std::uint16_t port, std::uint32_t copy)
{
    if (request->is_over || request->port != port || request->is_open)
    {
        return;
    }
    tagged_packet packet = this->packet_of(*request, port);
    packet.opens = true;
    if (copy == 0)
    {
        this->by_flow[packet.tuple] = request;
    }
    this->to_daemon(*request, packet);
}

// The caller's data, sent again with growing pauses until the backend server has it.
void field::send_data(const request_ptr& request, std::uint16_t port, std::int64_t pause_us)
{
    if (request->is_over || request->port != port || request->request_arrived)
    {
        return;
    }
    tagged_packet packet = this->packet_of(*request, port);
    packet.has_ack = true;
    packet.sequence = caller_sequence + 1;
    packet.acknowledgement = backend_sequence;
    packet.payload_bytes = 200;
    packet.tag = request->tag;
    this->to_daemon(*request, packet);
    this->at(this->now_us + pause_us, [this, request, port, pause_us]()
             { this->send_data(request, port, std::min<std::int64_t>(pause_us * 2, 1'600'000)); });
}

void field::to_daemon(const field_request& request, const tagged_packet& packet)
{
    // Routers keep a flow with one daemon of the caller's zone.
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
    {
        if (this->daemons[i].zone == request.zone)
        {
            candidates.push_back(i);
        }
    }
    const std::uint64_t spray = mix(packet.tuple.source_port, packet.tuple.destination_port);
    const std::size_t daemon = candidates[spray % candidates.size()];
    if (this->is_lost())
    {
        return;
    }
    this->at(this->now_us + caller_link_us,
             [this, daemon, packet]()
             {
                 if (this->is_within(this->options.frozen_daemons, daemon))
                 {
                     this->daemons[daemon].held.push_back(packet);
                     return;
                 }
                 this->handle(daemon, packet);
             });
}

std::optional<std::size_t> field::place_plainly(std::size_t daemon, const tagged_packet& packet)
{
    const bool sees_all = this->options.policy == field_policy::all_seeing;
    std::vector<std::int64_t>& own = this->plain_counts[daemon];
    std::optional<std::size_t> best;
    std::int64_t best_score = 0;
    for (std::size_t i = 0; i < this->backends.size(); ++i)
    {
        const field_backend& backend = this->backends[i];
        std::int64_t score = own[i] * 4;
        if (sees_all)
        {
            const bool is_slow = this->is_within(this->options.slow_backends, i);
            // Flows on their way count, too: all daemons place with one mind.
            std::int64_t ahead = 0;
            for (const std::vector<std::int64_t>& counts : this->plain_counts)
            {
                ahead += counts[i] * 4;
            }
            score = this->reaches(daemon, i) ? ahead * (is_slow ? 5 : 1) + (is_slow ? 40 : 0)
                                             : std::int64_t{1} << 40;
        }
        score = score * 2 + (backend.zone == this->daemons[daemon].zone ? 0 : 1);
        if (!best || score < best_score)
        {
            best = i;
            best_score = score;
        }
    }
    const auto earlier = this->plain_places.find(packet.tuple);
    if (earlier != this->plain_places.end())
    {
        --this->plain_counts[earlier->second.first][earlier->second.second];
    }
    ++own[*best];
    this->plain_places[packet.tuple] = {daemon, *best};
    return best;
}

void field::handle(std::size_t daemon, const tagged_packet& packet)
{
    std::optional<std::size_t> to;
    std::uint32_t tag = packet.tag;
    if (this->options.policy == field_policy::product)
    {
        const packet_decision decision =
            route_packet(this->daemons[daemon].router, packet, this->now());
        this->count_beliefs(this->daemons[daemon].router);
        if (decision.verdict == packet_verdict::reset)
        {
            this->reset(packet.tuple);
        }
        if (decision.verdict == packet_verdict::forward)
        {
            to = decision.backend;
            tag = decision.tag;
        }
    }
    else if (packet.opens)
    {
        to = this->place_plainly(daemon, packet);
        tag = static_cast<std::uint32_t>(*to) + 1;
    }
    else if (packet.tag != no_tag)
    {
        to = packet.tag - 1;
    }
    if (!to)
    {
        return;
    }
    if (packet.opens)
    {
        ++this->report.openings;
        this->report.openings_into_dark +=
            this->is_within(this->options.dark_backends, *to) ? 1 : 0;
        this->report.openings_abroad +=
            this->backends[*to].zone == this->daemons[daemon].zone ? 0 : 1;
    }
    if (this->reaches(daemon, *to) && !this->is_lost())
    {
        this->at(this->now_us + this->link_us(daemon, *to),
                 [this, to, packet, tag]() { this->to_backend(*to, packet, tag); });
    }
}

void field::count_beliefs(router_state& router)
{
    for (const state_change& change : router.state_changes)
    {
        const bool is_own = change.detail.starts_with("by=own");
        this->report.set_asides +=
            change.kind == state_change_kind::backend_demoted && is_own ? 1 : 0;
    }
    router.state_changes.clear();
}

void field::tick(std::size_t daemon)
{
    if (this->now_us > (this->options.length_ms + 5'000) * us_per_ms)
    {
        return;
    }
    this->at(this->now_us + router_tick_interval.count * us_per_ms,
             [this, daemon]() { this->tick(daemon); });
    if (this->is_within(this->options.frozen_daemons, daemon))
    {
        return;
    }
    field_daemon& host = this->daemons[daemon];
    while (!host.held.empty())
    {
        const tagged_packet packet = host.held.front();
        host.held.pop_front();
        this->handle(daemon, packet);
    }
    this->tell_of_others(host);
    router_actions orders;
    tick_router(host.router, this->now(), orders);
    confirm_lists(host.router, this->now());
    this->count_beliefs(host.router);
    for (const proactive_reset& order : orders.resets)
    {
        this->reset(order.flow);
    }
    for (const backend_index index : orders.checks)
    {
        this->check(daemon, index);
    }
    for (const std::string& name : orders.unresponsive)
    {
        this->tell_others(daemon, [name](router_state& router, millis now)
                          { handle_unresponsive_report(router, name, now); });
    }
    for (const failure_report& failure : orders.failures)
    {
        this->tell_others(daemon, [failure](router_state& router, millis now)
                          { handle_failure_report(router, failure, now); });
    }
}

// Word of a backend server reaches the daemons that are not cut off.
void field::tell_others(std::size_t daemon, const told& hear)
{
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
    {
        if (i != daemon && !this->is_cut(this->daemons[daemon].zone, this->daemons[i].zone))
        {
            this->at(this->now_us + other_zone_link_us,
                     [this, i, hear]() { hear(this->daemons[i].router, this->now()); });
        }
    }
}

// What greetings bring: how much the others place, and how many share the zone.
void field::tell_of_others(field_daemon& host) const
{
    double all = 0;
    std::size_t sharing = 0;
    for (const field_daemon& other : this->daemons)
    {
        all += other.router.openings_per_s;
        sharing += other.zone == host.zone ? 1 : 0;
    }
    const double own = host.router.openings_per_s;
    host.router.opening_share = own > 0 ? own / all : 1;
    host.router.zone_daemons = sharing;
}

void field::check(std::size_t daemon, backend_index index)
{
    ++this->report.checks;
    const bool answers = this->reaches(daemon, index);
    const std::int64_t after = answers ? 2 * this->link_us(daemon, index) : check_patience_us;
    const std::string name = this->backends[index].name;
    this->at(this->now_us + after,
             [this, daemon, name, answers]()
             {
                 handle_check_result(this->daemons[daemon].router, name,
                                     answers ? check_outcome::answered : check_outcome::timed_out,
                                     this->now());
             });
}

void field::to_backend(std::size_t backend, const tagged_packet& packet, std::uint32_t tag)
{
    if (this->is_within(this->options.dark_backends, backend))
    {
        return;
    }
    if (packet.opens)
    {
        this->answer_opening(backend, packet, tag);
        return;
    }
    const auto found = this->by_flow.find(packet.tuple);
    if (found == this->by_flow.end() || packet.closes)
    {
        return;
    }
    const request_ptr& request = found->second;
    if (request->backend != backend)
    {
        ++this->report.strayed;
        return;
    }
    if (!request->request_arrived)
    {
        this->take_request(backend, request);
    }
}

void field::answer_opening(std::size_t backend, const tagged_packet& packet, std::uint32_t tag)
{
    const auto found = this->by_flow.find(packet.tuple);
    if (found == this->by_flow.end() || this->is_lost())
    {
        return;
    }
    const request_ptr request = found->second;
    this->at(this->now_us + handshake_us + caller_link_us,
             [this, request, backend, tag, port = packet.tuple.source_port]()
             {
                 if (request->is_over || request->port != port || request->is_open)
                 {
                     return;
                 }
                 request->is_open = true;
                 request->backend = backend;
                 request->tag = tag;
                 this->send_data(request, port, retransmission_us);
             });
}

void field::take_request(std::size_t backend, const request_ptr& request)
{
    request->request_arrived = true;
    if (this->is_failing(backend))
    {
        ++this->report.errors;
        if (this->options.is_failing_mute)
        {
            return;
        }
        this->at(this->now_us + error_us + caller_link_us,
                 [this, request]() { this->answer_error(request); });
        return;
    }
    field_backend& host = this->backends[backend];
    if (host.working >= this->options.slots && host.waiting.size() >= this->options.queue)
    {
        // Shed before it has run: the caller may try again, whatever the kind.
        this->at(this->now_us + caller_link_us,
                 [this, request]()
                 {
                     if (!request->is_over)
                     {
                         this->close_flow(*request);
                         this->begin_try(request);
                     }
                 });
        return;
    }
    if (host.working < this->options.slots)
    {
        this->work(backend, request);
        return;
    }
    host.waiting.push_back([this, backend, request]() { this->work(backend, request); });
}

void field::work(std::size_t backend, const request_ptr& request)
{
    field_backend& host = this->backends[backend];
    ++host.working;
    ++request->runs;
    this->report.run_twice += request->once && request->runs == 2 ? 1 : 0;
    std::lognormal_distribution<> spread(-0.125, 0.5);
    const double factor =
        this->is_within(this->options.slow_backends, backend) ? this->options.slow_factor : 1;
    const double span_ms = this->options.mean_work_ms * spread(this->random) * factor;
    const auto span_us = static_cast<std::int64_t>(span_ms * us_per_ms);
    this->at(this->now_us + span_us,
             [this, backend, request]()
             {
                 field_backend& host = this->backends[backend];
                 --host.working;
                 if (!host.waiting.empty())
                 {
                     const std::function<void()> next = std::move(host.waiting.front());
                     host.waiting.pop_front();
                     next();
                 }
                 if (this->is_within(this->options.dark_backends, backend))
                 {
                     return;
                 }
                 this->at(this->now_us + caller_link_us,
                          [this, request]() { this->finish(request); });
             });
}

bool field::is_failing(std::size_t backend)
{
    return this->is_within(this->options.failing_backends, backend) &&
           std::uniform_real_distribution<>(0, 1)(this->random) < this->options.failing_part;
}

// An error does not say whether the request ran: only an idempotent one is asked again.
void field::answer_error(const request_ptr& request)
{
    if (request->is_over)
    {
        return;
    }
    request->answer_bytes = error_bytes;
    this->close_flow(*request);
    if (request->once)
    {
        this->fail(request);
        return;
    }
    this->begin_try(request);
}

void field::reset(const flow_tuple& flow)
{
    ++this->report.resets;
    const auto found = this->by_flow.find(flow);
    if (found == this->by_flow.end())
    {
        return;
    }
    const request_ptr request = found->second;
    this->at(this->now_us + caller_link_us,
             [this, request, port = flow.source_port]()
             {
                 if (request->is_over || request->port != port)
                 {
                     return;
                 }
                 const bool was_open = request->is_open;
                 if (was_open && !this->is_within(this->options.dark_backends, request->backend) &&
                     !this->is_cut(request->zone, this->backends[request->backend].zone))
                 {
                     ++this->report.resets_of_living;
                 }
                 if (!was_open || !request->once)
                 {
                     this->begin_try(request);
                 }
             });
}

void field::finish(const request_ptr& request)
{
    if (request->is_over)
    {
        return;
    }
    request->is_over = true;
    std::lognormal_distribution<> spread(std::log(answer_bytes), answer_spread);
    request->answer_bytes = answer_head_bytes + static_cast<std::uint32_t>(spread(this->random));
    ++this->report.worked_off;
    field_outcome& seen = request->once ? this->report.once : this->report.idempotent;
    const bool on_time = this->now_us - request->began_us <= this->options.objective_ms * us_per_ms;
    ++(on_time ? seen.on_time : seen.late);
    this->close_flow(*request);
}

void field::close_flow(const field_request& request)
{
    tagged_packet packet = this->packet_of(request, request.port);
    packet.has_ack = true;
    packet.closes = true;
    packet.sequence = caller_sequence + 201;
    packet.acknowledgement = backend_sequence + request.answer_bytes;
    packet.tag = request.tag;
    this->uncount_plainly(request);
    this->to_daemon(request, packet);
}

void field::uncount_plainly(const field_request& request)
{
    const auto plain = this->plain_places.find(this->packet_of(request, request.port).tuple);
    if (plain != this->plain_places.end())
    {
        --this->plain_counts[plain->second.first][plain->second.second];
        this->plain_places.erase(plain);
    }
}

void field::fail(const request_ptr& request)
{
    if (request->is_over)
    {
        return;
    }
    request->is_over = true;
    this->uncount_plainly(*request);
    const bool is_cut_off = request->is_open && !request->request_arrived &&
                            this->is_cut(request->zone, this->backends[request->backend].zone);
    this->report.once_lost_in_cut += request->once && is_cut_off ? 1 : 0;
    ++(request->once ? this->report.once : this->report.idempotent).failed;
}

field_report field::run()
{
    this->make_hosts();
    this->plan_lapse();
    this->plan_arrivals(false, this->options.idempotent_per_s);
    this->plan_arrivals(true, this->options.once_per_s);
    while (!this->events.empty())
    {
        const event next = this->events.top();
        this->events.pop();
        this->now_us = next.when_us;
        (*next.what)();
    }
    const double slots = static_cast<double>(this->options.backends) * this->options.slots;
    this->report.capacity =
        slots * static_cast<double>(this->options.length_ms) / this->options.mean_work_ms;
    return this->report;
}

} // namespace

field_report run_field(const field_options& options)
{
    return field(options).run();
}

double on_time_share(const field_report& report)
{
    const double asked = static_cast<double>(report.idempotent.asked + report.once.asked);
    return static_cast<double>(report.idempotent.on_time + report.once.on_time) / asked;
}

double failed_share(const field_report& report)
{
    const double asked = static_cast<double>(report.idempotent.asked + report.once.asked);
    return static_cast<double>(report.idempotent.failed + report.once.failed) / asked;
}

} // namespace briarbarrow

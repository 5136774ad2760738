#include "testing/tagged_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <queue>
#include <random>

#include "spread/peer_table.hpp"
#include "tagged/tag_router.hpp"

namespace briarbarrow
{

namespace
{

// Network delays are one way, as the users' pages give them.
constexpr std::int64_t us_per_ms = 1'000;
constexpr std::int64_t caller_link_delay_us = 3'000;
constexpr std::int64_t own_zone_delay_us = 100;
constexpr std::int64_t other_zone_delay_us = 500;
constexpr std::int64_t handshake_delay_us = 300;
constexpr std::int64_t health_check_timeout_us = 80'000;
constexpr std::int64_t retransmission_us = 200'000;
constexpr std::int64_t first_retransmission_us = 200'000;
constexpr std::int64_t second_retransmission_us = 600'000;
constexpr std::int64_t connect_timeout_us = 1'400'000;
constexpr int max_attempts = 3;
// The network's routers poll the readiness of each daemon at this interval, and stop using one that
// has missed two polls.
constexpr std::int64_t readiness_poll_ms = 500;
// Size of the answers at the users' sites: a header, and a lognormal body with a median of a
// thousand bytes and a sigma of 0.6.
constexpr double answer_bytes = 1'000;
constexpr double answer_sigma = 0.6;
constexpr std::uint32_t answer_header_bytes = 150;
constexpr std::uint32_t error_bytes = 160;
constexpr std::int64_t error_delay_us = 1'000;
constexpr std::uint32_t backend_sequence = 500;
constexpr std::uint32_t caller_sequence = 1'000;

const endpoint idempotent_address = *parse_endpoint("198.18.0.1:8443");
const endpoint at_most_once_address = *parse_endpoint("198.18.0.1:8080");

struct simulated_backend
{
    std::size_t zone = 0;
    std::string name;
    std::uint32_t busy_slots = 0;
    std::deque<std::function<void()>> queued_requests;
    std::vector<std::uint64_t> opened;
};

// A packet in a daemon's socket.
struct queued_packet
{
    tagged_packet packet;
    millis arrived;
};

struct simulated_daemon
{
    std::size_t zone = 0;
    router_state router;
    millis next_gossip;
    // Packets that arrived while the daemon was paused.
    std::deque<queued_packet> queued_packets;
};

// One request of a caller, over all its attempts.
struct simulated_request
{
    bool at_most_once = false;
    std::size_t zone = 0;
    std::int64_t started_at_us = 0;
    int attempts = 0;
    bool is_over = false;
    bool is_in_burst = false;
    std::uint64_t executions = 0;
    // The current attempt.
    std::uint16_t port = 0;
    bool is_open = false;
    std::uint32_t tag = 0;
    std::size_t backend = 0;
    bool request_delivered = false;
    std::uint32_t answer_bytes = 0;
};

class simulation
{
public:
    explicit simulation(const simulation_options& options) : options(options), random(options.seed)
    {
    }

    simulation_report run();

private:
    using request_ptr = std::shared_ptr<simulated_request>;

    void schedule_event(std::int64_t when_us, std::function<void()> action);
    bool is_in_window(const fault_window& window, std::size_t index) const;
    bool is_partitioned(std::size_t left, std::size_t right) const;
    bool is_lost();
    bool has_power(std::size_t daemon) const;
    bool is_in_rotation(std::size_t daemon) const;
    std::vector<std::size_t> daemons_for(std::size_t zone) const;
    void start_daemon(std::size_t daemon);
    void schedule_power_loss();
    void forget_baseline_flows(std::size_t daemon);
    void count_refusal();
    bool can_reach(std::size_t daemon, std::size_t backend) const;
    std::int64_t link_delay_us(std::size_t daemon, std::size_t backend) const;
    void make_topology();
    backend_registration registration_of(std::size_t backend) const;
    void schedule_expiry();
    void schedule_arrivals(bool at_most_once, double per_s);
    void start_request(bool at_most_once);
    void start_attempt(const request_ptr& request);
    void send_opening(const request_ptr& request, std::uint16_t port, std::uint32_t transmission);
    void send_data(const request_ptr& request, std::uint16_t port, std::int64_t delay_us);
    void close_flow(const simulated_request& request);
    void send_to_daemon(const simulated_request& request, const tagged_packet& packet);
    void handle_packet(std::size_t daemon, const tagged_packet& packet);
    void tick(std::size_t daemon);
    void count_demotions(router_state& router);
    void update_peer_load(simulated_daemon& host) const;
    void gossip_load(std::size_t daemon);
    void run_health_check(std::size_t daemon, backend_index index);
    using peer_update = std::function<void(router_state&, millis)>;
    void send_to_peers(std::size_t daemon, const peer_update& update);
    std::optional<std::size_t> place_by_baseline(std::size_t daemon, const tagged_packet& packet);
    void deliver_to_backend(std::size_t backend, const tagged_packet& packet, std::uint32_t tag);
    void answer_opening(std::size_t backend, const tagged_packet& packet, std::uint32_t tag);
    void handle_request(std::size_t backend, const request_ptr& request);
    void execute(std::size_t backend, const request_ptr& request);
    void reset_flow(const flow_tuple& flow);
    bool is_failing(std::size_t backend);
    void handle_error_answer(const request_ptr& request);
    void complete(const request_ptr& request);
    void remove_baseline_count(const simulated_request& request);
    void fail(const request_ptr& request);
    tagged_packet packet_of(const simulated_request& request, std::uint16_t port) const;
    millis now() const;

    struct event
    {
        std::int64_t when_us;
        std::uint64_t order;
        std::shared_ptr<std::function<void()>> action;

        bool operator>(const event& other) const
        {
            return std::tie(this->when_us, this->order) > std::tie(other.when_us, other.order);
        }
    };

    simulation_options options;
    std::mt19937_64 random;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::uint64_t order = 0;
    std::int64_t now_us = 0;
    std::vector<simulated_daemon> daemons;
    std::vector<simulated_backend> backends;
    route_list routes;
    std::map<flow_tuple, request_ptr> by_flow;
    std::uint32_t next_caller = 1;
    simulation_report report;
    // Flows placed by the baseline and the oracle, by daemon and backend server.
    std::vector<std::vector<std::int64_t>> baseline_flow_counts;
    std::map<flow_tuple, std::pair<std::size_t, std::size_t>> baseline_placements;
};

millis simulation::now() const
{
    // The clock starts at 100 s, so that times before the start are not negative.
    return millis{100'000 + this->now_us / us_per_ms};
}

void simulation::schedule_event(std::int64_t when_us, std::function<void()> action)
{
    this->events.push(
        event{when_us, this->order++, std::make_shared<std::function<void()>>(std::move(action))});
}

bool simulation::is_in_window(const fault_window& window, std::size_t index) const
{
    const std::int64_t ms = this->now_us / us_per_ms;
    return ms >= window.begin && ms < window.end &&
           std::find(window.indices.begin(), window.indices.end(), index) != window.indices.end();
}

bool simulation::is_partitioned(std::size_t left, std::size_t right) const
{
    return left != right && (this->is_in_window(this->options.partitioned_zones, left) ||
                             this->is_in_window(this->options.partitioned_zones, right));
}

bool simulation::is_lost()
{
    return std::uniform_real_distribution<>(0, 1)(this->random) < this->options.loss_rate;
}

bool simulation::can_reach(std::size_t daemon, std::size_t backend) const
{
    return !this->is_in_window(this->options.unresponsive_backends, backend) &&
           !this->is_partitioned(this->daemons[daemon].zone, this->backends[backend].zone);
}

std::int64_t simulation::link_delay_us(std::size_t daemon, std::size_t backend) const
{
    return this->daemons[daemon].zone == this->backends[backend].zone ? own_zone_delay_us
                                                                      : other_zone_delay_us;
}

void simulation::make_topology()
{
    for (std::size_t i = 0; i < this->options.backends; ++i)
    {
        simulated_backend backend;
        backend.zone = i % this->options.zones;
        backend.name = "i-" + std::to_string(1000 + i);
        this->backends.push_back(std::move(backend));
    }
    this->routes.version = 1;
    route idempotent;
    idempotent.name = "previews";
    idempotent.address = idempotent_address;
    idempotent.kind = request_kind::idempotent;
    idempotent.timeout = millis{this->options.timeout_ms};
    idempotent.objective = millis{this->options.objective_ms};
    idempotent.priority = 2;
    idempotent.services = {{service_id_of("orders"), 1}};
    route at_most_once = idempotent;
    at_most_once.name = "orders";
    at_most_once.address = at_most_once_address;
    at_most_once.kind = request_kind::at_most_once;
    at_most_once.priority = 1;
    this->routes.routes = {idempotent, at_most_once};
    this->report.executions.resize(this->options.backends);
    this->daemons.resize(this->options.daemons);
    for (std::size_t i = 0; i < this->options.daemons; ++i)
    {
        this->daemons[i].zone = i % this->options.zones;
        this->start_daemon(i);
        this->schedule_event(static_cast<std::int64_t>(i) * 1'300, [this, i]() { this->tick(i); });
    }
    this->baseline_flow_counts.assign(this->options.daemons,
                                      std::vector<std::int64_t>(this->options.backends, 0));
}

// Starts a daemon's router with the current lists and an empty flow memory.
void simulation::start_daemon(std::size_t daemon)
{
    simulated_daemon& host = this->daemons[daemon];
    host.router = router_state{};
    router_settings settings;
    settings.own_zone = "zone-" + std::to_string(host.zone);
    settings.learns_pace = this->options.learns_pace;
    settings.estimates_fleet_load = this->options.estimates_fleet_load;
    if (this->options.policy == placement_policy::admit_all)
    {
        constexpr double unlimited = 1e9;
        settings.admission.urgent_timeout_share = unlimited;
        settings.admission.ordinary_timeout_share = unlimited;
        settings.admission.urgent_objective_share = unlimited;
        settings.admission.ordinary_objective_share = unlimited;
    }
    start_router(host.router, settings, this->now());
    apply_route_list(host.router, this->routes);
    for (std::size_t k = 0; k < this->backends.size(); ++k)
    {
        apply_backend_registration(host.router, this->registration_of(k), this->now());
    }
    confirm_lists(host.router, this->now());
}

bool simulation::has_power(std::size_t daemon) const
{
    const std::int64_t ms = this->now_us / us_per_ms;
    const power_loss& power = this->options.power;
    return power.begin == 0 || ms < power.begin || ms >= power.ready_at[daemon];
}

// True while the network's routers send packets to a daemon.
bool simulation::is_in_rotation(std::size_t daemon) const
{
    const std::int64_t ms = this->now_us / us_per_ms;
    const power_loss& power = this->options.power;
    if (power.begin == 0 || ms < power.begin + 2 * readiness_poll_ms)
    {
        return true;
    }
    const std::int64_t next_poll =
        (power.ready_at[daemon] + readiness_poll_ms - 1) / readiness_poll_ms * readiness_poll_ms;
    return ms >= next_poll;
}

void simulation::schedule_power_loss()
{
    if (this->options.power.begin == 0)
    {
        return;
    }
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
    {
        this->schedule_event(this->options.power.ready_at[i] * us_per_ms,
                             [this, i]()
                             {
                                 this->start_daemon(i);
                                 this->forget_baseline_flows(i);
                             });
    }
}

// Empties the flow memory of a daemon under a baseline policy.
void simulation::forget_baseline_flows(std::size_t daemon)
{
    std::fill(this->baseline_flow_counts[daemon].begin(), this->baseline_flow_counts[daemon].end(),
              0);
    std::erase_if(this->baseline_placements,
                  [daemon](const auto& entry) { return entry.second.first == daemon; });
}

backend_registration simulation::registration_of(std::size_t backend) const
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

void simulation::schedule_expiry()
{
    if (this->options.expiry_at_ms == 0)
    {
        return;
    }
    const std::int64_t begin_us = this->options.expiry_at_ms * us_per_ms;
    const std::int64_t recovery_us = this->options.expiry_recovery_ms * us_per_ms;
    const auto count = static_cast<std::int64_t>(this->backends.size());
    for (std::size_t k = 0; k < this->backends.size(); ++k)
    {
        this->schedule_event(begin_us,
                             [this, k]()
                             {
                                 for (simulated_daemon& daemon : this->daemons)
                                 {
                                     handle_backend_unlisted(daemon.router, this->backends[k].name,
                                                             this->now());
                                 }
                             });
        this->schedule_event(begin_us + recovery_us * static_cast<std::int64_t>(k + 1) / count,
                             [this, k]()
                             {
                                 for (simulated_daemon& daemon : this->daemons)
                                 {
                                     apply_backend_registration(
                                         daemon.router, this->registration_of(k), this->now());
                                 }
                             });
    }
}

void simulation::schedule_arrivals(bool at_most_once, double per_s)
{
    if (per_s <= 0)
    {
        return;
    }
    const fault_window& burst = this->options.burst;
    const double factor = std::max(1.0, this->options.burst_factor);
    std::exponential_distribution<> interval(per_s * factor / 1e6);
    double when = interval(this->random);
    while (when < static_cast<double>(this->options.duration_ms * us_per_ms))
    {
        const auto when_us = static_cast<std::int64_t>(when);
        const bool is_in_burst =
            when_us >= burst.begin * us_per_ms && when_us < burst.end * us_per_ms;
        // Outside the burst only a part of the arrivals takes place.
        if (is_in_burst || factor == 1 ||
            std::uniform_real_distribution<>(0, factor)(this->random) < 1)
        {
            this->schedule_event(when_us,
                                 [this, at_most_once]() { this->start_request(at_most_once); });
        }
        when += interval(this->random);
    }
}

void simulation::start_request(bool at_most_once)
{
    auto request = std::make_shared<simulated_request>();
    request->at_most_once = at_most_once;
    request->zone = this->random() % this->options.zones;
    const bool is_shifted =
        request->zone == this->options.zones - 1 &&
        std::uniform_real_distribution<>(0, 1)(this->random) < this->options.shifted_share;
    request->zone = is_shifted ? 0 : request->zone;
    request->started_at_us = this->now_us;
    request->is_in_burst = this->now_us >= this->options.burst.begin * us_per_ms &&
                           this->now_us < this->options.burst.end * us_per_ms;
    this->report.burst_total += request->is_in_burst ? 1 : 0;
    this->report.burst_total_by_zone[request->zone] += request->is_in_burst ? 1 : 0;
    ++(at_most_once ? this->report.at_most_once : this->report.idempotent).total;
    this->schedule_event(this->now_us + this->options.timeout_ms * us_per_ms,
                         [this, request]() { this->fail(request); });
    this->start_attempt(request);
}

tagged_packet simulation::packet_of(const simulated_request& request, std::uint16_t port) const
{
    tagged_packet packet;
    const std::uint32_t caller = 1 + static_cast<std::uint32_t>(request.started_at_us % 65'000);
    packet.tuple.source = *parse_address("100.64." + std::to_string(caller / 256) + "." +
                                         std::to_string(caller % 256));
    packet.tuple.source_port = port;
    const endpoint& to = request.at_most_once ? at_most_once_address : idempotent_address;
    packet.tuple.destination = to.address;
    packet.tuple.destination_port = to.port;
    packet.sequence = caller_sequence;
    return packet;
}

void simulation::start_attempt(const request_ptr& request)
{
    if (!request->is_over && request->attempts >= max_attempts)
    {
        this->fail(request);
    }
    if (request->is_over)
    {
        return;
    }
    ++request->attempts;
    this->remove_baseline_count(*request);
    request->port = static_cast<std::uint16_t>(1'024 + this->next_caller++ % 60'000);
    request->is_open = false;
    request->request_delivered = false;
    const std::uint16_t port = request->port;
    this->send_opening(request, port, 0);
    this->schedule_event(this->now_us + first_retransmission_us,
                         [this, request, port]() { this->send_opening(request, port, 1); });
    this->schedule_event(this->now_us + second_retransmission_us,
                         [this, request, port]() { this->send_opening(request, port, 2); });
    this->schedule_event(this->now_us + connect_timeout_us,
                         [this, request, port]()
                         {
                             if (request->port == port && !request->is_open)
                             {
                                 this->start_attempt(request);
                             }
                         });
}

void simulation::send_opening(const request_ptr& request, std::uint16_t port,
                              std::uint32_t transmission)
{
    if (request->is_over || request->port != port || request->is_open)
    {
        return;
    }
    tagged_packet packet = this->packet_of(*request, port);
    packet.opens = true;
    packet.retransmissions = transmission;
    if (transmission == 0)
    {
        this->by_flow[packet.tuple] = request;
    }
    this->send_to_daemon(*request, packet);
}

// Sends the caller's data, and again with a doubling delay until the backend server has it.
void simulation::send_data(const request_ptr& request, std::uint16_t port, std::int64_t delay_us)
{
    if (request->is_over || request->port != port || request->request_delivered)
    {
        return;
    }
    tagged_packet packet = this->packet_of(*request, port);
    packet.has_ack = true;
    packet.sequence = caller_sequence + 1;
    packet.acknowledgement = backend_sequence;
    packet.payload_bytes = 200;
    packet.tag = request->tag;
    this->send_to_daemon(*request, packet);
    this->schedule_event(
        this->now_us + delay_us, [this, request, port, delay_us]()
        { this->send_data(request, port, std::min<std::int64_t>(delay_us * 2, 1'600'000)); });
}

void simulation::send_to_daemon(const simulated_request& request, const tagged_packet& packet)
{
    const std::uint64_t flow_hash = mix(packet.tuple.source_port, packet.tuple.destination_port);
    const std::vector<std::size_t> candidates = this->daemons_for(request.zone);
    const std::size_t daemon =
        *std::max_element(candidates.begin(), candidates.end(),
                          [flow_hash](std::size_t left, std::size_t right)
                          { return mix(flow_hash, left) < mix(flow_hash, right); });
    if (this->is_lost())
    {
        return;
    }
    this->schedule_event(
        this->now_us + caller_link_delay_us,
        [this, daemon, packet]()
        {
            if (!this->has_power(daemon))
            {
                return;
            }
            if (this->is_in_window(this->options.paused_daemons, daemon))
            {
                this->daemons[daemon].queued_packets.push_back({packet, this->now()});
                return;
            }
            this->handle_packet(daemon, packet);
        });
}

// The daemons to which the network's routers send a flow of a zone, by hash: those of the zone that
// are in rotation, else those of the other zones, else all of the zone.
std::vector<std::size_t> simulation::daemons_for(std::size_t zone) const
{
    std::vector<std::size_t> in_zone;
    std::vector<std::size_t> ready_in_zone;
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
    {
        const bool is_ready = this->is_in_rotation(i);
        const bool is_in_zone = this->daemons[i].zone == zone;
        if (is_in_zone)
        {
            in_zone.push_back(i);
        }
        if (is_ready)
        {
            ready.push_back(i);
        }
        if (is_ready && is_in_zone)
        {
            ready_in_zone.push_back(i);
        }
    }
    const std::vector<std::size_t>& elsewhere = ready.empty() ? in_zone : ready;
    return ready_in_zone.empty() ? elsewhere : ready_in_zone;
}

// Counts a refused flow, and whether any backend server could have answered it in time.
void simulation::count_refusal()
{
    ++this->report.refusals;
    double least_wait_ms = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < this->backends.size(); ++i)
    {
        if (this->is_in_window(this->options.unresponsive_backends, i))
        {
            continue;
        }
        const simulated_backend& backend = this->backends[i];
        const bool has_free_slot = backend.busy_slots < this->options.slots;
        const double wait_ms = static_cast<double>(backend.queued_requests.size() + 1) *
                               this->options.mean_service_ms / this->options.slots;
        least_wait_ms = std::min(least_wait_ms, has_free_slot ? 0 : wait_ms);
    }
    this->report.refusals_with_free_slot += least_wait_ms == 0 ? 1 : 0;
    this->report.needless_refusals += least_wait_ms + this->options.mean_service_ms <=
                                              static_cast<double>(this->options.objective_ms)
                                          ? 1
                                          : 0;
}

std::optional<std::size_t> simulation::place_by_baseline(std::size_t daemon,
                                                         const tagged_packet& packet)
{
    const bool is_oracle = this->options.policy == placement_policy::oracle;
    std::vector<std::int64_t>& own = this->baseline_flow_counts[daemon];
    std::optional<std::size_t> best;
    std::int64_t best_score = 0;
    for (std::size_t i = 0; i < this->backends.size(); ++i)
    {
        const simulated_backend& backend = this->backends[i];
        std::int64_t score = own[i] * 4;
        if (is_oracle)
        {
            const bool is_slow = this->is_in_window(this->options.slow_backends, i);
            // Counts the flows of all daemons, including those that have not arrived yet.
            std::int64_t total_flows = 0;
            for (const std::vector<std::int64_t>& counts : this->baseline_flow_counts)
            {
                total_flows += counts[i] * 4;
            }
            score = this->can_reach(daemon, i)
                        ? total_flows * (is_slow ? 5 : 1) + (is_slow ? 40 : 0)
                        : std::int64_t{1} << 40;
        }
        score = score * 2 + (backend.zone == this->daemons[daemon].zone ? 0 : 1);
        if (!best || score < best_score)
        {
            best = i;
            best_score = score;
        }
    }
    const auto previous = this->baseline_placements.find(packet.tuple);
    if (previous != this->baseline_placements.end())
    {
        --this->baseline_flow_counts[previous->second.first][previous->second.second];
    }
    ++own[*best];
    this->baseline_placements[packet.tuple] = {daemon, *best};
    return best;
}

void simulation::handle_packet(std::size_t daemon, const tagged_packet& packet)
{
    std::optional<std::size_t> to;
    std::uint32_t tag = packet.tag;
    const bool is_routed = this->options.policy == placement_policy::product ||
                           this->options.policy == placement_policy::admit_all;
    if (is_routed)
    {
        const packet_decision decision =
            route_packet(this->daemons[daemon].router, packet, this->now());
        this->count_demotions(this->daemons[daemon].router);
        if (decision.reason == verdict_reason::wait_too_long ||
            decision.reason == verdict_reason::standing_queue)
        {
            this->count_refusal();
        }
        if (decision.verdict == packet_verdict::reset)
        {
            this->reset_flow(packet.tuple);
        }
        if (decision.verdict == packet_verdict::forward)
        {
            to = decision.backend;
            tag = decision.tag;
        }
    }
    else if (packet.opens)
    {
        to = this->place_by_baseline(daemon, packet);
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
        this->report.openings_to_unresponsive +=
            this->is_in_window(this->options.unresponsive_backends, *to) ? 1 : 0;
        this->report.cross_zone_openings +=
            this->backends[*to].zone == this->daemons[daemon].zone ? 0 : 1;
    }
    if (this->can_reach(daemon, *to) && !this->is_lost())
    {
        this->schedule_event(this->now_us + this->link_delay_us(daemon, *to),
                             [this, to, packet, tag]()
                             { this->deliver_to_backend(*to, packet, tag); });
    }
}

void simulation::count_demotions(router_state& router)
{
    for (const state_change& change : router.state_changes)
    {
        const bool is_own = change.detail.starts_with("by=own");
        this->report.demotions +=
            change.kind == state_change_kind::backend_demoted && is_own ? 1 : 0;
    }
    router.state_changes.clear();
}

void simulation::tick(std::size_t daemon)
{
    if (this->now_us > (this->options.duration_ms + 5'000) * us_per_ms)
    {
        return;
    }
    this->schedule_event(this->now_us + router_tick_interval.count * us_per_ms,
                         [this, daemon]() { this->tick(daemon); });
    if (this->is_in_window(this->options.paused_daemons, daemon) || !this->has_power(daemon))
    {
        return;
    }
    simulated_daemon& host = this->daemons[daemon];
    while (!host.queued_packets.empty())
    {
        tagged_packet packet = host.queued_packets.front().packet;
        packet.waited = this->now() - host.queued_packets.front().arrived;
        host.queued_packets.pop_front();
        this->handle_packet(daemon, packet);
    }
    this->update_peer_load(host);
    this->gossip_load(daemon);
    router_actions orders;
    tick_router(host.router, this->now(), orders);
    confirm_lists(host.router, this->now());
    this->count_demotions(host.router);
    for (const proactive_reset& order : orders.resets)
    {
        this->reset_flow(order.flow);
    }
    for (const backend_index index : orders.checks)
    {
        this->run_health_check(daemon, index);
    }
    for (const std::string& name : orders.unresponsive)
    {
        this->send_to_peers(daemon, [name](router_state& router, millis now)
                            { handle_unresponsive_report(router, name, now); });
    }
    for (const failure_report& failure : orders.failures)
    {
        this->send_to_peers(daemon, [failure](router_state& router, millis now)
                            { handle_failure_report(router, failure, now); });
    }
}

// Sends an update about a backend server to the daemons that are not partitioned from the sender.
void simulation::send_to_peers(std::size_t daemon, const peer_update& update)
{
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
    {
        if (i != daemon && this->has_power(i) &&
            !this->is_partitioned(this->daemons[daemon].zone, this->daemons[i].zone))
        {
            this->schedule_event(this->now_us + other_zone_delay_us, [this, i, update]()
                                 { update(this->daemons[i].router, this->now()); });
        }
    }
}

// Sets what gossip provides: the daemon's share of all new flows, and the number of daemons in its
// zone.
void simulation::update_peer_load(simulated_daemon& host) const
{
    double all = 0;
    std::size_t sharing = 0;
    for (const simulated_daemon& other : this->daemons)
    {
        all += other.router.openings_per_s;
        sharing += other.zone == host.zone ? 1 : 0;
    }
    const double own = host.router.openings_per_s;
    host.router.opening_share = own > 0 ? own / all : 1;
    host.router.fleet_share = host.router.opening_share;
    host.router.zone_daemons = sharing;
    host.router.feeders.zone_daemons.clear();
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
    {
        if (&this->daemons[i] == &host)
        {
            host.router.feeders.self = mix(i, 0);
        }
        if (this->daemons[i].zone == host.zone)
        {
            host.router.feeders.zone_daemons.push_back(mix(i, 0));
        }
    }
}

// Sends the daemon's load report to as many others as gossip does, when it is due.
void simulation::gossip_load(std::size_t daemon)
{
    simulated_daemon& host = this->daemons[daemon];
    if (this->now() < host.next_gossip)
    {
        return;
    }
    host.next_gossip = this->now() + gossip_interval;
    const load_report report = make_load_report(host.router, this->now());
    for (std::size_t i = 0; i < gossip_fanout; ++i)
    {
        const auto to = static_cast<std::size_t>(this->random() % this->daemons.size());
        if (to != daemon && this->has_power(to) &&
            !this->is_partitioned(host.zone, this->daemons[to].zone))
        {
            this->schedule_event(
                this->now_us + other_zone_delay_us, [this, to, report]()
                { handle_load_report(this->daemons[to].router, report, this->now()); });
        }
    }
}

void simulation::run_health_check(std::size_t daemon, backend_index index)
{
    ++this->report.health_checks;
    const bool responds = this->can_reach(daemon, index);
    const std::int64_t after =
        responds ? 2 * this->link_delay_us(daemon, index) : health_check_timeout_us;
    const std::string name = this->backends[index].name;
    this->schedule_event(this->now_us + after,
                         [this, daemon, name, responds]()
                         {
                             handle_check_result(this->daemons[daemon].router, name,
                                                 responds ? check_outcome::answered
                                                          : check_outcome::timed_out,
                                                 this->now());
                         });
}

void simulation::deliver_to_backend(std::size_t backend, const tagged_packet& packet,
                                    std::uint32_t tag)
{
    if (this->is_in_window(this->options.unresponsive_backends, backend))
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
        ++this->report.misrouted_packets;
        return;
    }
    if (!request->request_delivered)
    {
        this->handle_request(backend, request);
    }
}

void simulation::answer_opening(std::size_t backend, const tagged_packet& packet, std::uint32_t tag)
{
    const auto found = this->by_flow.find(packet.tuple);
    if (found == this->by_flow.end() || this->is_lost())
    {
        return;
    }
    const request_ptr request = found->second;
    this->schedule_event(this->now_us + handshake_delay_us + caller_link_delay_us,
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

void simulation::handle_request(std::size_t backend, const request_ptr& request)
{
    request->request_delivered = true;
    if (this->is_failing(backend))
    {
        ++this->report.errors;
        if (this->options.fails_without_answer)
        {
            return;
        }
        this->schedule_event(this->now_us + error_delay_us + caller_link_delay_us,
                             [this, request]() { this->handle_error_answer(request); });
        return;
    }
    simulated_backend& host = this->backends[backend];
    if (host.busy_slots >= this->options.slots &&
        host.queued_requests.size() >= this->options.queue_capacity)
    {
        // Rejected before it ran, so the caller may retry requests of either kind.
        ++this->report.sheds;
        this->schedule_event(this->now_us + caller_link_delay_us,
                             [this, request]()
                             {
                                 if (!request->is_over)
                                 {
                                     request->answer_bytes = this->options.shed_answer_bytes;
                                     this->close_flow(*request);
                                     this->start_attempt(request);
                                 }
                             });
        return;
    }
    if (host.busy_slots < this->options.slots)
    {
        this->execute(backend, request);
        return;
    }
    host.queued_requests.push_back([this, backend, request]() { this->execute(backend, request); });
}

void simulation::execute(std::size_t backend, const request_ptr& request)
{
    simulated_backend& host = this->backends[backend];
    ++host.busy_slots;
    const std::int64_t now_ms = this->now_us / us_per_ms;
    this->report.executions[backend] +=
        now_ms >= this->options.counted.begin && now_ms < this->options.counted.end ? 1 : 0;
    ++request->executions;
    this->report.duplicate_executions += request->at_most_once && request->executions == 2 ? 1 : 0;
    std::lognormal_distribution<> distribution(-0.125, 0.5);
    const double factor =
        this->is_in_window(this->options.slow_backends, backend) ? this->options.slow_factor : 1;
    const double service_ms = this->options.mean_service_ms * distribution(this->random) * factor;
    const auto service_us = static_cast<std::int64_t>(service_ms * us_per_ms);
    this->schedule_event(this->now_us + service_us,
                         [this, backend, request]()
                         {
                             simulated_backend& host = this->backends[backend];
                             --host.busy_slots;
                             if (!host.queued_requests.empty())
                             {
                                 const std::function<void()> next =
                                     std::move(host.queued_requests.front());
                                 host.queued_requests.pop_front();
                                 next();
                             }
                             if (this->is_in_window(this->options.unresponsive_backends, backend))
                             {
                                 return;
                             }
                             this->schedule_event(this->now_us + caller_link_delay_us,
                                                  [this, request]() { this->complete(request); });
                         });
}

bool simulation::is_failing(std::size_t backend)
{
    return this->is_in_window(this->options.failing_backends, backend) &&
           std::uniform_real_distribution<>(0, 1)(this->random) < this->options.failure_rate;
}

// An error does not show whether the request ran, so only an idempotent request is retried.
void simulation::handle_error_answer(const request_ptr& request)
{
    if (request->is_over)
    {
        return;
    }
    request->answer_bytes = error_bytes;
    this->close_flow(*request);
    if (request->at_most_once)
    {
        this->fail(request);
        return;
    }
    this->start_attempt(request);
}

void simulation::reset_flow(const flow_tuple& flow)
{
    ++this->report.resets;
    const auto found = this->by_flow.find(flow);
    if (found == this->by_flow.end())
    {
        return;
    }
    const request_ptr request = found->second;
    this->schedule_event(
        this->now_us + caller_link_delay_us,
        [this, request, port = flow.source_port]()
        {
            if (request->is_over || request->port != port)
            {
                return;
            }
            const bool was_open = request->is_open;
            if (was_open &&
                !this->is_in_window(this->options.unresponsive_backends, request->backend) &&
                !this->is_partitioned(request->zone, this->backends[request->backend].zone))
            {
                ++this->report.resets_of_healthy_flows;
            }
            if (!was_open || !request->at_most_once)
            {
                this->start_attempt(request);
            }
        });
}

void simulation::complete(const request_ptr& request)
{
    if (request->is_over)
    {
        return;
    }
    request->is_over = true;
    std::lognormal_distribution<> distribution(std::log(answer_bytes), answer_sigma);
    request->answer_bytes =
        answer_header_bytes + static_cast<std::uint32_t>(distribution(this->random));
    ++this->report.completed;
    request_counts& seen =
        request->at_most_once ? this->report.at_most_once : this->report.idempotent;
    const bool on_time =
        this->now_us - request->started_at_us <= this->options.objective_ms * us_per_ms;
    ++(on_time ? seen.on_time : seen.late);
    this->report.burst_completed += request->is_in_burst ? 1 : 0;
    this->report.burst_on_time += request->is_in_burst && on_time ? 1 : 0;
    this->report.burst_on_time_by_zone[request->zone] += request->is_in_burst && on_time ? 1 : 0;
    this->close_flow(*request);
}

void simulation::close_flow(const simulated_request& request)
{
    tagged_packet packet = this->packet_of(request, request.port);
    packet.has_ack = true;
    packet.closes = true;
    packet.sequence = caller_sequence + 201;
    packet.acknowledgement = backend_sequence + request.answer_bytes;
    packet.tag = request.tag;
    this->remove_baseline_count(request);
    this->send_to_daemon(request, packet);
}

void simulation::remove_baseline_count(const simulated_request& request)
{
    const auto placement =
        this->baseline_placements.find(this->packet_of(request, request.port).tuple);
    if (placement != this->baseline_placements.end())
    {
        --this->baseline_flow_counts[placement->second.first][placement->second.second];
        this->baseline_placements.erase(placement);
    }
}

void simulation::fail(const request_ptr& request)
{
    if (request->is_over)
    {
        return;
    }
    request->is_over = true;
    this->remove_baseline_count(*request);
    const bool lost_in_partition =
        request->is_open && !request->request_delivered &&
        this->is_partitioned(request->zone, this->backends[request->backend].zone);
    this->report.at_most_once_lost_in_partition +=
        request->at_most_once && lost_in_partition ? 1 : 0;
    ++(request->at_most_once ? this->report.at_most_once : this->report.idempotent).failed;
}

simulation_report simulation::run()
{
    this->report.burst_total_by_zone.resize(this->options.zones);
    this->report.burst_on_time_by_zone.resize(this->options.zones);
    this->make_topology();
    this->schedule_expiry();
    this->schedule_power_loss();
    this->schedule_arrivals(false, this->options.idempotent_per_s);
    this->schedule_arrivals(true, this->options.at_most_once_per_s);
    while (!this->events.empty())
    {
        const event next = this->events.top();
        this->events.pop();
        this->now_us = next.when_us;
        (*next.action)();
    }
    const double slots = static_cast<double>(this->options.backends) * this->options.slots;
    this->report.capacity =
        slots * static_cast<double>(this->options.duration_ms) / this->options.mean_service_ms;
    return this->report;
}

} // namespace

simulation_report run_simulation(const simulation_options& options)
{
    return simulation(options).run();
}

double on_time_share(const simulation_report& report)
{
    const double total = static_cast<double>(report.idempotent.total + report.at_most_once.total);
    return static_cast<double>(report.idempotent.on_time + report.at_most_once.on_time) / total;
}

double failed_share(const simulation_report& report)
{
    const double total = static_cast<double>(report.idempotent.total + report.at_most_once.total);
    return static_cast<double>(report.idempotent.failed + report.at_most_once.failed) / total;
}

} // namespace briarbarrow

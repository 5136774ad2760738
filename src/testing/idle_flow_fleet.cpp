#include "testing/idle_flow_fleet.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/ids.hpp"
#include "spread/peer_table.hpp"
#include "tagged/tag_router.hpp"
#include "testing/router_fixture.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::int64_t network_delay_ms = 1;
constexpr std::int64_t processing_ms = 20;
constexpr std::int64_t store_delay_ms = 4;
constexpr std::int64_t store_retry_ms = 200;
constexpr std::int64_t readiness_check_interval_ms = 500;
constexpr int readiness_misses = 2;
constexpr std::int64_t first_retransmission_ms = 200;
constexpr std::int64_t max_retransmission_ms = 1'600;
constexpr int max_retransmissions = 8;
constexpr std::int64_t first_opening_ms = 2'000;
constexpr std::uint32_t request_bytes = 100;
// Backend servers number their streams from here on, each in a range of its own.
constexpr std::uint32_t sequence_range = 1'000'000;
constexpr std::uint32_t sequence_ticks_per_ms = 250;

struct arrived_packet
{
    std::size_t flow = 0;
    tagged_packet packet;
    millis arrived;
};

struct simulated_daemon
{
    router_state router;
    std::deque<arrived_packet> waiting;
    std::deque<arrived_packet> held;
    std::vector<contested_flow> waiting_reports;
    std::vector<std::size_t> waiting_requests;
    bool is_paused = false;
    bool is_stopping = false;
    bool is_up = true;
    bool is_earlier_version = false;
    int misses = 0;
};

// A flow at a backend server.
struct held_flow
{
    std::uint32_t echo = 0;
    bool is_open = false;
    int repeats = 0;
};

struct simulated_server
{
    std::map<std::size_t, held_flow> flows;
    std::deque<std::function<void()>> waiting;
    bool is_paused = false;
};

struct simulated_caller
{
    tagged_packet packet;
    // The backend server whose answer was acknowledged.
    std::optional<std::size_t> server;
    std::set<std::size_t> answering_servers;
    std::size_t last_daemon = 0;
    bool has_begun = false;
    bool has_ended = false;
    bool is_awaiting = false;
    std::size_t requests = 0;
};

class idle_flow_fleet
{
public:
    explicit idle_flow_fleet(const idle_flow_options& options)
        : options(options), daemons(options.daemons + options.away_daemons),
          servers(options.backends), callers(options.flows)
    {
    }

    idle_flow_report run();

private:
    void at(std::int64_t time_ms, std::function<void()> event)
    {
        this->events.emplace(time_ms, std::move(event));
    }

    void after(std::int64_t delay_ms, std::function<void()> event)
    {
        this->at(this->now_ms + delay_ms, std::move(event));
    }

    millis now() const
    {
        return millis{1'000'000 + this->now_ms};
    }

    void start_daemon(std::size_t index);
    void schedule_disruptions();
    void check_readiness();
    void tick(std::size_t index);
    void run_tick(std::size_t index);
    bool can_write_tag_forms();
    bool is_within(const std::vector<process_window>& windows, std::size_t index,
                   std::int64_t extra_ms) const;
    bool is_server_in_touch(std::size_t index) const;
    bool are_peers(std::size_t left, std::size_t right) const;
    bool is_informed_by(std::size_t reporter, std::size_t recipient) const;
    void kill_daemon(std::size_t index);
    void start_process(std::size_t index);
    void report_contested(std::size_t to, const std::vector<contested_flow>& flows);
    void ask_for_contested(std::size_t index);
    void ask_peers(std::size_t index);
    void ask_store(std::size_t index);
    void record_in_store(const std::vector<contested_flow>& flows);
    bool is_store_down() const;
    void release_held(std::size_t index);
    void resume_daemon(std::size_t index);
    void resume_server(std::size_t index);
    std::size_t select_daemon(std::size_t flow) const;
    void send_from_caller(std::size_t flow, tagged_packet packet);
    void route(std::size_t index, const arrived_packet& arrived);
    void deliver_to_server(std::size_t index, std::size_t flow, const tagged_packet& packet);
    void serve_packet(std::size_t index, std::size_t flow, const tagged_packet& packet);
    void send_syn_ack(std::size_t index, std::size_t flow);
    void receive_answer(std::size_t index, std::size_t flow, std::uint32_t echo, bool is_data);
    void receive_reset(std::optional<std::size_t> index, std::size_t flow);
    void end_flow(std::size_t flow);
    bool is_port_free(std::size_t flow) const;
    void open_flow(std::size_t flow);
    void send_request(std::size_t flow);

    idle_flow_options options;
    std::int64_t now_ms = 0;
    // When a daemon of an earlier version was up last.
    std::int64_t earlier_version_seen_ms = 0;
    std::multimap<std::int64_t, std::function<void()>> events;
    std::vector<simulated_daemon> daemons;
    std::vector<simulated_server> servers;
    std::vector<simulated_caller> callers;
    std::set<std::size_t> rotation;
    std::map<flow_key, contested_flow> recorded;
    idle_flow_report report;
};

void idle_flow_fleet::start_daemon(std::size_t index)
{
    simulated_daemon& daemon = this->daemons[index];
    daemon.router = router_state{};
    daemon.waiting.clear();
    daemon.held.clear();
    daemon.waiting_reports.clear();
    daemon.waiting_requests.clear();
    daemon.is_stopping = false;
    daemon.is_up = true;
    router_settings settings;
    settings.own_zone = index < this->options.daemons ? "zone-a" : "zone-b";
    start_router(daemon.router, settings, this->now());
    daemon.is_earlier_version = this->options.is_update && this->now_ms == 0;
    daemon.router.writes_tag_forms = !this->options.is_update;
    apply_route_list(daemon.router, make_routes(1));
    for (std::size_t i = 0; i < this->servers.size(); ++i)
    {
        apply_backend_registration(
            daemon.router,
            make_backend("i-" + std::to_string(100 + i), "orders", static_cast<int>(i)),
            this->now());
    }
    confirm_lists(daemon.router, this->now());
}

void idle_flow_fleet::schedule_disruptions()
{
    for (const process_window& pause : this->options.paused_daemons)
    {
        this->at(pause.begin, [this, pause]() { this->daemons[pause.index].is_paused = true; });
        this->at(pause.end, [this, pause]() { this->resume_daemon(pause.index); });
    }
    for (const process_window& pause : this->options.paused_backends)
    {
        this->at(pause.begin, [this, pause]() { this->servers[pause.index].is_paused = true; });
        this->at(pause.end, [this, pause]() { this->resume_server(pause.index); });
    }
    for (const process_window& restart : this->options.restarts)
    {
        this->at(restart.begin,
                 [this, restart]() { this->daemons[restart.index].is_stopping = true; });
        this->at((restart.begin + restart.end) / 2,
                 [this, restart]()
                 {
                     // A daemon exits at the end of a tick.
                     this->run_tick(restart.index);
                     this->kill_daemon(restart.index);
                 });
        this->at(restart.end, [this, restart]() { this->start_process(restart.index); });
    }
    for (const process_window& kill : this->options.kills)
    {
        this->at(kill.begin, [this, kill]() { this->kill_daemon(kill.index); });
        this->at(kill.end, [this, kill]() { this->start_process(kill.index); });
    }
    for (const process_window& added : this->options.added_daemons)
    {
        this->kill_daemon(added.index);
        this->rotation.erase(added.index);
        this->at(added.begin, [this, added]() { this->start_process(added.index); });
    }
}

// Nothing that the process knows outlives it, not even what waits in its sockets.
void idle_flow_fleet::kill_daemon(std::size_t index)
{
    simulated_daemon& daemon = this->daemons[index];
    daemon.is_up = false;
    daemon.router = router_state{};
    daemon.waiting.clear();
    daemon.held.clear();
    daemon.waiting_reports.clear();
    daemon.waiting_requests.clear();
}

void idle_flow_fleet::start_process(std::size_t index)
{
    this->start_daemon(index);
    this->after(network_delay_ms, [this, index]() { this->ask_for_contested(index); });
}

void idle_flow_fleet::check_readiness()
{
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
    {
        simulated_daemon& daemon = this->daemons[i];
        const bool is_ready = daemon.is_up && !daemon.is_paused && !daemon.is_stopping &&
                              is_ready_for_new_flows(daemon.router, this->now());
        daemon.misses = is_ready ? 0 : daemon.misses + 1;
        if (is_ready)
        {
            this->rotation.insert(i);
        }
        else if (daemon.misses >= readiness_misses)
        {
            this->rotation.erase(i);
        }
    }
    this->after(readiness_check_interval_ms, [this]() { this->check_readiness(); });
}

void idle_flow_fleet::tick(std::size_t index)
{
    this->after(router_tick_interval.count, [this, index]() { this->tick(index); });
    this->run_tick(index);
}

bool idle_flow_fleet::can_write_tag_forms()
{
    for (const simulated_daemon& daemon : this->daemons)
    {
        if (daemon.is_up && daemon.is_earlier_version)
        {
            this->earlier_version_seen_ms = this->now_ms;
        }
    }
    return !this->options.is_update ||
           this->now_ms > this->earlier_version_seen_ms + peer_removal_timeout.count;
}

void idle_flow_fleet::run_tick(std::size_t index)
{
    simulated_daemon& daemon = this->daemons[index];
    if (daemon.is_paused || !daemon.is_up)
    {
        return;
    }
    confirm_lists(daemon.router, this->now());
    daemon.router.writes_tag_forms = this->can_write_tag_forms();
    router_actions actions;
    tick_router(daemon.router, this->now(), actions);
    for (const proactive_reset& reset : actions.resets)
    {
        const std::size_t flow = reset.flow.source_port;
        this->after(network_delay_ms, [this, flow]() { this->receive_reset(std::nullopt, flow); });
    }
    this->record_in_store(actions.contested);
    this->ask_store(index);
    this->ask_peers(index);
    this->release_held(index);
    for (std::size_t i = 0; i < this->daemons.size() && !actions.contested.empty(); ++i)
    {
        if (this->is_informed_by(index, i))
        {
            this->after(network_delay_ms, [this, i, flows = actions.contested]()
                        { this->report_contested(i, flows); });
        }
    }
    for (const backend_index checked : actions.checks)
    {
        const backend_registration& backend = daemon.router.backends.entries[checked].registration;
        const bool answers = !this->servers[backend.wire_number].is_paused &&
                             !this->is_within(this->options.full_links, backend.wire_number, 0);
        handle_check_result(daemon.router, std::string(backend.name),
                            answers ? check_outcome::answered : check_outcome::timed_out,
                            this->now());
    }
}

bool idle_flow_fleet::are_peers(std::size_t left, std::size_t right) const
{
    const std::vector<std::size_t>& isolated = this->options.isolated_daemons;
    return left != right && std::find(isolated.begin(), isolated.end(), left) == isolated.end() &&
           std::find(isolated.begin(), isolated.end(), right) == isolated.end();
}

// Contested flows are reported to the daemons of the own zone and to two others.
bool idle_flow_fleet::is_informed_by(std::size_t reporter, std::size_t recipient) const
{
    const std::size_t home = this->options.daemons;
    const bool is_same_zone = (reporter < home) == (recipient < home);
    const bool is_keeper = recipient < home ? recipient < 2 : recipient < home + 2;
    return this->are_peers(reporter, recipient) && (is_same_zone || is_keeper);
}

void idle_flow_fleet::report_contested(std::size_t to, const std::vector<contested_flow>& flows)
{
    simulated_daemon& daemon = this->daemons[to];
    if (daemon.is_paused)
    {
        daemon.waiting_reports.insert(daemon.waiting_reports.end(), flows.begin(), flows.end());
    }
    else if (daemon.is_up)
    {
        handle_contested_flows(daemon.router, flows, this->now());
    }
}

// The daemon asks others when it starts.
void idle_flow_fleet::ask_for_contested(std::size_t index)
{
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
    {
        simulated_daemon& source = this->daemons[i];
        const bool is_asked = this->is_informed_by(index, i);
        if (is_asked && source.is_paused)
        {
            source.waiting_requests.push_back(index);
        }
        else if (is_asked && source.is_up)
        {
            this->report_contested(index, known_contested_flows(source.router, this->now()));
        }
    }
}

// Asks the other daemons about the flows that are looked up.
void idle_flow_fleet::ask_peers(std::size_t index)
{
    std::vector<contested_flow> questions;
    questions.swap(this->daemons[index].router.lookups.peer_questions);
    for (std::size_t i = 0; i < this->daemons.size() && !questions.empty(); ++i)
    {
        if (!this->are_peers(index, i))
        {
            continue;
        }
        this->after(network_delay_ms,
                    [this, index, i, questions]()
                    {
                        simulated_daemon& asked = this->daemons[i];
                        if (asked.is_paused || !asked.is_up)
                        {
                            return;
                        }
                        const std::vector<contested_flow> answers =
                            handle_contested_flows(asked.router, questions, this->now());
                        this->after(network_delay_ms, [this, index, answers]()
                                    { this->report_contested(index, answers); });
                    });
    }
}

bool idle_flow_fleet::is_store_down() const
{
    return std::any_of(this->options.store_outages.begin(), this->options.store_outages.end(),
                       [this](const process_window& outage)
                       { return outage.begin <= this->now_ms && this->now_ms < outage.end; });
}

void idle_flow_fleet::record_in_store(const std::vector<contested_flow>& flows)
{
    this->after(store_delay_ms,
                [this, flows]()
                {
                    if (this->is_store_down())
                    {
                        this->after(store_retry_ms,
                                    [this, flows]() { this->record_in_store(flows); });
                        return;
                    }
                    for (const contested_flow& flow : flows)
                    {
                        if (flow.tag != no_tag)
                        {
                            this->recorded.insert_or_assign(flow.key, flow);
                        }
                    }
                });
}

void idle_flow_fleet::ask_store(std::size_t index)
{
    std::vector<flow_lookup_request> requests;
    requests.swap(this->daemons[index].router.lookups.store_requests);
    for (const flow_lookup_request& request : requests)
    {
        this->after(store_delay_ms,
                    [this, index, request]()
                    {
                        simulated_daemon& daemon = this->daemons[index];
                        if (daemon.is_paused || !daemon.is_up)
                        {
                            return;
                        }
                        const auto found = this->recorded.find(request.key);
                        const bool is_recorded = found != this->recorded.end();
                        const lookup_outcome outcome = this->is_store_down()
                                                           ? lookup_outcome::no_answer
                                                       : is_recorded ? lookup_outcome::recorded
                                                                     : lookup_outcome::not_recorded;
                        handle_lookup_result(daemon.router, request.key, outcome,
                                             outcome == lookup_outcome::recorded
                                                 ? std::optional(found->second)
                                                 : std::nullopt,
                                             this->now());
                        this->release_held(index);
                    });
    }
}

// Routes the packets again whose flows are no longer looked up.
void idle_flow_fleet::release_held(std::size_t index)
{
    std::deque<arrived_packet> held;
    held.swap(this->daemons[index].held);
    for (const arrived_packet& arrived : held)
    {
        if (is_looked_up(this->daemons[index].router.lookups, flow_key_of(arrived.packet.tuple)))
        {
            this->daemons[index].held.push_back(arrived);
        }
        else
        {
            this->route(index, arrived);
        }
    }
}

void idle_flow_fleet::resume_daemon(std::size_t index)
{
    simulated_daemon& daemon = this->daemons[index];
    daemon.is_paused = false;
    this->report_contested(index, daemon.waiting_reports);
    daemon.waiting_reports.clear();
    for (const std::size_t requester : daemon.waiting_requests)
    {
        this->report_contested(requester, known_contested_flows(daemon.router, this->now()));
    }
    daemon.waiting_requests.clear();
    std::deque<arrived_packet> waiting;
    waiting.swap(daemon.waiting);
    for (const arrived_packet& arrived : waiting)
    {
        this->route(index, arrived);
    }
}

void idle_flow_fleet::resume_server(std::size_t index)
{
    simulated_server& server = this->servers[index];
    server.is_paused = false;
    std::deque<std::function<void()>> waiting;
    waiting.swap(server.waiting);
    for (const std::function<void()>& event : waiting)
    {
        event();
    }
}

std::size_t idle_flow_fleet::select_daemon(std::size_t flow) const
{
    const std::size_t home = this->options.daemons;
    std::vector<std::size_t> members;
    std::vector<std::size_t> away;
    for (const std::size_t index : this->rotation)
    {
        (index < home ? members : away).push_back(index);
    }
    if (members.empty() && !away.empty())
    {
        members = away;
    }
    // With fewer than half of the daemons in rotation all are used.
    else if (2 * members.size() < home)
    {
        members.clear();
        for (std::size_t i = 0; i < home; ++i)
        {
            members.push_back(i);
        }
    }
    const std::uint64_t hash =
        mix(this->options.seed, this->callers[flow].packet.tuple.source_port);
    if (this->options.moves_all_flows)
    {
        return members[hash % members.size()];
    }
    return *std::max_element(members.begin(), members.end(),
                             [hash](std::size_t left, std::size_t right)
                             { return mix(hash, left) < mix(hash, right); });
}

void idle_flow_fleet::send_from_caller(std::size_t flow, tagged_packet packet)
{
    const std::size_t index = this->select_daemon(flow);
    this->after(network_delay_ms,
                [this, index, flow, packet]()
                {
                    simulated_daemon& daemon = this->daemons[index];
                    if (daemon.is_paused)
                    {
                        daemon.waiting.push_back({flow, packet, this->now()});
                    }
                    else if (daemon.is_up)
                    {
                        this->route(index, {flow, packet, this->now()});
                    }
                });
}

void idle_flow_fleet::route(std::size_t index, const arrived_packet& arrived)
{
    simulated_daemon& daemon = this->daemons[index];
    tagged_packet packet = arrived.packet;
    packet.waited = this->now() - arrived.arrived;
    const bool is_plain =
        find_by_tag(daemon.router.backends, service_id_of("orders"), packet.tag).has_value();
    if (daemon.is_earlier_version && !is_plain)
    {
        packet.tag = tag_of("unknown");
    }
    const std::size_t flow = arrived.flow;
    this->callers[flow].last_daemon = index;
    const packet_decision decision = route_packet(daemon.router, packet, this->now());
    if (decision.verdict == packet_verdict::reset)
    {
        this->after(network_delay_ms, [this, flow]() { this->receive_reset(std::nullopt, flow); });
    }
    if (decision.verdict == packet_verdict::hold)
    {
        daemon.held.push_back(arrived);
        this->ask_store(index);
    }
    if (decision.verdict != packet_verdict::forward)
    {
        return;
    }
    packet.tag = decision.tag;
    const std::size_t server =
        daemon.router.backends.entries[decision.backend].registration.wire_number;
    this->after(network_delay_ms,
                [this, server, flow, packet]() { this->deliver_to_server(server, flow, packet); });
}

void idle_flow_fleet::deliver_to_server(std::size_t index, std::size_t flow,
                                        const tagged_packet& packet)
{
    if (this->servers[index].is_paused)
    {
        this->servers[index].waiting.push_back([this, index, flow, packet]()
                                               { this->serve_packet(index, flow, packet); });
        return;
    }
    this->serve_packet(index, flow, packet);
}

void idle_flow_fleet::serve_packet(std::size_t index, std::size_t flow, const tagged_packet& packet)
{
    simulated_server& server = this->servers[index];
    if (packet.opens)
    {
        server.flows[flow].echo = packet.tag;
        this->send_syn_ack(index, flow);
        return;
    }
    const auto found = server.flows.find(flow);
    const bool is_acknowledged = packet.acknowledgement / sequence_range == index + 1;
    if (found == server.flows.end() || !is_acknowledged)
    {
        if (!this->is_within(this->options.full_links, index, 0))
        {
            this->after(network_delay_ms,
                        [this, index, flow]() { this->receive_reset(index, flow); });
        }
        return;
    }
    found->second.is_open = true;
    found->second.echo = packet.tag;
    const std::uint32_t echo = packet.tag;
    this->after(processing_ms,
                [this, index, flow, echo]()
                {
                    if (!this->is_within(this->options.full_links, index, 0))
                    {
                        this->receive_answer(index, flow, echo, true);
                    }
                });
}

void idle_flow_fleet::send_syn_ack(std::size_t index, std::size_t flow)
{
    held_flow& held = this->servers[index].flows[flow];
    const std::uint32_t echo = held.echo;
    if (!this->is_within(this->options.full_links, index, 0))
    {
        this->after(network_delay_ms, [this, index, flow, echo]()
                    { this->receive_answer(index, flow, echo, false); });
    }
    if (!this->options.repeats_syn_ack || held.repeats >= max_retransmissions)
    {
        return;
    }
    const std::int64_t delay_ms =
        std::min(first_retransmission_ms << held.repeats, max_retransmission_ms);
    ++held.repeats;
    this->after(delay_ms,
                [this, index, flow]()
                {
                    if (!this->servers[index].flows[flow].is_open)
                    {
                        this->send_syn_ack(index, flow);
                    }
                });
}

void idle_flow_fleet::receive_answer(std::size_t index, std::size_t flow, std::uint32_t echo,
                                     bool is_data)
{
    simulated_caller& caller = this->callers[flow];
    if (caller.has_ended)
    {
        return;
    }
    caller.packet.tag = echo;
    if (!is_data)
    {
        this->report.answered_twice +=
            caller.answering_servers.insert(index).second && caller.answering_servers.size() == 2
                ? 1
                : 0;
        if (!caller.server)
        {
            ++this->report.opened;
            caller.server = index;
            caller.packet.opens = false;
            caller.packet.has_ack = true;
            caller.packet.retransmissions = 0;
            caller.packet.acknowledgement =
                (static_cast<std::uint32_t>(index) + 1) * sequence_range + 1;
            ++caller.packet.sequence;
            this->send_request(flow);
        }
        return;
    }
    if (!caller.is_awaiting)
    {
        return;
    }
    caller.is_awaiting = false;
    ++this->report.answers;
    caller.packet.acknowledgement += 1'000;
    caller.packet.sequence += request_bytes;
    if (caller.requests < this->options.requests)
    {
        this->after(this->options.think_ms, [this, flow]() { this->send_request(flow); });
        return;
    }
    this->end_flow(flow);
}

// Both ends close an answered flow: the daemon sees the caller's last packet.
void idle_flow_fleet::end_flow(std::size_t flow)
{
    simulated_caller& caller = this->callers[flow];
    tagged_packet packet = caller.packet;
    packet.closes = true;
    packet.payload_bytes = 0;
    caller.has_ended = true;
    this->send_from_caller(flow, packet);
}

bool idle_flow_fleet::is_within(const std::vector<process_window>& windows, std::size_t index,
                                std::int64_t extra_ms) const
{
    return std::any_of(windows.begin(), windows.end(),
                       [this, index, extra_ms](const process_window& window)
                       {
                           return window.index == index && window.begin <= this->now_ms &&
                                  this->now_ms < window.end + extra_ms;
                       });
}

bool idle_flow_fleet::is_server_in_touch(std::size_t index) const
{
    return !this->is_within(this->options.paused_backends, index, stable_window_ms) &&
           !this->is_within(this->options.full_links, index, stable_window_ms);
}

void idle_flow_fleet::receive_reset(std::optional<std::size_t> index, std::size_t flow)
{
    simulated_caller& caller = this->callers[flow];
    if (caller.has_ended)
    {
        return;
    }
    caller.has_ended = true;
    if (!caller.server || index == caller.server)
    {
        return;
    }
    ++this->report.broken;
    const bool is_in_touch =
        !this->is_within(this->options.paused_daemons, caller.last_daemon, stable_window_ms) &&
        !this->is_within(this->options.kills, caller.last_daemon, stable_window_ms) &&
        this->is_server_in_touch(*caller.server) && (!index || this->is_server_in_touch(*index));
    this->report.broken_in_touch += is_in_touch ? 1 : 0;
}

bool idle_flow_fleet::is_port_free(std::size_t flow) const
{
    const std::size_t ports = this->options.ports;
    if (ports == 0 || flow < ports)
    {
        return true;
    }
    const simulated_caller& earlier = this->callers[flow - ports];
    return !earlier.has_begun || earlier.has_ended;
}

void idle_flow_fleet::open_flow(std::size_t flow)
{
    if (!this->is_port_free(flow))
    {
        return;
    }
    simulated_caller& caller = this->callers[flow];
    caller.has_begun = true;
    caller.packet.tuple.source = *parse_address("100.64.0.7");
    caller.packet.tuple.source_port =
        static_cast<std::uint16_t>(this->options.ports == 0 ? flow : flow % this->options.ports);
    caller.packet.tuple.destination = orders_address.address;
    caller.packet.tuple.destination_port = orders_address.port;
    caller.packet.opens = true;
    // As in RFC 6528: a number of the addresses, and a clock that ticks every 4 microseconds.
    caller.packet.sequence =
        1'000 + (this->options.repeats_sequence
                     ? 0
                     : static_cast<std::uint32_t>(this->now_ms) * sequence_ticks_per_ms);
    std::int64_t delay_ms = 0;
    for (std::uint32_t copy = 0; copy <= opening_retransmission_ms.size(); ++copy)
    {
        this->after(delay_ms,
                    [this, flow, copy]()
                    {
                        const simulated_caller& opening = this->callers[flow];
                        if (!opening.server && !opening.has_ended)
                        {
                            tagged_packet packet = opening.packet;
                            packet.retransmissions = copy;
                            this->send_from_caller(flow, packet);
                        }
                    });
        delay_ms += copy < opening_retransmission_ms.size() ? opening_retransmission_ms[copy]
                                                            : opening_give_up_time.count;
    }
    this->after(delay_ms, [this, flow]()
                { this->callers[flow].has_ended |= !this->callers[flow].server.has_value(); });
}

void idle_flow_fleet::send_request(std::size_t flow)
{
    simulated_caller& caller = this->callers[flow];
    if (caller.has_ended)
    {
        return;
    }
    ++caller.requests;
    caller.is_awaiting = true;
    const std::size_t request = caller.requests;
    std::int64_t delay_ms = 0;
    // Retransmitted until it is answered.
    for (int i = 0; i < max_retransmissions; ++i)
    {
        this->after(delay_ms,
                    [this, flow, request]()
                    {
                        const simulated_caller& sender = this->callers[flow];
                        if (sender.is_awaiting && sender.requests == request && !sender.has_ended)
                        {
                            tagged_packet packet = sender.packet;
                            packet.payload_bytes = request_bytes;
                            this->send_from_caller(flow, packet);
                        }
                    });
        delay_ms += std::min(first_retransmission_ms << i, max_retransmission_ms);
    }
}

idle_flow_report idle_flow_fleet::run()
{
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
    {
        this->start_daemon(i);
        this->rotation.insert(i);
        this->after(static_cast<std::int64_t>(i) + 1, [this, i]() { this->tick(i); });
    }
    this->schedule_disruptions();
    this->check_readiness();
    for (std::size_t i = 0; i < this->callers.size(); ++i)
    {
        this->at(first_opening_ms +
                     static_cast<std::int64_t>(i) * this->options.opening_interval_ms,
                 [this, i]() { this->open_flow(i); });
    }
    const std::int64_t end_ms =
        first_opening_ms +
        static_cast<std::int64_t>(this->callers.size()) * this->options.opening_interval_ms +
        static_cast<std::int64_t>(this->options.requests) * (this->options.think_ms + 5'000);
    while (!this->events.empty() && this->events.begin()->first <= end_ms)
    {
        auto next = this->events.extract(this->events.begin());
        this->now_ms = next.key();
        next.mapped()();
    }
    return this->report;
}

} // namespace

idle_flow_report run_idle_flows(const idle_flow_options& options)
{
    return idle_flow_fleet(options).run();
}

} // namespace briarbarrow

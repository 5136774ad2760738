#include "testing/idle_flow_parts.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::int64_t readiness_check_interval_ms = 500;
constexpr int readiness_misses = 2;
constexpr std::int64_t first_opening_ms = 2'000;
constexpr const char* second_service = "orders-next";
constexpr std::uint32_t all_flows = 100;

} // namespace

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
    this->apply_split(index);
    for (std::size_t i = 0; i < this->servers.size(); ++i)
    {
        const bool is_second = i >= this->servers.size() - this->options.second_backends;
        apply_backend_registration(daemon.router,
                                   make_backend("i-" + std::to_string(100 + i),
                                                is_second ? second_service : "orders",
                                                static_cast<int>(i)),
                                   this->now());
    }
    confirm_lists(daemon.router, this->now());
}

// Applies the newest version of the routes.
void idle_flow_fleet::apply_split(std::size_t index)
{
    route_list list = make_routes(this->split_version + 1);
    const std::uint32_t share =
        this->split_version == 0
            ? 0
            : this->options.split_changes[this->split_version - 1].second_share;
    if (share > 0)
    {
        list.routes.front().services = {{service_id_of("orders"), all_flows - share},
                                        {service_id_of(second_service), share}};
    }
    apply_route_list(this->daemons[index].router, list);
}

void idle_flow_fleet::schedule_disruptions()
{
    for (const split_change& change : this->options.split_changes)
    {
        this->at(change.at, [this]() { ++this->split_version; });
        for (std::size_t i = 0; i < this->daemons.size(); ++i)
        {
            const auto delay_ms =
                static_cast<std::int64_t>(mix(this->options.seed, i) %
                                          static_cast<std::uint64_t>(this->options.split_delay_ms));
            this->at(change.at + 1 + delay_ms,
                     [this, i]()
                     {
                         if (this->daemons[i].is_up)
                         {
                             this->apply_split(i);
                         }
                     });
        }
    }
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
        find_by_tag(daemon.router.backends, service_id_of("orders"), packet.tag) ||
        find_by_tag(daemon.router.backends, service_id_of(second_service), packet.tag);
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

idle_flow_report run_idle_flows(const idle_flow_options& options)
{
    return idle_flow_fleet(options).run();
}

} // namespace briarbarrow

#include "testing/virtual_net.hpp"

#include <algorithm>

#include "testing/virtual_addresses.hpp"

namespace briarbarrow
{

namespace
{

// Events that wait for a paused host, as in a socket buffer; later ones are dropped.
constexpr std::size_t max_deferred = 2'000;
constexpr millis host_discovery_delay{300};
constexpr millis initial_configuration_delay{200};
constexpr millis peer_link_delay{4};
constexpr millis fabric_interval{100};

} // namespace

configuration make_test_configuration(std::size_t backends, std::size_t zones)
{
    configuration made;
    made.revision = 1;
    made.change_id = "first";
    std::size_t next_backend = 0;
    const std::array<std::size_t, 3> counts{backends, 4, 3};
    const std::array<std::string, 3> names{"orders", "downloads", "notices"};
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        service_config service;
        service.name = names[i];
        service.team = "test";
        service.template_name = "test";
        service.addresses = {service_address_of(i)};
        service.port = 80;
        service.protocol = i == 2 ? transport::udp : transport::tcp;
        service.at_most_once = i != 1;
        service.idle_timeout = i == 2 ? millis{30'000} : millis{900'000};
        for (std::size_t j = 0; j < counts[i]; ++j)
        {
            backend_config backend;
            backend.name = names[i] + "-" + std::to_string(j);
            backend.zone = zone_name(j % zones);
            backend.packets = backend_endpoint(next_backend++);
            service.backends.push_back(backend);
        }
        made.services.push_back(service);
    }
    return made;
}

bool virtual_net::later_first::operator()(const delivery& left, const delivery& right) const
{
    return std::tie(left.at, left.order) > std::tie(right.at, right.order);
}

virtual_net::virtual_net(const net_settings& settings)
    : settings(settings), rng(settings.seed), clock{100'000}
{
    this->current = make_test_configuration(settings.backends, settings.zones);
    for (const service_config& service : this->current.services)
    {
        for (const backend_config& backend : service.backends)
        {
            this->backend_by_endpoint[backend.packets] =
                static_cast<int>(this->backend_zone.size());
            this->backend_zone.push_back(std::stoul(backend.zone.substr(5)));
            this->backend_service.push_back(service.name);
            this->draining_since.emplace_back();
        }
    }
    this->schedule(fabric_interval, [this] { this->update_fabric(); });
}

void virtual_net::schedule(millis delay, std::function<void()> action)
{
    this->queue.push(delivery{this->clock + delay, this->next_order++, std::move(action)});
}

bool virtual_net::occurs(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(this->rng) < probability;
}

millis virtual_net::random_delay()
{
    std::uniform_int_distribution<std::int64_t> any(this->settings.min_delay.count,
                                                    this->settings.max_delay.count);
    return millis{any(this->rng)};
}

void virtual_net::start_host(std::size_t index)
{
    while (this->hosts.size() <= index)
    {
        this->hosts.push_back(std::make_unique<virtual_host>());
        this->listed.push_back(false);
        this->listing_stable_since.emplace_back();
    }
    auto made = std::make_unique<virtual_host>();
    made->zone = index % this->settings.zones;
    host_info& info = made->info;
    info.name = "host-" + std::to_string(index);
    info.id = host_id_of(info.name);
    info.zone = zone_name(made->zone);
    info.packets = host_endpoint(index, 6081);
    info.peers = host_endpoint(index, 6082);
    info.operators = host_endpoint(index, 6083);
    info.incarnation = static_cast<std::uint64_t>(this->clock.count / 1000);
    made->alive = true;
    made->started = this->clock;
    this->host_by_endpoint[info.packets] = index;
    this->host_by_endpoint[info.peers] = index;
    core_settings own_settings;
    own_settings.self = info;
    own_settings.fabric = {fabric_endpoint().address};
    start_core(made->core, own_settings, this->clock);
    this->hosts[index] = std::move(made);
    const auto announce_host = [this](std::size_t to, std::size_t whom)
    {
        host_info listed_host = this->hosts[whom]->info;
        listed_host.incarnation = 0;
        this->deliver_event(to, hosts_event{{reported_host{listed_host, host_state::unheard}}});
    };
    for (std::size_t other = 0; other < this->hosts.size(); ++other)
    {
        if (other != index && this->hosts[other]->alive)
        {
            announce_host(index, other);
            this->schedule(host_discovery_delay,
                           [announce_host, other, index] { announce_host(other, index); });
        }
    }
    this->schedule(initial_configuration_delay,
                   [this, index]
                   {
                       const std::uint32_t digest =
                           static_cast<std::uint32_t>(this->current.revision);
                       this->deliver_event(index, configuration_event{this->current, digest});
                   });
    this->tick_host(index);
}

void virtual_net::crash_host(std::size_t index)
{
    this->hosts[index]->alive = false;
}

void virtual_net::stop_host(std::size_t index)
{
    this->deliver_event(index, leave_event{});
}

void virtual_net::pause_host(std::size_t index)
{
    this->hosts[index]->paused = true;
}

void virtual_net::resume_host(std::size_t index)
{
    virtual_host& host = *this->hosts[index];
    host.paused = false;
    std::deque<std::function<void()>> waiting;
    waiting.swap(host.deferred);
    for (const auto& action : waiting)
    {
        action();
    }
    this->tick_host(index);
}

void virtual_net::partition_zone(std::size_t zone, bool inbound, bool outbound)
{
    for (std::size_t other = 0; other < this->settings.zones; ++other)
    {
        if (other == zone)
        {
            continue;
        }
        if (outbound)
        {
            this->partitions.insert({zone, other});
        }
        if (inbound)
        {
            this->partitions.insert({other, zone});
        }
    }
}

void virtual_net::heal()
{
    this->partitions.clear();
}

bool virtual_net::is_partitioned(std::size_t from_zone, std::size_t to_zone) const
{
    return this->partitions.contains({from_zone, to_zone});
}

void virtual_net::configure(const configuration& value, millis window)
{
    this->current = value;
    const auto digest = static_cast<std::uint32_t>(value.revision);
    for (const service_config& service : value.services)
    {
        for (const backend_config& backend : service.backends)
        {
            const auto index =
                static_cast<std::size_t>(this->backend_by_endpoint.at(backend.packets));
            millis& since = this->draining_since[index];
            if (backend.state == backend_state::active)
            {
                since = millis{};
            }
            else if (since == millis{})
            {
                since = this->clock + window;
            }
        }
    }
    for (std::size_t i = 0; i < this->hosts.size(); ++i)
    {
        std::uniform_int_distribution<std::int64_t> any(0, window.count);
        this->schedule(millis{any(this->rng)},
                       [this, i, value, digest] {
                           this->deliver_event(i, configuration_event{value, digest});
                       });
    }
}

void virtual_net::configure_host(const configuration& value, std::size_t host)
{
    this->current = value;
    const auto digest = static_cast<std::uint32_t>(value.revision);
    this->deliver_event(host, configuration_event{value, digest});
}

const configuration& virtual_net::latest_configuration() const
{
    return this->current;
}

void virtual_net::tick_host(std::size_t index)
{
    virtual_host& host = *this->hosts[index];
    if (!host.alive || host.paused)
    {
        return;
    }
    this->deliver_event(index, tick_event{});
    const millis started = host.started;
    this->schedule(tick_interval,
                   [this, index, started]
                   {
                       // A host that was restarted meanwhile has its own series of ticks.
                       if (this->hosts[index]->started == started)
                       {
                           this->tick_host(index);
                       }
                   });
}

void virtual_net::deliver_event(std::size_t index, const event& happened)
{
    virtual_host& host = *this->hosts[index];
    if (!host.alive)
    {
        return;
    }
    if (host.paused)
    {
        if (host.deferred.size() < max_deferred)
        {
            host.deferred.push_back([this, index, happened]
                                    { this->deliver_event(index, happened); });
        }
        return;
    }
    if (const auto* update = std::get_if<configuration_event>(&happened))
    {
        if (update->value.revision > host.received.revision)
        {
            host.received = update->value;
        }
    }
    step(host.core, happened, this->clock, host.out);
    this->apply_actions(index);
    this->check_host(index);
}

void virtual_net::check_host(std::size_t index)
{
    virtual_host& host = *this->hosts[index];
    if (host.core.revision < host.revision_seen)
    {
        ++this->totals.revision_fell;
        this->record_fault("the revision in force decreased at " + host.info.name);
    }
    host.revision_seen = host.core.revision;
}

void virtual_net::apply_actions(std::size_t index)
{
    virtual_host& host = *this->hosts[index];
    for (const outgoing& datagram : host.out.datagrams)
    {
        packet_bytes bytes(datagram.head.begin(), datagram.head.end());
        bytes.insert(bytes.end(), datagram.body.begin(), datagram.body.end());
        if (datagram.to_caller)
        {
            this->schedule(this->random_delay(),
                           [this, bytes]
                           {
                               const auto packet = parse_packet(bytes);
                               this->receive_reset_at_caller(packet.value());
                           });
            continue;
        }
        this->send_datagram(host.info.packets, datagram.to, bytes);
    }
    for (const outgoing_host_list& list : host.out.lists)
    {
        const auto to = this->host_by_endpoint.find(list.to);
        if (to == this->host_by_endpoint.end() ||
            this->is_partitioned(host.zone, this->hosts[to->second]->zone))
        {
            continue;
        }
        const std::size_t receiver = to->second;
        const hosts_event report{list.list.hosts};
        this->schedule(peer_link_delay,
                       [this, receiver, report] { this->deliver_event(receiver, report); });
    }
    for (const endpoint& source : host.out.configuration_sources)
    {
        const std::size_t from = this->host_by_endpoint.at(source);
        const std::size_t from_zone = this->hosts[from]->zone;
        const bool partitioned = this->is_partitioned(host.zone, from_zone) ||
                                 this->is_partitioned(from_zone, host.zone);
        if (partitioned || !this->hosts[from]->alive)
        {
            continue;
        }
        const configuration value = this->hosts[from]->received;
        const auto digest = static_cast<std::uint32_t>(value.revision);
        this->schedule(peer_link_delay,
                       [this, index, value, digest] {
                           this->deliver_event(index, configuration_event{value, digest});
                       });
    }
    for (const std::string& text : host.out.events)
    {
        this->event_lines.push_back(std::to_string(this->clock.count) + " " + host.info.name +
                                    ": " + text);
    }
    const bool may_stop = host.out.may_stop;
    clear_actions(host.out);
    if (may_stop)
    {
        host.alive = false;
    }
}

void virtual_net::send_datagram(const endpoint& from, const endpoint& to, const packet_bytes& bytes)
{
    const auto sender = this->host_by_endpoint.find(from);
    const auto receiver = this->host_by_endpoint.find(to);
    const auto backend = this->backend_by_endpoint.find(to);
    if (sender != this->host_by_endpoint.end())
    {
        const std::size_t from_zone = this->hosts[sender->second]->zone;
        std::size_t to_zone = from_zone;
        if (receiver != this->host_by_endpoint.end())
        {
            to_zone = this->hosts[receiver->second]->zone;
        }
        else if (backend != this->backend_by_endpoint.end())
        {
            to_zone = this->backend_zone[static_cast<std::size_t>(backend->second)];
        }
        if (this->is_partitioned(from_zone, to_zone))
        {
            return;
        }
    }
    const int copies = this->occurs(this->settings.loss)          ? 0
                       : this->occurs(this->settings.duplication) ? 2
                                                                  : 1;
    for (int i = 0; i < copies; ++i)
    {
        this->schedule(this->random_delay(),
                       [this, from, to, bytes] { this->arrive(from, to, bytes); });
    }
}

void virtual_net::arrive(const endpoint& from, const endpoint& to, const packet_bytes& bytes)
{
    if (this->traced_flow != SIZE_MAX)
    {
        this->trace_packet(from, to, bytes);
    }
    const auto backend = this->backend_by_endpoint.find(to);
    if (backend != this->backend_by_endpoint.end())
    {
        this->receive_at_backend(backend->second, bytes);
        return;
    }
    const auto host = this->host_by_endpoint.find(to);
    if (host == this->host_by_endpoint.end() || !this->hosts[host->second]->alive)
    {
        return;
    }
    const std::size_t index = host->second;
    if (this->settings.policy != flow_policy::product && from == fabric_endpoint())
    {
        this->handle_with_baseline(index, bytes);
        return;
    }
    if (this->hosts[index]->paused)
    {
        auto& deferred = this->hosts[index]->deferred;
        if (deferred.size() < max_deferred)
        {
            deferred.push_back([this, from, to, bytes] { this->arrive(from, to, bytes); });
        }
        return;
    }
    this->deliver_event(index, datagram_event{from, bytes});
}

void virtual_net::run(millis duration)
{
    const millis end = this->clock + duration;
    while (!this->queue.empty() && this->queue.top().at <= end)
    {
        const delivery next = this->queue.top();
        this->queue.pop();
        this->clock = next.at;
        next.action();
    }
    this->clock = end;
}

millis virtual_net::now() const
{
    return this->clock;
}

const net_tally& virtual_net::tally() const
{
    return this->totals;
}

const virtual_host& virtual_net::host(std::size_t index) const
{
    return *this->hosts[index];
}

std::size_t virtual_net::host_count() const
{
    return this->hosts.size();
}

std::mt19937_64& virtual_net::random()
{
    return this->rng;
}

const std::vector<std::string>& virtual_net::event_trace() const
{
    return this->event_lines;
}

std::map<std::string, double> virtual_net::control_bytes() const
{
    std::map<std::string, double> busiest;
    for (const auto& host : this->hosts)
    {
        const double seconds = static_cast<double>((this->clock - host->started).count) / 1000.0;
        const counter_set& counters = host->core.counters;
        const std::map<std::string, double> own{
            {"heartbeat", counters[counter::control_bytes_heartbeat] / seconds},
            {"hints", counters[counter::control_bytes_hint] / seconds},
            {"records", counters[counter::control_bytes_records] / seconds}};
        double sum = 0;
        for (const auto& [kind, value] : own)
        {
            busiest[kind] = std::max(busiest[kind], value);
            sum += value;
        }
        busiest["all"] = std::max(busiest["all"], sum);
    }
    return busiest;
}

} // namespace briarbarrow

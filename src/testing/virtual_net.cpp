#include "testing/virtual_net.hpp"

#include <algorithm>

#include "testing/virtual_addresses.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::size_t max_postponed = 2'000;
constexpr millis told_of_host_after{300};
constexpr millis told_configuration_after{200};
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

bool virtual_net::later::operator()(const delivery& left, const delivery& right) const
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
            this->backend_at[backend.packets] = static_cast<int>(this->backend_zone.size());
            this->backend_zone.push_back(std::stoul(backend.zone.substr(5)));
            this->backend_service.push_back(service.name);
            this->drained_since.emplace_back();
        }
    }
    this->post(fabric_interval, [this] { this->update_fabric(); });
}

void virtual_net::post(millis delay, std::function<void()> action)
{
    this->queue.push(delivery{this->clock + delay, this->next_order++, std::move(action)});
}

bool virtual_net::passes(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(this->rng) < probability;
}

millis virtual_net::random_delay()
{
    std::uniform_int_distribution<std::int64_t> any(this->settings.least_delay.count,
                                                    this->settings.most_delay.count);
    return millis{any(this->rng)};
}

void virtual_net::start_host(std::size_t index)
{
    while (this->hosts.size() <= index)
    {
        this->hosts.push_back(std::make_unique<virtual_host>());
        this->listed.push_back(false);
        this->listing_changes.emplace_back();
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
    this->host_at[info.packets] = index;
    this->host_at[info.peers] = index;
    core_settings told;
    told.self = info;
    told.fabric = {fabric_endpoint().address};
    start_core(made->core, told, this->clock);
    this->hosts[index] = std::move(made);
    const auto introduce = [this](std::size_t to, std::size_t whom)
    {
        host_info named = this->hosts[whom]->info;
        named.incarnation = 0;
        this->feed(to, hosts_event{{reported_host{named, host_state::unheard}}});
    };
    for (std::size_t other = 0; other < this->hosts.size(); ++other)
    {
        if (other != index && this->hosts[other]->alive)
        {
            introduce(index, other);
            this->post(told_of_host_after, [introduce, other, index] { introduce(other, index); });
        }
    }
    this->post(told_configuration_after,
               [this, index]
               {
                   const std::uint32_t digest = static_cast<std::uint32_t>(this->current.revision);
                   this->feed(index, configuration_event{this->current, digest});
               });
    this->tick_host(index);
}

void virtual_net::crash_host(std::size_t index)
{
    this->hosts[index]->alive = false;
}

void virtual_net::stop_host(std::size_t index)
{
    this->feed(index, leave_event{});
}

void virtual_net::pause_host(std::size_t index)
{
    this->hosts[index]->paused = true;
}

void virtual_net::wake_host(std::size_t index)
{
    virtual_host& host = *this->hosts[index];
    host.paused = false;
    std::deque<std::function<void()>> waiting;
    waiting.swap(host.postponed);
    for (const auto& action : waiting)
    {
        action();
    }
    this->tick_host(index);
}

void virtual_net::cut_zone(std::size_t zone, bool inbound, bool outbound)
{
    for (std::size_t other = 0; other < this->settings.zones; ++other)
    {
        if (other == zone)
        {
            continue;
        }
        if (outbound)
        {
            this->cuts.insert({zone, other});
        }
        if (inbound)
        {
            this->cuts.insert({other, zone});
        }
    }
}

void virtual_net::heal()
{
    this->cuts.clear();
}

bool virtual_net::is_cut(std::size_t from_zone, std::size_t to_zone) const
{
    return this->cuts.contains({from_zone, to_zone});
}

void virtual_net::configure(const configuration& value, millis spread)
{
    this->current = value;
    const auto digest = static_cast<std::uint32_t>(value.revision);
    for (const service_config& service : value.services)
    {
        for (const backend_config& backend : service.backends)
        {
            const auto index = static_cast<std::size_t>(this->backend_at.at(backend.packets));
            millis& since = this->drained_since[index];
            if (backend.state == backend_state::active)
            {
                since = millis{};
            }
            else if (since == millis{})
            {
                since = this->clock + spread;
            }
        }
    }
    for (std::size_t i = 0; i < this->hosts.size(); ++i)
    {
        std::uniform_int_distribution<std::int64_t> any(0, spread.count);
        this->post(millis{any(this->rng)},
                   [this, i, value, digest] {
                       this->feed(i, configuration_event{value, digest});
                   });
    }
}

void virtual_net::configure_one(const configuration& value, std::size_t host)
{
    this->current = value;
    const auto digest = static_cast<std::uint32_t>(value.revision);
    this->feed(host, configuration_event{value, digest});
}

const configuration& virtual_net::configured() const
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
    this->feed(index, tick_event{});
    const millis started = host.started;
    this->post(tick_interval,
               [this, index, started]
               {
                   // A host that was started again has a beat of its own.
                   if (this->hosts[index]->started == started)
                   {
                       this->tick_host(index);
                   }
               });
}

void virtual_net::feed(std::size_t index, const event& happened)
{
    virtual_host& host = *this->hosts[index];
    if (!host.alive)
    {
        return;
    }
    if (host.paused)
    {
        if (host.postponed.size() < max_postponed)
        {
            host.postponed.push_back([this, index, happened] { this->feed(index, happened); });
        }
        return;
    }
    if (const auto* told = std::get_if<configuration_event>(&happened))
    {
        if (told->value.revision > host.held.revision)
        {
            host.held = told->value;
        }
    }
    step(host.core, happened, this->clock, host.out);
    this->carry_out(index);
    this->check_host(index);
}

void virtual_net::check_host(std::size_t index)
{
    virtual_host& host = *this->hosts[index];
    if (host.core.revision < host.revision_seen)
    {
        ++this->seen.revision_fell;
        this->fault("revision fell at " + host.info.name);
    }
    host.revision_seen = host.core.revision;
}

void virtual_net::carry_out(std::size_t index)
{
    virtual_host& host = *this->hosts[index];
    for (const outgoing& datagram : host.out.datagrams)
    {
        packet_bytes bytes(datagram.head.begin(), datagram.head.end());
        bytes.insert(bytes.end(), datagram.body.begin(), datagram.body.end());
        if (datagram.to_caller)
        {
            this->post(this->random_delay(),
                       [this, bytes]
                       {
                           const auto packet = parse_packet(bytes);
                           this->at_caller_reset(packet.value());
                       });
            continue;
        }
        this->send_datagram(host.info.packets, datagram.to, bytes);
    }
    for (const outgoing_list& list : host.out.lists)
    {
        const auto to = this->host_at.find(list.to);
        if (to == this->host_at.end() || this->is_cut(host.zone, this->hosts[to->second]->zone))
        {
            continue;
        }
        const std::size_t receiver = to->second;
        const hosts_event told{list.list.hosts};
        this->post(peer_link_delay, [this, receiver, told] { this->feed(receiver, told); });
    }
    for (const endpoint& source : host.out.configuration_sources)
    {
        const std::size_t from = this->host_at.at(source);
        const std::size_t from_zone = this->hosts[from]->zone;
        const bool cut = this->is_cut(host.zone, from_zone) || this->is_cut(from_zone, host.zone);
        if (cut || !this->hosts[from]->alive)
        {
            continue;
        }
        const configuration value = this->hosts[from]->held;
        const auto digest = static_cast<std::uint32_t>(value.revision);
        this->post(peer_link_delay,
                   [this, index, value, digest] {
                       this->feed(index, configuration_event{value, digest});
                   });
    }
    for (const std::string& text : host.out.events)
    {
        this->told.push_back(std::to_string(this->clock.count) + " " + host.info.name + ": " +
                             text);
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
    const auto sender = this->host_at.find(from);
    const auto receiver = this->host_at.find(to);
    const auto backend = this->backend_at.find(to);
    if (sender != this->host_at.end())
    {
        const std::size_t from_zone = this->hosts[sender->second]->zone;
        std::size_t to_zone = from_zone;
        if (receiver != this->host_at.end())
        {
            to_zone = this->hosts[receiver->second]->zone;
        }
        else if (backend != this->backend_at.end())
        {
            to_zone = this->backend_zone[static_cast<std::size_t>(backend->second)];
        }
        if (this->is_cut(from_zone, to_zone))
        {
            return;
        }
    }
    const int copies = this->passes(this->settings.loss)     ? 0
                       : this->passes(this->settings.repeat) ? 2
                                                             : 1;
    for (int i = 0; i < copies; ++i)
    {
        this->post(this->random_delay(),
                   [this, from, to, bytes] { this->arrive(from, to, bytes); });
    }
}

void virtual_net::arrive(const endpoint& from, const endpoint& to, const packet_bytes& bytes)
{
    if (this->traced != SIZE_MAX)
    {
        this->trace(from, to, bytes);
    }
    const auto backend = this->backend_at.find(to);
    if (backend != this->backend_at.end())
    {
        this->at_backend(backend->second, bytes);
        return;
    }
    const auto host = this->host_at.find(to);
    if (host == this->host_at.end() || !this->hosts[host->second]->alive)
    {
        return;
    }
    const std::size_t index = host->second;
    if (this->settings.policy != flow_policy::product && from == fabric_endpoint())
    {
        this->feed_baseline(index, bytes);
        return;
    }
    if (this->hosts[index]->paused)
    {
        auto& postponed = this->hosts[index]->postponed;
        if (postponed.size() < max_postponed)
        {
            postponed.push_back([this, from, to, bytes] { this->arrive(from, to, bytes); });
        }
        return;
    }
    this->feed(index, datagram_event{from, bytes});
}

void virtual_net::run(millis span)
{
    const millis end = this->clock + span;
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
    return this->seen;
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

const std::vector<std::string>& virtual_net::story() const
{
    return this->told;
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

#include "adapters/host_daemon.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "adapters/json_codec.hpp"
#include "adapters/log.hpp"
#include "adapters/metrics_page.hpp"
#include "net/monotonic_clock.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::size_t max_story_entries = 1'000;
constexpr std::size_t watchers_per_zone = 2;
constexpr millis seed_interval{5'000};
constexpr millis configuration_request_interval{500};

// Settings, listings and hellos give a host's name and addresses, but are no evidence of its state:
// the incarnation is dropped and the state is unheard.
reported_host as_unverified_host(host_info info)
{
    info.incarnation = 0;
    return reported_host{info, host_state::unheard};
}

} // namespace

host_daemon::host_daemon(const daemon_settings& settings, std::function<void()> stopped)
    : settings(settings), stopped(std::move(stopped))
{
}

host_daemon::~host_daemon()
{
    if (this->tick_source != 0)
    {
        g_source_remove(this->tick_source);
    }
}

result<bool, text_error> host_daemon::start()
{
    const millis now = monotonic_now();
    const std::int64_t milliseconds_per_second = 1000;
    this->settings.self.incarnation =
        static_cast<std::uint64_t>(wall_now().count / milliseconds_per_second);
    core_settings core_options;
    core_options.self = this->settings.self;
    core_options.fabric = this->settings.fabric_sources;
    start_core(this->core, core_options, now);
    for (const auto open_sockets :
         {&host_daemon::open_packets, &host_daemon::open_peers, &host_daemon::open_operators})
    {
        auto opened = (this->*open_sockets)();
        if (!opened)
        {
            return opened;
        }
    }
    this->open_platform();
    this->last_tick = now;
    this->tick_source = g_timeout_add(static_cast<guint>(tick_interval.count), on_tick, this);
    this->record_event("host " + this->settings.self.name + " starts in zone " +
                       this->settings.self.zone);
    this->seed_peers();
    return true;
}

result<bool, text_error> host_daemon::open_packets()
{
    auto port = packet_port::open(
        this->settings.self.packets,
        [this](const received_datagram& datagram)
        {
            step(this->core, datagram_event{datagram.from, datagram.bytes}, monotonic_now(),
                 this->pending);
        },
        [this] { this->flush(); });
    if (!port)
    {
        return port.error();
    }
    this->packets = std::move(port.value());
    if (this->settings.tun_device.empty())
    {
        return true;
    }
    auto device = open_tun_device(this->settings.tun_device);
    if (!device)
    {
        return device.error();
    }
    this->tun =
        std::make_unique<tun_port>(device.value(), [this](std::span<const std::uint8_t> bytes)
                                   { this->handle(packet_event{bytes}); });
    return true;
}

result<bool, text_error> host_daemon::open_peers()
{
    peer_link_callbacks callbacks;
    callbacks.on_message = [this](const peer_message& message, const auto& answer)
    {
        this->handle_peer_message(message, answer);
    };
    callbacks.is_member = [this](const ip_address& address)
    {
        return this->is_member_address(address);
    };
    callbacks.make_hello = [this]
    {
        return hello{this->core.hosts.self, this->core.hosts.state};
    };
    callbacks.on_connection_error = [](const std::string& text)
    {
        log_warning(text);
    };
    auto link = peer_link::open(this->settings.self.peers, std::move(callbacks));
    if (!link)
    {
        return link.error();
    }
    this->peers = std::move(link.value());
    return true;
}

result<bool, text_error> host_daemon::open_operators()
{
    std::map<std::string, operator_page> pages;
    pages["/metrics"] = {"text/plain; version=0.0.4", [this]
                         {
                             return this->metrics_page();
                         }};
    pages["/status"] = {"application/json", [this]
                        {
                            return status_to_json(this->core, monotonic_now(), this->summaries());
                        }};
    pages["/configuration"] = {"application/json", [this]
                               {
                                   return this->configuration_text;
                               }};
    pages["/story"] = {"application/json", [this]
                       {
                           return this->event_trace_page();
                       }};
    auto opened = operator_endpoint::open(this->settings.self.operators, std::move(pages));
    if (!opened)
    {
        return opened.error();
    }
    this->operators = std::move(opened.value());
    return true;
}

void host_daemon::open_platform()
{
    platform_listener listener;
    listener.on_configuration = [this](const std::string& text)
    {
        this->handle_configuration_text(text);
    };
    listener.on_host = [this](const std::string& text)
    {
        const auto host = host_from_json(text);
        if (host)
        {
            this->handle(hosts_event{{as_unverified_host(host.value().info)}});
        }
    };
    listener.on_reachability_changed = [this](bool reachable)
    {
        this->record_event(reachable ? "the platform is reachable again"
                                     : "the platform is unreachable");
    };
    this->platform =
        std::make_unique<platform_client>(this->settings.platform, this->settings.platform_prefix,
                                          this->settings.self.name, std::move(listener));
}

void host_daemon::handle(const event& input)
{
    step(this->core, input, monotonic_now(), this->pending);
    this->flush();
}

void host_daemon::flush()
{
    this->send_to_callers();
    this->packets->send(this->pending.datagrams);
    this->request_configuration();
    for (const outgoing_host_list& list : this->pending.lists)
    {
        this->peers->send(list.to, list.list);
    }
    for (const std::string& text : this->pending.events)
    {
        this->record_event(text);
    }
    const bool may_stop = this->pending.may_stop;
    clear_actions(this->pending);
    if (may_stop && this->stopping && !this->finished)
    {
        this->finished = true;
        this->record_event("every record is at its owners: the planned stop is finished");
        this->stopped();
    }
}

// Asks one source only; if that fails, the next heartbeat names another one.
void host_daemon::request_configuration()
{
    const millis now = monotonic_now();
    const auto& sources = this->pending.configuration_sources;
    if (sources.empty() || now < this->next_configuration_request_at)
    {
        return;
    }
    this->next_configuration_request_at = now + configuration_request_interval;
    this->peers->send(sources.front(), configuration_request{this->core.revision});
}

void host_daemon::send_to_callers()
{
    for (outgoing& datagram : this->pending.datagrams)
    {
        if (!datagram.to_caller)
        {
            continue;
        }
        if (this->tun)
        {
            this->tun->send({datagram.head.data(), datagram.head.size()});
        }
        else if (this->settings.fabric_return)
        {
            const wire_buffer packet = datagram.head;
            encode_plain_header(datagram.head, {packet.data(), packet.size()});
            datagram.head.insert(datagram.head.end(), packet.begin(), packet.end());
            datagram.to = *this->settings.fabric_return;
        }
    }
    if (this->tun)
    {
        std::erase_if(this->pending.datagrams,
                      [](const outgoing& datagram) { return datagram.to_caller; });
    }
}

gboolean host_daemon::on_tick(gpointer self)
{
    static_cast<host_daemon*>(self)->tick();
    return G_SOURCE_CONTINUE;
}

void host_daemon::tick()
{
    const millis now = monotonic_now();
    this->tick_lateness.add(static_cast<double>((now - this->last_tick - tick_interval).count));
    this->last_tick = now;
    const std::int64_t before = g_get_monotonic_time();
    step(this->core, tick_event{}, now, this->pending);
    this->tick_duration.add(static_cast<double>(g_get_monotonic_time() - before));
    this->flush();
    if (this->finished)
    {
        return;
    }
    this->update_listing();
    this->update_platform_watching();
    const bool changed = this->core.hosts.changes != this->seen_host_changes;
    this->seen_host_changes = this->core.hosts.changes;
    if (changed || now >= this->next_seed_at)
    {
        this->unlist_gone_hosts();
    }
    if (now >= this->next_seed_at)
    {
        this->seed_peers();
    }
    if (this->stopping && now - this->stop_started_at >= this->settings.stop_timeout)
    {
        this->finished = true;
        this->record_event("planned stop timed out; " +
                           std::to_string(this->core.sweep.unsynced_records) +
                           " records were not moved to their owners");
        this->stopped();
    }
}

void host_daemon::stop()
{
    if (this->stopping)
    {
        if (!this->finished)
        {
            this->finished = true;
            this->record_event(
                "second stop request: stopping at once, without waiting for records to move");
            this->stopped();
        }
        return;
    }
    this->stopping = true;
    this->stop_started_at = monotonic_now();
    this->record_event("planned stop started");
    this->handle(leave_event{});
}

result<bool, text_error> host_daemon::reload(const daemon_settings& wanted)
{
    if (!is_reloadable(this->settings, wanted))
    {
        return text_error{"only fabric.sources, peer and stop can change while the host runs; the "
                          "settings in force stay"};
    }
    this->settings.fabric_sources = wanted.fabric_sources;
    this->settings.peers = wanted.peers;
    this->settings.stop_timeout = wanted.stop_timeout;
    this->core.settings.fabric = wanted.fabric_sources;
    this->seed_peers();
    this->record_event("settings were read again");
    return true;
}

void host_daemon::handle_configuration_text(const std::string& text)
{
    auto read = configuration_from_json(text);
    if (!read)
    {
        ++this->core.counters[counter::configurations_bad];
        this->record_event("configuration rejected, keeping the one in force: " +
                           read.error().message);
        return;
    }
    const std::uint64_t revision = read.value().revision;
    const std::uint32_t digest = digest_text(text);
    const bool newer = !has_configuration(this->core, revision);
    this->handle(configuration_event{std::move(read.value()), digest});
    if (newer && this->core.revision == revision)
    {
        this->configuration_text = text;
    }
}

void host_daemon::handle_peer_message(const peer_message& message,
                                      const std::function<void(const peer_message&)>& answer)
{
    if (const auto* greeting = std::get_if<hello>(&message))
    {
        this->handle(hosts_event{{as_unverified_host(greeting->sender)}});
    }
    else if (const auto* list = std::get_if<host_list>(&message))
    {
        this->handle(hosts_event{list->hosts});
    }
    else if (const auto* request = std::get_if<configuration_request>(&message))
    {
        if (this->core.revision > request->held_revision)
        {
            answer(configuration_response{this->configuration_text});
        }
    }
    else if (const auto* reply = std::get_if<configuration_response>(&message))
    {
        this->handle_configuration_text(reply->text);
    }
}

bool host_daemon::is_member_address(const ip_address& address) const
{
    const auto& others = this->core.hosts.others;
    const auto has_address = [&address](const auto& entry)
    {
        return entry.second.info.peers.address == address;
    };
    return std::any_of(others.begin(), others.end(), has_address);
}

void host_daemon::record_event(const std::string& text)
{
    log_info(text);
    this->event_trace.push_back(event_trace_entry{wall_now(), text});
    if (this->event_trace.size() > max_story_entries)
    {
        this->event_trace.pop_front();
    }
}

void host_daemon::update_listing()
{
    const host_state state = this->core.hosts.state;
    const std::uint64_t incarnation = this->core.hosts.self.incarnation;
    if (state == this->listed_state && incarnation == this->listed_incarnation)
    {
        return;
    }
    this->listed_state = state;
    this->listed_incarnation = incarnation;
    if (state == host_state::left)
    {
        this->platform->unlist_host();
        return;
    }
    this->platform->list_host(host_to_json(reported_host{this->core.hosts.self, state}));
}

// The watchers of a zone are its first live hosts by identifier. Every host computes this from its
// own view, so no messages are needed; while views differ, a few more hosts may watch.
void host_daemon::update_platform_watching()
{
    const membership& hosts = this->core.hosts;
    std::size_t before = 0;
    for (const auto& [id, other] : hosts.others)
    {
        const bool same_zone = other.info.zone == hosts.self.zone;
        const bool serves = other.state == host_state::live && !other.suspected;
        before += same_zone && serves && id < hosts.self.id ? 1 : 0;
    }
    this->platform->set_watching(before < watchers_per_zone);
}

// Removes the platform's entries of hosts declared gone. Only the first live host by identifier
// does this. Repeated at every seed interval, since the platform may be unreachable.
void host_daemon::unlist_gone_hosts()
{
    const membership& hosts = this->core.hosts;
    const auto is_earlier = [&hosts](const auto& entry)
    {
        const bool serves = entry.second.state == host_state::live && !entry.second.suspected;
        return serves && entry.first < hosts.self.id;
    };
    if (std::any_of(hosts.others.begin(), hosts.others.end(), is_earlier))
    {
        return;
    }
    for (const auto& [id, other] : hosts.others)
    {
        if (other.state == host_state::gone)
        {
            this->platform->unlist_gone_host(other.info.name, other.info.incarnation);
        }
    }
}

void host_daemon::seed_peers()
{
    this->next_seed_at = monotonic_now() + seed_interval;
    hosts_event configured;
    for (const host_info& peer : this->settings.peers)
    {
        configured.hosts.push_back(as_unverified_host(peer));
    }
    this->handle(configured);
}

std::string host_daemon::metrics_page()
{
    const packet_port_counts& port = this->packets->counts();
    const peer_link_counts& link = this->peers->counts();
    const platform_call_counts& calls = this->platform->calls();
    const std::vector<adapter_metric> counters{{"datagrams_received", port.received},
                                               {"datagrams_sent", port.sent},
                                               {"datagrams_not_sent", port.send_failures},
                                               {"receive_batches", port.batches},
                                               {"peer_messages_sent", link.messages_sent},
                                               {"peer_messages_received", link.messages_received},
                                               {"peer_links_refused", link.refused},
                                               {"peer_link_faults", link.faults},
                                               {"peer_link_bytes_sent", link.bytes_sent},
                                               {"platform_reads", calls.reads},
                                               {"platform_writes", calls.writes},
                                               {"platform_watches", calls.watches},
                                               {"platform_failures", calls.failures}};
    return make_metrics_page(this->core, monotonic_now(), counters, this->summaries());
}

std::vector<adapter_summary> host_daemon::summaries() const
{
    return {{"tick_lateness_milliseconds", "How late ticks come.", &this->tick_lateness},
            {"tick_duration_microseconds", "How long ticks take.", &this->tick_duration}};
}

std::string host_daemon::event_trace_page() const
{
    nlohmann::json entries = nlohmann::json::array();
    for (const event_trace_entry& entry : this->event_trace)
    {
        entries.push_back({{"when_ms", entry.when.count}, {"event", entry.text}});
    }
    return entries.dump();
}

} // namespace briarbarrow

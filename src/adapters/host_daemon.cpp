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
constexpr millis configuration_ask_interval{500};

// Names and addresses as a person or a list gives them say nothing of the host's state.
told_host as_hearsay(host_info info)
{
    info.incarnation = 0;
    return told_host{info, host_state::unheard};
}

} // namespace

host_daemon::host_daemon(const daemon_settings& settings, std::function<void()> stopped)
    : settings(settings), stopped(std::move(stopped))
{
}

host_daemon::~host_daemon()
{
    if (this->ticker != 0)
    {
        g_source_remove(this->ticker);
    }
}

result<bool, text_error> host_daemon::start()
{
    const millis now = monotonic_now();
    const std::int64_t milliseconds_per_second = 1000;
    this->settings.self.incarnation =
        static_cast<std::uint64_t>(wall_now().count / milliseconds_per_second);
    core_settings told;
    told.self = this->settings.self;
    told.fabric = this->settings.fabric_sources;
    start_core(this->core, told, now);
    for (const auto open :
         {&host_daemon::open_packets, &host_daemon::open_peers, &host_daemon::open_operators})
    {
        auto opened = (this->*open)();
        if (!opened)
        {
            return opened;
        }
    }
    this->open_platform();
    this->last_tick = now;
    this->ticker = g_timeout_add(static_cast<guint>(tick_interval.count), on_tick, this);
    this->remember("host " + this->settings.self.name + " starts in zone " +
                   this->settings.self.zone);
    this->seed_peers();
    return true;
}

result<bool, text_error> host_daemon::open_packets()
{
    auto port = packet_port::open(
        this->settings.self.packets,
        [this](const endpoint& from, std::span<const std::uint8_t> bytes) {
            step(this->core, datagram_event{from, bytes}, monotonic_now(), this->pending);
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
    peer_listener listener;
    listener.on_message = [this](const peer_message& message, const auto& answer)
    {
        this->take_peer_message(message, answer);
    };
    listener.is_member = [this](const ip_address& address)
    {
        return this->is_member_address(address);
    };
    listener.make_hello = [this]
    {
        return hello{this->core.hosts.self, this->core.hosts.state};
    };
    listener.on_fault = [](const std::string& text)
    {
        log_warning(text);
    };
    auto link = peer_link::open(this->settings.self.peers, std::move(listener));
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
                           return this->story_page();
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
        this->take_configuration_text(text);
    };
    listener.on_host = [this](const std::string& text)
    {
        const auto host = host_from_json(text);
        if (host)
        {
            this->handle(hosts_event{{as_hearsay(host.value().info)}});
        }
    };
    listener.on_reachability_changed = [this](bool reachable)
    {
        this->remember(reachable ? "the platform answers again" : "the platform does not answer");
    };
    this->platform =
        std::make_unique<platform_client>(this->settings.platform, this->settings.platform_prefix,
                                          this->settings.self.name, std::move(listener));
}

void host_daemon::handle(const event& happened)
{
    step(this->core, happened, monotonic_now(), this->pending);
    this->flush();
}

void host_daemon::flush()
{
    this->send_to_callers();
    this->packets->send(this->pending.datagrams);
    this->ask_for_configuration();
    for (const outgoing_list& list : this->pending.lists)
    {
        this->peers->send(list.to, list.list);
    }
    for (const std::string& text : this->pending.events)
    {
        this->remember(text);
    }
    const bool may_stop = this->pending.may_stop;
    clear_actions(this->pending);
    if (may_stop && this->stopping && !this->finished)
    {
        this->finished = true;
        this->remember("every record is where it belongs: the planned stop is finished");
        this->stopped();
    }
}

// One source is enough; when it fails, the next heartbeat names another one.
void host_daemon::ask_for_configuration()
{
    const millis now = monotonic_now();
    const auto& sources = this->pending.configuration_sources;
    if (sources.empty() || now < this->next_configuration_ask)
    {
        return;
    }
    this->next_configuration_ask = now + configuration_ask_interval;
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
            encode_plain(datagram.head, {packet.data(), packet.size()});
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
    this->step_time.add(static_cast<double>(g_get_monotonic_time() - before));
    this->flush();
    if (this->finished)
    {
        return;
    }
    this->list_host();
    this->update_watching();
    const bool changed = this->core.hosts.changes != this->seen_changes;
    this->seen_changes = this->core.hosts.changes;
    if (changed || now >= this->next_seed)
    {
        this->unlist_lost_hosts();
    }
    if (now >= this->next_seed)
    {
        this->seed_peers();
    }
    if (this->stopping && now - this->stop_since >= this->settings.stop_timeout)
    {
        this->finished = true;
        this->remember("the planned stop takes too long and ends now; " +
                       std::to_string(this->core.sweep.unmoved_before) + " records were not moved");
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
            this->remember("asked twice to stop: stops without waiting for its records");
            this->stopped();
        }
        return;
    }
    this->stopping = true;
    this->stop_since = monotonic_now();
    this->remember("a planned stop begins");
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
    this->remember("settings were read again");
    return true;
}

void host_daemon::take_configuration_text(const std::string& text)
{
    auto read = configuration_from_json(text);
    if (!read)
    {
        ++this->core.counters[counter::configurations_bad];
        this->remember("a configuration is refused, the one in force stays: " +
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

void host_daemon::take_peer_message(const peer_message& message,
                                    const std::function<void(const peer_message&)>& answer)
{
    if (const auto* greeting = std::get_if<hello>(&message))
    {
        this->handle(hosts_event{{as_hearsay(greeting->sender)}});
    }
    else if (const auto* list = std::get_if<host_list>(&message))
    {
        this->handle(hosts_event{list->hosts});
    }
    else if (const auto* request = std::get_if<configuration_request>(&message))
    {
        if (this->core.revision > request->held_revision)
        {
            answer(configuration_reply{this->configuration_text});
        }
    }
    else if (const auto* reply = std::get_if<configuration_reply>(&message))
    {
        this->take_configuration_text(reply->text);
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

void host_daemon::remember(const std::string& text)
{
    log_info(text);
    this->story.push_back(story_entry{wall_now(), text});
    if (this->story.size() > max_story_entries)
    {
        this->story.pop_front();
    }
}

void host_daemon::list_host()
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
    this->platform->list_host(host_to_json(told_host{this->core.hosts.self, state}));
}

// The zone's watchers are the first live hosts of the zone by identifier; all hosts agree on them
// without a word, and where they don't for a moment, a few more watch.
void host_daemon::update_watching()
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

// One host does it for all: the first live one by identifier. Asked again from time to time, since
// the platform may not answer.
void host_daemon::unlist_lost_hosts()
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
    this->next_seed = monotonic_now() + seed_interval;
    hosts_event told;
    for (const host_info& peer : this->settings.peers)
    {
        told.hosts.push_back(as_hearsay(peer));
    }
    this->handle(told);
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
            {"tick_duration_microseconds", "How long ticks take.", &this->step_time}};
}

std::string host_daemon::story_page() const
{
    nlohmann::json entries = nlohmann::json::array();
    for (const story_entry& entry : this->story)
    {
        entries.push_back({{"when_ms", entry.when.count}, {"event", entry.text}});
    }
    return entries.dump();
}

} // namespace briarbarrow

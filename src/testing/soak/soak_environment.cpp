#include "testing/soak/soak_environment.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include <arpa/inet.h>
#include <glib-unix.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include "core/ids.hpp"
#include "net/monotonic_clock.hpp"
#include "net/socket_address.hpp"

namespace briarbarrow
{

namespace
{

using json = nlohmann::json;

constexpr std::uint16_t packet_port = 8172;
constexpr std::uint16_t store_port = 8169;
constexpr std::size_t caller_count = 12;
constexpr millis first_retransmission_delay{200};
constexpr millis request_timeout{1'000};
constexpr millis opening_timeout{1'400};
constexpr int max_attempts = 3;
constexpr millis execution_duration{12};
constexpr millis readiness_probe_interval{500};
// Entries of servers that are gone expire after three heartbeat intervals.
constexpr millis entry_expiry{3'600};
constexpr std::uint32_t caller_sequence = 5'000;
constexpr std::uint32_t service_address = 0xc6120001; // 198.18.0.1

std::uint32_t ipv4_number(const endpoint& value)
{
    const std::uint8_t* bytes = value.address.bytes.data() + 12;
    return static_cast<std::uint32_t>(bytes[0]) << 24 | static_cast<std::uint32_t>(bytes[1]) << 16 |
           static_cast<std::uint32_t>(bytes[2]) << 8 | bytes[3];
}

endpoint ipv4_endpoint(std::uint32_t address, std::uint16_t port)
{
    const std::uint32_t raw = htonl(address);
    return endpoint{make_v4(reinterpret_cast<const std::uint8_t*>(&raw)), port};
}

void send_to(int descriptor, const endpoint& to, const std::vector<std::uint8_t>& bytes)
{
    sockaddr_storage address{};
    const socklen_t length = to_socket_address(to, address);
    static_cast<void>(sendto(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT,
                             reinterpret_cast<sockaddr*>(&address), length));
}

int open_udp(const endpoint& at)
{
    const int descriptor = open_udp_socket(at);
    if (descriptor < 0)
    {
        std::cerr << "soak cannot open a UDP socket on " << to_string(at) << "\n";
        std::exit(EXIT_FAILURE);
    }
    return descriptor;
}

std::uint64_t flow_id(const soak_header& header)
{
    return static_cast<std::uint64_t>(header.source) << 16 | header.source_port;
}

} // namespace

soak_environment::soak_environment(std::uint64_t seed, int loopback_net)
    : random(seed), loopback_net(loopback_net), now(monotonic_now())
{
    this->store_server = std::make_unique<soak_store>(this->address(4, 1, store_port));
    for (std::size_t i = 0; i < caller_count; ++i)
    {
        this->callers.push_back(open_udp(this->address(3, static_cast<int>(i) + 1, packet_port)));
    }
    this->routes = {{8443, "orders", false}, {8080, "orders", true}, {9443, "sheets", false}};
    this->write_configuration();
}

soak_environment::~soak_environment()
{
    for (const auto& backend : this->servers)
    {
        if (backend->descriptor >= 0)
        {
            g_source_remove(backend->source);
            close(backend->descriptor);
        }
    }
    for (const int descriptor : this->callers)
    {
        close(descriptor);
    }
}

endpoint soak_environment::address(int part, int number, std::uint16_t port) const
{
    return *parse_endpoint("127." + std::to_string(this->loopback_net) + "." +
                           std::to_string(part) + "." + std::to_string(number) + ":" +
                           std::to_string(port));
}

std::size_t soak_environment::add_host(const endpoint& packet_endpoint,
                                       const endpoint& readiness_endpoint, const std::string& zone)
{
    soak_host& host = this->daemons.emplace_back();
    host.packet_endpoint = packet_endpoint;
    host.readiness_endpoint = readiness_endpoint;
    host.zone = zone;
    host.last_fault = this->now;
    host.readiness_channel = std::make_unique<http_channel>(readiness_endpoint);
    return this->daemons.size() - 1;
}

std::size_t soak_environment::add_backend(const std::string& service, const std::string& zone,
                                          const endpoint& at)
{
    auto added = std::make_unique<soak_backend>();
    added->instance = 0x7f000000 + this->next_instance++;
    char name[32];
    std::snprintf(name, sizeof(name), "i-%llx", static_cast<unsigned long long>(added->instance));
    added->name = name;
    added->service = service;
    added->zone = zone;
    added->address = at;
    added->descriptor = open_udp(at);
    added->source = g_unix_fd_add(added->descriptor, G_IO_IN, on_backend, this);
    auto health = http_responder::open(at,
                                       [raw = added.get()](const http_query& /*query*/)
                                       {
                                           http_page page;
                                           page.headers = "Instance-Id: " + raw->name + "\r\n";
                                           page.is_deferred = raw->is_unresponsive;
                                           return page;
                                       });
    if (health)
    {
        added->health = std::move(health).value();
    }
    added->cold_until = this->is_started ? this->now + soak_warm_up : millis{};
    this->register_backend(*added);
    this->servers.push_back(std::move(added));
    return this->servers.size() - 1;
}

void soak_environment::register_backend(const soak_backend& backend)
{
    const json entry{{"Service", backend.service},
                     {"Address", to_string(backend.address)},
                     {"Zone", backend.zone},
                     {"Version", "v1"},
                     {"MaxConcurrent", 4},
                     {"State", backend.is_draining ? "draining" : "ready"},
                     {"WarmupLeftMs", std::max(millis{}, backend.cold_until - this->now).count},
                     {"CallSeq", 1},
                     {"born", 1'700'000'000'000}};
    this->store_server->put_if_lost("servers/" + backend.name, entry.dump());
}

void soak_environment::end_backend(std::size_t index)
{
    soak_backend& backend = *this->servers[index];
    if (backend.descriptor < 0)
    {
        return;
    }
    g_source_remove(backend.source);
    close(backend.descriptor);
    backend.descriptor = -1;
    backend.health.reset();
    backend.last_fault = this->now;
    this->store_server->remove("servers/" + backend.name);
}

void soak_environment::drain_backend(std::size_t index)
{
    soak_backend& backend = *this->servers[index];
    backend.is_draining = true;
    backend.drain_started_at = this->now;
    this->register_backend(backend);
}

void soak_environment::set_unresponsive(std::size_t index, bool unresponsive)
{
    this->servers[index]->is_unresponsive = unresponsive;
    this->servers[index]->last_fault = this->now;
}

void soak_environment::write_configuration()
{
    this->version += 1 + this->random() % 3;
    json routes = json::array();
    for (const soak_route& route : this->routes)
    {
        routes.push_back(json{{"Name", "r-" + std::to_string(route.port)},
                              {"Host", "198.18.0.1"},
                              {"Prefix", "/" + std::to_string(route.port) + "/"},
                              {"Type", route.is_unsafe ? "unsafe" : "safe"},
                              {"TimeoutMs", request_timeout.count},
                              {"SloMs", 200},
                              {"Priority", 1},
                              {"Service", route.service}});
    }
    const json value{{"Version", this->version},
                     {"Routes", routes},
                     {"Services",
                      {{{"Name", "orders"},
                        {"HealthPath", "/health"},
                        {"WarmupS", static_cast<double>(soak_warm_up.count) / 1'000},
                        {"WarmupPerS", soak_warm_up_per_s}}}},
                     {"Limits", {{"IdleTimeoutMs", 15'000}}}};
    this->configuration_text = value.dump();
    this->store_server->put("op/config", this->configuration_text);
}

void soak_environment::evacuate_zone(const std::string& zone)
{
    this->evacuated_zone = zone;
    this->evacuated_at = this->now;
    this->store_server->put("op/evacuate/" + zone, "{}");
}

void soak_environment::readmit_zone()
{
    this->store_server->remove("op/evacuate/" + this->evacuated_zone);
    this->evacuated_zone.clear();
}

const std::map<std::string, std::uint64_t>& soak_environment::zone_openings() const
{
    return this->openings_by_zone;
}

void soak_environment::restore_store()
{
    this->store_server->restore_copy();
    this->store_server->put_if_lost("op/config", this->configuration_text);
    for (const auto& backend : this->servers)
    {
        const std::string key = "op/evacuate/" + backend->zone;
        if (backend->zone == this->evacuated_zone)
        {
            this->store_server->put_if_lost(key, "{}");
        }
        else
        {
            this->store_server->remove(key);
        }
    }
    for (const auto& backend : this->servers)
    {
        if (backend->descriptor >= 0)
        {
            this->register_backend(*backend);
        }
    }
    this->scheduled_actions.emplace_back(this->now + entry_expiry,
                                         [this]()
                                         {
                                             for (const auto& backend : this->servers)
                                             {
                                                 if (backend->descriptor < 0)
                                                 {
                                                     this->store_server->remove("servers/" +
                                                                                backend->name);
                                                 }
                                             }
                                         });
}

void soak_environment::add_route()
{
    const auto port = static_cast<std::uint16_t>(20'000 + this->version);
    this->added_route = {port, "sheets", false};
    this->route_added_at = this->now;
    this->routes.push_back(this->added_route);
    this->write_configuration();
}

void soak_environment::remove_route()
{
    if (this->routes.size() <= 3)
    {
        return;
    }
    this->removed_route = this->routes.back();
    this->route_removed_at = this->now;
    this->routes.pop_back();
    this->added_route = {};
    this->write_configuration();
}

soak_store& soak_environment::store()
{
    return *this->store_server;
}

soak_report& soak_environment::report()
{
    return this->totals;
}

std::vector<soak_host>& soak_environment::hosts()
{
    return this->daemons;
}

std::vector<std::unique_ptr<soak_backend>>& soak_environment::backends()
{
    return this->servers;
}

void soak_environment::require_answers()
{
    this->answers_required = true;
    for (const auto& backend : this->servers)
    {
        if (backend->descriptor >= 0 && !backend->is_draining)
        {
            this->openings_by_zone.try_emplace(backend->zone, 0);
        }
    }
}

void soak_environment::record_fault(std::size_t host)
{
    this->daemons[host].last_fault = this->now;
}

void soak_environment::record_fault_on_all()
{
    for (soak_host& host : this->daemons)
    {
        host.last_fault = this->now;
    }
}

void soak_environment::report_violation(const std::string& text)
{
    this->totals.violations.push_back(text);
}

bool soak_environment::is_stable(const soak_host& host) const
{
    return this->now > host.last_fault + soak_stable_window;
}

soak_host* soak_environment::find_host(const endpoint& packet_endpoint)
{
    const auto found = std::find_if(this->daemons.begin(), this->daemons.end(),
                                    [&packet_endpoint](const soak_host& host)
                                    { return host.packet_endpoint == packet_endpoint; });
    return found == this->daemons.end() ? nullptr : &*found;
}

void soak_environment::tick(millis now, int new_requests)
{
    this->is_started = true;
    this->now = now;
    this->store_server->tick();
    if (now >= this->next_readiness_probe)
    {
        this->next_readiness_probe = now + readiness_probe_interval;
        for (soak_host& host : this->daemons)
        {
            this->probe_readiness(host);
        }
    }
    for (std::size_t i = 0; i < this->callers.size(); ++i)
    {
        this->receive_at_caller(i);
    }
    std::vector<std::function<void()>> due;
    std::erase_if(this->scheduled_actions,
                  [now, &due](auto& entry)
                  {
                      if (entry.first > now)
                      {
                          return false;
                      }
                      due.push_back(std::move(entry.second));
                      return true;
                  });
    for (const std::function<void()>& action : due)
    {
        action();
    }
    for (int i = 0; i < new_requests; ++i)
    {
        this->start_request(this->routes[this->random() % 3], 0);
    }
    if (this->random() % 40 == 0 && this->added_route.port != 0)
    {
        this->start_request(this->added_route, 1);
    }
    if (this->random() % 40 == 0 && this->removed_route.port != 0)
    {
        this->start_request(this->removed_route, -1);
    }
    std::vector<request_ptr> requests;
    for (const auto& [key, request] : this->open_requests)
    {
        requests.push_back(request);
    }
    for (const request_ptr& request : requests)
    {
        this->send_if_due(request);
    }
}

void soak_environment::probe_readiness(soak_host& host)
{
    if (host.has_pending_probe)
    {
        return;
    }
    host.has_pending_probe = true;
    const auto index = static_cast<std::size_t>(&host - this->daemons.data());
    host.readiness_channel->get("/briarbarrow/ready", millis{400},
                                [this, index](const http_reply& reply)
                                {
                                    soak_host& probed = this->daemons[index];
                                    probed.has_pending_probe = false;
                                    probed.failed_probes =
                                        reply.status == 200 ? 0 : probed.failed_probes + 1;
                                });
}

void soak_environment::start_request(const soak_route& route, int configuration_probe)
{
    auto request = std::make_shared<soak_request>();
    request->id = this->next_id++;
    request->route = route;
    request->configuration_probe = configuration_probe;
    request->started_at = this->now;
    request->caller = this->random() % this->callers.size();
    this->totals.requests += configuration_probe == 0 ? 1 : 0;
    request->must_be_answered = configuration_probe == 0 && this->answers_required;
    this->totals.required_requests += request->must_be_answered ? 1 : 0;
    this->start_attempt(request);
}

void soak_environment::start_attempt(const request_ptr& request)
{
    if (request->attempts >= (request->configuration_probe == 0 ? max_attempts : 1))
    {
        this->finish(request, false);
        return;
    }
    ++request->attempts;
    // Each attempt takes the next source port, so that it is a new flow.
    request->port = static_cast<std::uint16_t>(1'024 + this->next_port++ % 60'000);
    request->is_established = false;
    request->transmissions = 0;
    request->next_send = this->now;
    this->open_requests[{request->caller, request->port}] = request;
}

void soak_environment::send_if_due(const request_ptr& request)
{
    if (request->is_finished || this->now < request->next_send)
    {
        return;
    }
    const bool has_timed_out = this->now > request->started_at + request_timeout;
    if (has_timed_out || (!request->is_established && request->transmissions >= 3))
    {
        this->finish(request, false);
        return;
    }
    soak_header header;
    header.flags = request->is_established ? soak_ack : soak_syn;
    header.sequence = caller_sequence + (request->is_established ? 1 : 0);
    header.acknowledgement = request->is_established
                                 ? request->backend_sequence + 1
                                 : static_cast<std::uint32_t>(request->transmissions);
    header.tag = request->tag;
    std::string data;
    if (request->is_established)
    {
        data = (request->route.is_unsafe ? "POST" : "GET") +
               std::string(" / HTTP/1.1\r\nRequest-Id: ") + std::to_string(request->id) +
               "\r\n\r\n";
    }
    this->send_from_caller(request, header, data);
    request->next_send = this->now + first_retransmission_delay *
                                         (std::int64_t{1} << std::min(request->transmissions, 3));
    ++request->transmissions;
}

void soak_environment::send_from_caller(const request_ptr& request, const soak_header& fields,
                                        const std::string& data)
{
    soak_header header = fields;
    header.source = ipv4_number(this->address(3, static_cast<int>(request->caller) + 1, 1));
    header.source_port = request->port;
    header.destination = service_address;
    header.destination_port = request->route.port;
    // Callers are spread over the zones. The router uses rendezvous hashing over the ready hosts of
    // the caller's zone; if none is ready there, over the ready hosts of other zones; if no host is
    // ready at all, over every host of the caller's zone.
    const std::string zone = this->daemons[request->caller % this->daemons.size()].zone;
    std::vector<std::size_t> ready;
    std::vector<std::size_t> elsewhere;
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
    {
        const bool is_ready = this->daemons[i].failed_probes < 2;
        const bool is_in_zone = this->daemons[i].zone == zone;
        if (is_in_zone)
        {
            all.push_back(i);
        }
        if (is_ready)
        {
            (is_in_zone ? ready : elsewhere).push_back(i);
        }
    }
    const std::vector<std::size_t>& chosen = !ready.empty()       ? ready
                                             : !elsewhere.empty() ? elsewhere
                                                                  : all;
    const std::uint64_t flow = mix(flow_id(header), header.destination_port);
    request->host = *std::max_element(chosen.begin(), chosen.end(),
                                      [flow](std::size_t left, std::size_t right)
                                      { return mix(flow, left) < mix(flow, right); });
    send_to(this->callers[request->caller], this->daemons[request->host].packet_endpoint,
            encode_soak_packet(header, data));
}

void soak_environment::receive_at_caller(std::size_t caller)
{
    std::array<std::uint8_t, 2'048> bytes;
    for (;;)
    {
        const ssize_t count = recv(this->callers[caller], bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (count < 0)
        {
            return;
        }
        const std::span<const std::uint8_t> packet(bytes.data(), static_cast<std::size_t>(count));
        const std::optional<soak_header> header = decode_soak_header(packet);
        const auto found = header ? this->open_requests.find({caller, header->destination_port})
                                  : this->open_requests.end();
        if (found == this->open_requests.end())
        {
            continue;
        }
        const request_ptr request = found->second;
        if ((header->flags & soak_rst) != 0)
        {
            this->handle_reset(request, *header);
        }
        else
        {
            this->handle_answer(request, *header, decode_soak_payload(packet));
        }
    }
}

void soak_environment::handle_answer(const request_ptr& request, const soak_header& header,
                                     const std::string& data)
{
    if ((header.flags & soak_syn) != 0)
    {
        request->tag = header.tag;
        if (!request->is_established)
        {
            request->is_established = true;
            request->backend_sequence = header.sequence;
            request->transmissions = 0;
            request->next_send = this->now;
            this->send_if_due(request);
        }
        return;
    }
    request->tag = header.tag;
    if (data != "answer " + std::to_string(request->id))
    {
        this->report_violation("request " + std::to_string(request->id) +
                               " received an unexpected answer: " + data);
    }
    soak_header fin;
    fin.flags = soak_fin | soak_ack;
    fin.sequence = caller_sequence + 100;
    fin.acknowledgement = header.sequence + static_cast<std::uint32_t>(data.size());
    fin.tag = request->tag;
    this->send_from_caller(request, fin, "");
    this->finish(request, true);
}

void soak_environment::handle_reset(const request_ptr& request, const soak_header& header)
{
    const bool is_from_daemon = header.checksum == 0;
    const auto server = std::find_if(this->servers.begin(), this->servers.end(),
                                     [&request](const std::unique_ptr<soak_backend>& backend)
                                     { return backend->name == request->backend; });
    const bool had_recent_fault = server == this->servers.end() || (*server)->descriptor < 0 ||
                                  (*server)->is_unresponsive ||
                                  this->now < (*server)->last_fault + soak_stable_window;
    if (is_from_daemon && request->is_established && !request->backend.empty() && !had_recent_fault)
    {
        this->report_violation("a daemon reset established request " + std::to_string(request->id) +
                               " at healthy backend server " + request->backend);
    }
    if (request->configuration_probe > 0 &&
        this->now > this->route_added_at + soak_max_configuration_delay &&
        request->started_at > this->route_added_at + soak_max_configuration_delay &&
        request->route.port == this->added_route.port &&
        this->is_stable(this->daemons[request->host]) && !request->is_established)
    {
        this->report_violation("a connection to an added route was reset " +
                               std::to_string((this->now - this->route_added_at).count) +
                               " ms after the route was written to the store");
    }
    const bool can_retry = !request->route.is_unsafe || !request->is_established;
    this->open_requests.erase({request->caller, request->port});
    if (can_retry)
    {
        this->start_attempt(request);
        return;
    }
    this->finish(request, false);
}

void soak_environment::finish(const request_ptr& request, bool answered)
{
    request->is_finished = true;
    this->open_requests.erase({request->caller, request->port});
    if (request->configuration_probe != 0)
    {
        return;
    }
    this->totals.answered += answered ? 1 : 0;
    this->totals.required_answered += answered && request->must_be_answered ? 1 : 0;
}

gboolean soak_environment::on_backend(gint descriptor, GIOCondition /*condition*/,
                                      gpointer environment)
{
    auto* self = static_cast<soak_environment*>(environment);
    for (const std::unique_ptr<soak_backend>& backend : self->servers)
    {
        if (backend->descriptor == descriptor)
        {
            self->receive_at_backend(*backend);
            break;
        }
    }
    return G_SOURCE_CONTINUE;
}

void soak_environment::receive_at_backend(soak_backend& backend)
{
    std::array<std::uint8_t, 2'048> bytes;
    for (;;)
    {
        sockaddr_storage sender{};
        socklen_t size = sizeof(sender);
        const ssize_t count = recvfrom(backend.descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT,
                                       reinterpret_cast<sockaddr*>(&sender), &size);
        if (count < 0)
        {
            return;
        }
        const std::span<const std::uint8_t> datagram(bytes.data(), static_cast<std::size_t>(count));
        std::uint64_t target_instance = 0;
        if (backend.is_unresponsive || datagram.size() < sizeof(target_instance))
        {
            continue;
        }
        for (std::size_t i = 0; i < sizeof(target_instance); ++i)
        {
            target_instance = target_instance << 8 | datagram[i];
        }
        const std::span<const std::uint8_t> packet = datagram.subspan(sizeof(target_instance));
        const std::optional<soak_header> header = decode_soak_header(packet);
        if (!header || (target_instance != 0 && target_instance != backend.instance))
        {
            continue;
        }
        if ((header->flags & soak_syn) != 0)
        {
            this->open_flow(backend, *header, from_socket_address(sender));
        }
        else if ((header->flags & soak_fin) == 0)
        {
            this->execute_request(backend, *header, decode_soak_payload(packet));
        }
    }
}

void soak_environment::open_flow(soak_backend& backend, const soak_header& header,
                                 const endpoint& sender)
{
    const soak_host* host = this->find_host(sender);
    const bool is_checked =
        host != nullptr && this->is_stable(*host) && header.acknowledgement == 0;
    if (backend.is_draining && is_checked &&
        this->now > backend.drain_started_at + soak_max_drain_delay)
    {
        this->report_violation(
            "a first SYN reached draining backend server " + backend.name + " after " +
            std::to_string((this->now - backend.drain_started_at).count) + " ms");
    }
    this->check_zone_and_warm_up(backend, is_checked);
    const bool is_removed_route = header.destination_port == this->removed_route.port;
    if (is_removed_route && is_checked &&
        this->now > this->route_removed_at + soak_max_configuration_delay)
    {
        this->report_violation("a removed route was still served after " +
                               std::to_string((this->now - this->route_removed_at).count) + " ms");
    }
    backend.flows.try_emplace(flow_id(header), false);
    this->send_to_caller(backend, header, soak_syn | soak_ack, "");
}

void soak_environment::check_zone_and_warm_up(soak_backend& backend, bool is_checked)
{
    this->openings_by_zone[backend.zone] += this->answers_required ? 1 : 0;
    if (backend.zone == this->evacuated_zone && is_checked &&
        this->now > this->evacuated_at + soak_max_evacuation_delay)
    {
        this->report_violation("a first SYN reached backend server " + backend.name +
                               " of evacuated zone " + backend.zone + " after " +
                               std::to_string((this->now - this->evacuated_at).count) + " ms");
    }
    if (this->now >= backend.cold_until || backend.service != "orders")
    {
        return;
    }
    std::deque<millis>& openings = backend.cold_openings;
    openings.push_back(this->now);
    while (openings.front() + millis{1'000} < this->now)
    {
        openings.pop_front();
    }
    if (openings.size() > soak_max_cold_per_s)
    {
        this->report_violation("cold backend server " + backend.name + " got " +
                               std::to_string(openings.size()) + " new flows within a second");
    }
}

void soak_environment::execute_request(soak_backend& backend, const soak_header& header,
                                       const std::string& data)
{
    const auto flow = backend.flows.find(flow_id(header));
    if (flow == backend.flows.end())
    {
        this->send_to_caller(backend, header, soak_rst, "");
        return;
    }
    const std::size_t position = data.find("Request-Id: ");
    if (position == std::string::npos || flow->second)
    {
        return;
    }
    flow->second = true;
    const std::uint64_t id = std::strtoull(data.c_str() + position + 12, nullptr, 10);
    ++this->totals.executions;
    const bool is_unsafe = data.starts_with("POST");
    if (++this->executions_by_id[id] > 1 && is_unsafe)
    {
        this->report_violation("unsafe request " + std::to_string(id) +
                               " was executed more than once");
    }
    const bool is_orders = header.destination_port == 8443 || header.destination_port == 8080;
    if ((backend.service == "orders") != is_orders)
    {
        this->report_violation("request " + std::to_string(id) +
                               " was executed by the wrong service: " + backend.service);
    }
    for (const auto& [key, request] : this->open_requests)
    {
        if (request->id == id)
        {
            request->backend = backend.name;
        }
    }
    this->scheduled_actions.emplace_back(
        this->now + execution_duration,
        [this, raw = &backend, header, id]()
        {
            if (raw->descriptor >= 0 && !raw->is_unresponsive)
            {
                this->send_to_caller(*raw, header, soak_ack, "answer " + std::to_string(id));
            }
        });
}

void soak_environment::send_to_caller(const soak_backend& backend, const soak_header& to,
                                      std::uint8_t flags, const std::string& data)
{
    soak_header header;
    header.flags = flags;
    header.sequence = 70'000 + (data.empty() ? 0 : 1);
    header.acknowledgement = to.sequence + 1;
    header.source = to.destination;
    header.source_port = to.destination_port;
    header.destination = to.source;
    header.destination_port = to.source_port;
    header.tag = to.tag;
    send_to(backend.descriptor, ipv4_endpoint(to.source, packet_port),
            encode_soak_packet(header, data));
}

} // namespace briarbarrow

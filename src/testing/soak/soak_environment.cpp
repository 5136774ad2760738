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
constexpr millis first_resend{200};
constexpr millis request_timeout{1'000};
constexpr millis opening_timeout{1'400};
constexpr int most_tries = 3;
constexpr millis work_span{12};
constexpr millis readiness_pause{500};
constexpr std::uint32_t caller_sequence = 5'000;
constexpr std::uint32_t service_address = 0xc6120001; // 198.18.0.1

std::uint32_t number_of(const endpoint& value)
{
    const std::uint8_t* bytes = value.address.bytes.data() + 12;
    return static_cast<std::uint32_t>(bytes[0]) << 24 | static_cast<std::uint32_t>(bytes[1]) << 16 |
           static_cast<std::uint32_t>(bytes[2]) << 8 | bytes[3];
}

endpoint endpoint_of(std::uint32_t address, std::uint16_t port)
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
        std::cerr << "soak can't listen on " << to_string(at) << "\n";
        std::exit(EXIT_FAILURE);
    }
    return descriptor;
}

std::uint64_t flow_number(const soak_header& header)
{
    return static_cast<std::uint64_t>(header.source) << 16 | header.source_port;
}

} // namespace

soak_world::soak_world(std::uint64_t seed, int net) : random(seed), net(net), now(monotonic_now())
{
    this->metadata = std::make_unique<soak_store>(this->address(4, 1, store_port));
    for (std::size_t i = 0; i < caller_count; ++i)
    {
        this->callers.push_back(open_udp(this->address(3, static_cast<int>(i) + 1, packet_port)));
    }
    this->routes = {{8443, "orders", false}, {8080, "orders", true}, {9443, "sheets", false}};
    this->write_configuration();
}

soak_world::~soak_world()
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

endpoint soak_world::address(int part, int number, std::uint16_t port) const
{
    return *parse_endpoint("127." + std::to_string(this->net) + "." + std::to_string(part) + "." +
                           std::to_string(number) + ":" + std::to_string(port));
}

std::size_t soak_world::add_host(const endpoint& packets, const endpoint& readiness,
                                 const std::string& zone)
{
    soak_host& host = this->daemons.emplace_back();
    host.packets = packets;
    host.readiness = readiness;
    host.zone = zone;
    host.harmed = this->now;
    host.asker = std::make_unique<http_channel>(readiness);
    return this->daemons.size() - 1;
}

std::size_t soak_world::add_backend(const std::string& service, const std::string& zone,
                                    const endpoint& at)
{
    auto fresh = std::make_unique<soak_backend>();
    fresh->number = 0x7f000000 + this->next_name++;
    char name[32];
    std::snprintf(name, sizeof(name), "i-%llx", static_cast<unsigned long long>(fresh->number));
    fresh->name = name;
    fresh->service = service;
    fresh->zone = zone;
    fresh->address = at;
    fresh->descriptor = open_udp(at);
    fresh->source = g_unix_fd_add(fresh->descriptor, G_IO_IN, on_backend, this);
    auto health = http_responder::open(at,
                                       [raw = fresh.get()](const http_query& /*query*/)
                                       {
                                           http_page page;
                                           page.headers = "Instance-Id: " + raw->name + "\r\n";
                                           page.is_later = raw->is_dark;
                                           return page;
                                       });
    if (health)
    {
        fresh->health = std::move(health).value();
    }
    this->tell_store(*fresh);
    this->servers.push_back(std::move(fresh));
    return this->servers.size() - 1;
}

void soak_world::tell_store(const soak_backend& backend)
{
    const json entry{
        {"Service", backend.service}, {"Address", to_string(backend.address)},
        {"Zone", backend.zone},       {"Version", "v1"},
        {"MaxConcurrent", 4},         {"State", backend.is_draining ? "draining" : "ready"},
        {"WarmupLeftMs", 0},          {"CallSeq", 1},
        {"born", 1'700'000'000'000}};
    this->metadata->put("servers/" + backend.name, entry.dump());
}

void soak_world::end_backend(std::size_t index)
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
    backend.harmed = this->now;
    this->metadata->remove("servers/" + backend.name);
}

void soak_world::drain_backend(std::size_t index)
{
    soak_backend& backend = *this->servers[index];
    backend.is_draining = true;
    backend.drained = this->now;
    this->tell_store(backend);
}

void soak_world::darken_backend(std::size_t index, bool dark)
{
    this->servers[index]->is_dark = dark;
    this->servers[index]->harmed = this->now;
}

void soak_world::write_configuration()
{
    this->version += 1 + this->random() % 3;
    json routes = json::array();
    for (const soak_route& route : this->routes)
    {
        routes.push_back(json{{"Name", "r-" + std::to_string(route.port)},
                              {"Host", "198.18.0.1"},
                              {"Prefix", "/" + std::to_string(route.port) + "/"},
                              {"Type", route.is_once ? "unsafe" : "safe"},
                              {"TimeoutMs", request_timeout.count},
                              {"SloMs", 200},
                              {"Priority", 1},
                              {"Service", route.service}});
    }
    const json value{{"Version", this->version},
                     {"Routes", routes},
                     {"Services", json::array()},
                     {"Limits", {{"IdleTimeoutMs", 15'000}}}};
    this->metadata->put("op/config", value.dump());
}

void soak_world::add_route()
{
    const auto port = static_cast<std::uint16_t>(20'000 + this->version);
    this->newest_route = {port, "sheets", false};
    this->newest_added = this->now;
    this->routes.push_back(this->newest_route);
    this->write_configuration();
}

void soak_world::remove_route()
{
    if (this->routes.size() <= 3)
    {
        return;
    }
    this->newest_removed = this->routes.back();
    this->removed = this->now;
    this->routes.pop_back();
    this->newest_route = {};
    this->write_configuration();
}

soak_store& soak_world::store()
{
    return *this->metadata;
}

soak_report& soak_world::report()
{
    return this->seen;
}

std::vector<soak_host>& soak_world::hosts()
{
    return this->daemons;
}

std::vector<std::unique_ptr<soak_backend>>& soak_world::backends()
{
    return this->servers;
}

void soak_world::begin_calm()
{
    this->is_calm_phase = true;
}

void soak_world::harm(std::size_t host)
{
    this->daemons[host].harmed = this->now;
}

void soak_world::harm_all()
{
    for (soak_host& host : this->daemons)
    {
        host.harmed = this->now;
    }
}

void soak_world::break_promise(const std::string& text)
{
    this->seen.broken.push_back(text);
}

bool soak_world::is_calm(const soak_host& host) const
{
    return this->now > host.harmed + soak_stable_span;
}

soak_host* soak_world::host_at(const endpoint& packets)
{
    const auto found =
        std::find_if(this->daemons.begin(), this->daemons.end(),
                     [&packets](const soak_host& host) { return host.packets == packets; });
    return found == this->daemons.end() ? nullptr : &*found;
}

void soak_world::tick(millis now, int asks)
{
    this->now = now;
    this->metadata->tick();
    if (now >= this->next_readiness)
    {
        this->next_readiness = now + readiness_pause;
        for (soak_host& host : this->daemons)
        {
            this->ask_readiness(host);
        }
    }
    for (std::size_t i = 0; i < this->callers.size(); ++i)
    {
        this->take_at_caller(i);
    }
    std::vector<std::function<void()>> due;
    std::erase_if(this->later,
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
    for (int i = 0; i < asks; ++i)
    {
        this->begin(this->routes[this->random() % 3], 0);
    }
    if (this->random() % 40 == 0 && this->newest_route.port != 0)
    {
        this->begin(this->newest_route, 1);
    }
    if (this->random() % 40 == 0 && this->newest_removed.port != 0)
    {
        this->begin(this->newest_removed, -1);
    }
    std::vector<request_ptr> requests;
    for (const auto& [place, request] : this->open)
    {
        requests.push_back(request);
    }
    for (const request_ptr& request : requests)
    {
        this->send_due(request);
    }
}

void soak_world::ask_readiness(soak_host& host)
{
    if (host.is_asking)
    {
        return;
    }
    host.is_asking = true;
    const auto place = static_cast<std::size_t>(&host - this->daemons.data());
    host.asker->get("/briarbarrow/ready", millis{400},
                    [this, place](const http_reply& reply)
                    {
                        soak_host& asked = this->daemons[place];
                        asked.is_asking = false;
                        asked.misses = reply.status == 200 ? 0 : asked.misses + 1;
                    });
}

void soak_world::begin(const soak_route& route, int probes)
{
    auto request = std::make_shared<soak_request>();
    request->id = this->next_id++;
    request->route = route;
    request->probes = probes;
    request->began = this->now;
    request->caller = this->random() % this->callers.size();
    this->seen.asked += probes == 0 ? 1 : 0;
    request->is_judged = probes == 0 && this->is_calm_phase;
    this->seen.late_asked += request->is_judged ? 1 : 0;
    this->begin_try(request);
}

void soak_world::begin_try(const request_ptr& request)
{
    if (request->tries >= (request->probes == 0 ? most_tries : 1))
    {
        this->finish(request, false);
        return;
    }
    ++request->tries;
    // A try uses a port that its caller has not used before.
    request->port = static_cast<std::uint16_t>(1'024 + this->next_port++ % 60'000);
    request->is_open = false;
    request->sends = 0;
    request->next_send = this->now;
    this->open[{request->caller, request->port}] = request;
}

void soak_world::send_due(const request_ptr& request)
{
    if (request->is_over || this->now < request->next_send)
    {
        return;
    }
    const bool is_given_up = this->now > request->began + request_timeout;
    if (is_given_up || (!request->is_open && request->sends >= 3))
    {
        this->finish(request, false);
        return;
    }
    soak_header header;
    header.flags = request->is_open ? soak_ack : soak_syn;
    header.sequence = caller_sequence + (request->is_open ? 1 : 0);
    header.acknowledgement = request->is_open ? request->backend_sequence + 1
                                              : static_cast<std::uint32_t>(request->sends);
    header.tag = request->tag;
    std::string data;
    if (request->is_open)
    {
        data = (request->route.is_once ? "POST" : "GET") +
               std::string(" / HTTP/1.1\r\nRequest-Id: ") + std::to_string(request->id) +
               "\r\n\r\n";
    }
    this->send_from_caller(request, header, data);
    request->next_send =
        this->now + first_resend * (std::int64_t{1} << std::min(request->sends, 3));
    ++request->sends;
}

void soak_world::send_from_caller(const request_ptr& request, const soak_header& shape,
                                  const std::string& data)
{
    soak_header header = shape;
    header.source = number_of(this->address(3, static_cast<int>(request->caller) + 1, 1));
    header.source_port = request->port;
    header.destination = service_address;
    header.destination_port = request->route.port;
    // Callers are dealt to zones; the router hashes over the daemons that are ready there, over all
    // of the zone's when fewer than half are, and over other zones' when none is.
    const std::string zone = this->daemons[request->caller % this->daemons.size()].zone;
    std::vector<std::size_t> ready;
    std::vector<std::size_t> elsewhere;
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
    {
        const bool is_ready = this->daemons[i].misses < 2;
        const bool is_near = this->daemons[i].zone == zone;
        if (is_near)
        {
            all.push_back(i);
        }
        if (is_ready)
        {
            (is_near ? ready : elsewhere).push_back(i);
        }
    }
    const std::vector<std::size_t>& chosen = !ready.empty()       ? ready
                                             : !elsewhere.empty() ? elsewhere
                                                                  : all;
    const std::uint64_t flow = mix(flow_number(header), header.destination_port);
    request->host = *std::max_element(chosen.begin(), chosen.end(),
                                      [flow](std::size_t left, std::size_t right)
                                      { return mix(flow, left) < mix(flow, right); });
    send_to(this->callers[request->caller], this->daemons[request->host].packets,
            write_soak_packet(header, data));
}

void soak_world::take_at_caller(std::size_t caller)
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
        const std::optional<soak_header> header = read_soak_header(packet);
        const auto found =
            header ? this->open.find({caller, header->destination_port}) : this->open.end();
        if (found == this->open.end())
        {
            continue;
        }
        const request_ptr request = found->second;
        if ((header->flags & soak_rst) != 0)
        {
            this->take_reset(request, *header);
        }
        else
        {
            this->take_answer(request, *header, soak_data(packet));
        }
    }
}

void soak_world::take_answer(const request_ptr& request, const soak_header& header,
                             const std::string& data)
{
    if ((header.flags & soak_syn) != 0)
    {
        request->tag = header.tag;
        if (!request->is_open)
        {
            request->is_open = true;
            request->backend_sequence = header.sequence;
            request->sends = 0;
            request->next_send = this->now;
            this->send_due(request);
        }
        return;
    }
    request->tag = header.tag;
    if (data != "answer " + std::to_string(request->id))
    {
        this->break_promise("request " + std::to_string(request->id) + " got: " + data);
    }
    soak_header fin;
    fin.flags = soak_fin | soak_ack;
    fin.sequence = caller_sequence + 100;
    fin.acknowledgement = header.sequence + static_cast<std::uint32_t>(data.size());
    fin.tag = request->tag;
    this->send_from_caller(request, fin, "");
    this->finish(request, true);
}

void soak_world::take_reset(const request_ptr& request, const soak_header& header)
{
    const bool is_daemons = header.sum == 0;
    const auto server = std::find_if(this->servers.begin(), this->servers.end(),
                                     [&request](const std::unique_ptr<soak_backend>& backend)
                                     { return backend->name == request->backend; });
    const bool was_harmed = server == this->servers.end() || (*server)->descriptor < 0 ||
                            (*server)->is_dark || this->now < (*server)->harmed + soak_stable_span;
    if (is_daemons && request->is_open && !request->backend.empty() && !was_harmed)
    {
        this->break_promise("a daemon reset request " + std::to_string(request->id) +
                            " at living " + request->backend);
    }
    if (request->probes > 0 && this->now > this->newest_added + soak_configuration_bound &&
        request->began > this->newest_added + soak_configuration_bound &&
        request->route.port == this->newest_route.port &&
        this->is_calm(this->daemons[request->host]) && !request->is_open)
    {
        this->break_promise("a new route was refused " +
                            std::to_string((this->now - this->newest_added).count) +
                            " ms after it was accepted");
    }
    const bool may_repeat = !request->route.is_once || !request->is_open;
    this->open.erase({request->caller, request->port});
    if (may_repeat)
    {
        this->begin_try(request);
        return;
    }
    this->finish(request, false);
}

void soak_world::finish(const request_ptr& request, bool answered)
{
    request->is_over = true;
    this->open.erase({request->caller, request->port});
    if (request->probes != 0)
    {
        return;
    }
    this->seen.answered += answered ? 1 : 0;
    this->seen.late_answered += answered && request->is_judged ? 1 : 0;
}

gboolean soak_world::on_backend(gint descriptor, GIOCondition /*condition*/, gpointer world)
{
    auto* self = static_cast<soak_world*>(world);
    for (const std::unique_ptr<soak_backend>& backend : self->servers)
    {
        if (backend->descriptor == descriptor)
        {
            self->take_at_backend(*backend);
            break;
        }
    }
    return G_SOURCE_CONTINUE;
}

void soak_world::take_at_backend(soak_backend& backend)
{
    std::array<std::uint8_t, 2'048> bytes;
    for (;;)
    {
        sockaddr_storage from{};
        socklen_t size = sizeof(from);
        const ssize_t count = recvfrom(backend.descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT,
                                       reinterpret_cast<sockaddr*>(&from), &size);
        if (count < 0)
        {
            return;
        }
        const std::span<const std::uint8_t> datagram(bytes.data(), static_cast<std::size_t>(count));
        std::uint64_t wanted = 0;
        if (backend.is_dark || datagram.size() < sizeof(wanted))
        {
            continue;
        }
        for (std::size_t i = 0; i < sizeof(wanted); ++i)
        {
            wanted = wanted << 8 | datagram[i];
        }
        const std::span<const std::uint8_t> packet = datagram.subspan(sizeof(wanted));
        const std::optional<soak_header> header = read_soak_header(packet);
        if (!header || (wanted != 0 && wanted != backend.number))
        {
            continue;
        }
        if ((header->flags & soak_syn) != 0)
        {
            this->open_flow(backend, *header, from_socket_address(from));
        }
        else if ((header->flags & soak_fin) == 0)
        {
            this->run_request(backend, *header, soak_data(packet));
        }
    }
}

void soak_world::open_flow(soak_backend& backend, const soak_header& header, const endpoint& from)
{
    const soak_host* host = this->host_at(from);
    const bool is_judged = host != nullptr && this->is_calm(*host) && header.acknowledgement == 0;
    if (backend.is_draining && is_judged && this->now > backend.drained + soak_drain_bound)
    {
        this->break_promise("an opening reached draining " + backend.name + " after " +
                            std::to_string((this->now - backend.drained).count) + " ms");
    }
    const bool is_removed = header.destination_port == this->newest_removed.port;
    if (is_removed && is_judged && this->now > this->removed + soak_configuration_bound)
    {
        this->break_promise("a removed route was served after " +
                            std::to_string((this->now - this->removed).count) + " ms");
    }
    backend.flows.try_emplace(flow_number(header), false);
    this->answer_caller(backend, header, soak_syn | soak_ack, "");
}

void soak_world::run_request(soak_backend& backend, const soak_header& header,
                             const std::string& data)
{
    const auto flow = backend.flows.find(flow_number(header));
    if (flow == backend.flows.end())
    {
        this->answer_caller(backend, header, soak_rst, "");
        return;
    }
    const std::size_t place = data.find("Request-Id: ");
    if (place == std::string::npos || flow->second)
    {
        return;
    }
    flow->second = true;
    const std::uint64_t id = std::strtoull(data.c_str() + place + 12, nullptr, 10);
    ++this->seen.runs;
    const bool is_once = data.starts_with("POST");
    if (++this->runs_by_id[id] > 1 && is_once)
    {
        this->break_promise("order " + std::to_string(id) + " ran twice");
    }
    const bool is_orders = header.destination_port == 8443 || header.destination_port == 8080;
    if ((backend.service == "orders") != is_orders)
    {
        this->break_promise("request " + std::to_string(id) + " ran at " + backend.service);
    }
    for (const auto& [key, request] : this->open)
    {
        if (request->id == id)
        {
            request->backend = backend.name;
        }
    }
    this->later.emplace_back(this->now + work_span,
                             [this, raw = &backend, header, id]()
                             {
                                 if (raw->descriptor >= 0 && !raw->is_dark)
                                 {
                                     this->answer_caller(*raw, header, soak_ack,
                                                         "answer " + std::to_string(id));
                                 }
                             });
}

void soak_world::answer_caller(const soak_backend& backend, const soak_header& to,
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
    send_to(backend.descriptor, endpoint_of(to.source, packet_port),
            write_soak_packet(header, data));
}

} // namespace briarbarrow

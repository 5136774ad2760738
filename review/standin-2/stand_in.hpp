// Stand-ins for scripts that show a fault: the platform's store, routers and supervisor, backend
// servers, and callers, in one process on loopback addresses and the real clock. The daemons are
// the project's own program, started as separate processes with the command of the deploy file.
//
// Callers and servers speak the packets of the users' PROTOCOL page. Each request and each answer
// fits one packet.
#ifndef BRIARBARROW_REVIEW_STAND_IN_HPP
#define BRIARBARROW_REVIEW_STAND_IN_HPP

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

constexpr std::uint8_t fin_flag = 1;
constexpr std::uint8_t syn_flag = 2;
constexpr std::uint8_t ack_flag = 8;
constexpr std::uint8_t rst_flag = 128;

constexpr std::uint16_t packet_port = 8172;
constexpr std::uint16_t ready_port = 8167;
constexpr std::uint16_t control_port = 8166;
constexpr std::uint16_t store_port = 8169;
constexpr std::uint16_t server_port = 8080;

using milliseconds = std::int64_t;

// Milliseconds since the start of the stand-in.
inline milliseconds now_ms()
{
    using namespace std::chrono;
    static const auto start = steady_clock::now();
    return duration_cast<std::chrono::milliseconds>(steady_clock::now() - start).count();
}

inline std::int64_t wall_ms()
{
    using namespace std::chrono;
    return duration_cast<std::chrono::milliseconds>(system_clock::now().time_since_epoch()).count();
}

// An IPv4 address and port in host byte order.
struct address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    friend auto operator<=>(const address&, const address&) = default;
};

inline std::string ip_text(std::uint32_t ip)
{
    return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) + "." +
           std::to_string(ip >> 8 & 255) + "." + std::to_string(ip & 255);
}

inline std::string text_of(const address& a)
{
    return ip_text(a.ip) + ":" + std::to_string(a.port);
}

inline sockaddr_in to_sockaddr(const address& a)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(a.port);
    out.sin_addr.s_addr = htonl(a.ip);
    return out;
}

// A packet's header. The wire format is little-endian without gaps.
struct packet_header
{
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint32_t src = 0;
    std::uint32_t dst = 0;
    std::uint16_t dport = 0;
    std::uint16_t sport = 0;
    std::uint32_t sum = 1;
    std::uint8_t flags = 0;
    std::uint8_t pad = 0;
    std::uint16_t len = 0;
    std::uint32_t echo = 0;
};

static_assert(sizeof(packet_header) == 32);

inline std::string encode_packet(packet_header header, const std::string& data)
{
    header.len = static_cast<std::uint16_t>(data.size());
    std::string bytes(sizeof(header), '\0');
    std::memcpy(bytes.data(), &header, sizeof(header));
    return bytes + data;
}

inline int open_socket(int type, const address& at)
{
    const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (type == SOCK_STREAM)
    {
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    const sockaddr_in local = to_sockaddr(at);
    const bool is_open = bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) == 0 &&
                         (type != SOCK_STREAM || listen(fd, 64) == 0);
    if (!is_open)
    {
        close(fd);
        return -1;
    }
    return fd;
}

// Writes what happens to record.txt.
class recorder
{
public:
    explicit recorder(const std::string& path) : file(std::fopen(path.c_str(), "we")) {}
    ~recorder()
    {
        if (this->file != nullptr)
        {
            std::fclose(this->file);
        }
    }
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        std::fprintf(this->file, "%8.3f ", static_cast<double>(now_ms()) / 1000);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(this->file, format, arguments);
        va_end(arguments);
        std::fputc('\n', this->file);
        std::fflush(this->file);
    }

private:
    std::FILE* file;
};

// A connection of a small HTTP server.
struct http_connection
{
    int fd = -1;
    std::string input;
    std::string output;
    bool closes = false;
    // A watch that waits for a change.
    bool is_watching = false;
    std::uint64_t watch_after = 0;
    milliseconds watch_until = 0;
};

// Sends pending output and reads input. False when the connection has ended.
inline bool serve_connection(http_connection& c)
{
    char bytes[4096];
    while (true)
    {
        const ssize_t count = recv(c.fd, bytes, sizeof(bytes), 0);
        if (count > 0)
        {
            c.input.append(bytes, static_cast<std::size_t>(count));
            continue;
        }
        if (count == 0 || (errno != EAGAIN && errno != EINTR))
        {
            return false;
        }
        break;
    }
    while (!c.output.empty())
    {
        const ssize_t sent = send(c.fd, c.output.data(), c.output.size(), MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return errno == EAGAIN;
        }
        c.output.erase(0, static_cast<std::size_t>(sent));
    }
    return !c.closes;
}

inline std::string http_response(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Refused") + "\r\n" +
           headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string base64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            group =
                group << 8 | (i + j < bytes.size() ? static_cast<std::uint8_t>(bytes[i + j]) : 0);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
        }
    }
    return text;
}

inline std::string query_value(const std::string& target, const std::string& name)
{
    const std::size_t begin = target.find(name + "=");
    if (begin == std::string::npos)
    {
        return "";
    }
    std::string raw = target.substr(begin + name.size() + 1);
    raw = raw.substr(0, raw.find('&'));
    std::string value;
    for (std::size_t i = 0; i < raw.size(); ++i)
    {
        if (raw[i] == '%' && i + 2 < raw.size())
        {
            value += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
        {
            value += raw[i];
        }
    }
    return value;
}

// The platform's store. Each daemon has an address of its own, so that the store can tell them
// apart.
class store
{
public:
    explicit store(recorder& record) : record(record) {}

    bool listen_on(const address& at)
    {
        const int fd = open_socket(SOCK_STREAM, at);
        this->listeners.push_back(fd);
        return fd >= 0;
    }

    // Returns when the store acknowledged the write.
    milliseconds put(const std::string& key, const std::string& value)
    {
        ++this->revision;
        this->items[key] = {value, this->revision};
        this->history.push_back({key, value, this->revision, false});
        this->record.line("store: revision %llu %s = %s",
                          static_cast<unsigned long long>(this->revision), key.c_str(),
                          value.substr(0, 400).c_str());
        return now_ms();
    }

    void remove(const std::string& key)
    {
        if (this->items.erase(key) > 0)
        {
            ++this->revision;
            this->history.push_back({key, "", this->revision, true});
            this->record.line("store: revision %llu %s removed",
                              static_cast<unsigned long long>(this->revision), key.c_str());
        }
    }

    void step()
    {
        for (const int listener : this->listeners)
        {
            int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            while (fd >= 0)
            {
                this->connections.push_back(std::make_unique<http_connection>());
                this->connections.back()->fd = fd;
                fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            }
        }
        std::erase_if(this->connections,
                      [this](const std::unique_ptr<http_connection>& c)
                      {
                          const bool is_open = serve_connection(*c) && this->answer(*c);
                          if (!is_open)
                          {
                              close(c->fd);
                          }
                          return !is_open;
                      });
    }

private:
    struct stored_item
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    struct event
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool is_deleted = false;
    };

    static std::string item_text(const std::string& key, const std::string& value,
                                 std::uint64_t revision)
    {
        return "{\"Key\":\"" + key + "\",\"Value\":\"" + base64(value) +
               "\",\"Revision\":" + std::to_string(revision) +
               ",\"Created\":" + std::to_string(revision) + ",\"Lease\":0}";
    }

    std::string events_after(std::uint64_t after) const
    {
        std::string events;
        for (const event& e : this->history)
        {
            if (e.revision > after)
            {
                events += events.empty() ? "" : ",";
                events += e.is_deleted ? "{\"Key\":\"" + e.key +
                                             "\",\"Revision\":" + std::to_string(e.revision) +
                                             ",\"Deleted\":true}"
                                       : item_text(e.key, e.value, e.revision);
            }
        }
        return events;
    }

    bool answer(http_connection& c)
    {
        if (c.is_watching)
        {
            const std::string events = this->events_after(c.watch_after);
            if (!events.empty() || now_ms() >= c.watch_until)
            {
                c.is_watching = false;
                c.output += http_response(200, "Content-Type: application/json\r\n",
                                          "{\"events\":[" + events + "],\"CurrentRev\":" +
                                              std::to_string(this->revision) + "}");
                return serve_connection(c);
            }
            return true;
        }
        const std::size_t end = c.input.find("\r\n\r\n");
        if (end == std::string::npos)
        {
            return true;
        }
        const std::string request = c.input.substr(0, c.input.find("\r\n"));
        c.input.erase(0, end + 4);
        const std::string target = request.substr(4, request.rfind(' ') - 4);
        if (target.starts_with("/briarbarrow/kv-watch"))
        {
            c.is_watching = true;
            c.watch_after = std::stoull(query_value(target, "after"));
            c.watch_until = now_ms() + std::stoll(query_value(target, "WaitMs"));
            return this->answer(c);
        }
        if (!target.starts_with("/briarbarrow/kv-range"))
        {
            c.output += http_response(404, "", "");
            return serve_connection(c);
        }
        const std::string after = query_value(target, "after");
        std::string list;
        for (auto item = this->items.upper_bound(after); item != this->items.end(); ++item)
        {
            list += list.empty() ? "" : ",";
            list += item_text(item->first, item->second.value, item->second.revision);
        }
        c.output += http_response(200, "Content-Type: application/json\r\n",
                                  "{\"items\":[" + list + "],\"HasMore\":false,\"CurrentRev\":" +
                                      std::to_string(this->revision) + "}");
        return serve_connection(c);
    }

    recorder& record;
    std::vector<int> listeners;
    std::vector<std::unique_ptr<http_connection>> connections;
    std::map<std::string, stored_item> items;
    std::vector<event> history;
    std::uint64_t revision = 100;
};

// A caller's end of a flow, as seen in packets.
struct flow_id
{
    std::uint32_t src = 0;
    std::uint16_t sport = 0;
    std::uint32_t dst = 0;
    std::uint16_t dport = 0;

    friend auto operator<=>(const flow_id&, const flow_id&) = default;
};

inline flow_id id_of(const packet_header& h)
{
    return {h.src, h.sport, h.dst, h.dport};
}

// A backend server.
class server
{
public:
    struct flow
    {
        bool is_open = false;
        bool is_closed = false;
        std::uint32_t own_seq = 0;
        std::uint32_t expected = 0;
        std::uint32_t first_expected = 0;
        std::uint32_t echo = 0;
        // The last packet that the caller has to acknowledge, and its retransmission.
        std::string unacknowledged;
        std::uint32_t unacknowledged_end = 0;
        milliseconds resend_at = 0;
        milliseconds resend_delay = 200;
        int resent = 0;
        // An answer that is being worked on, and when it is done.
        std::string answer;
        milliseconds answer_at = 0;
    };

    server(recorder& record, store& entries, std::mt19937_64& random, std::uint64_t number,
           const std::string& service, const std::string& zone, const address& at)
        : number(number), service(service), zone(zone), at(at), record(record), entries(entries),
          random(random)
    {
        char text[32];
        std::snprintf(text, sizeof(text), "i-%08llx", static_cast<unsigned long long>(number));
        this->name = text;
    }

    ~server()
    {
        this->stop();
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    // Starts an incarnation. `born_ms` is what its clock says.
    bool start(std::int64_t born_ms)
    {
        this->born = born_ms;
        this->packets = open_socket(SOCK_DGRAM, this->at);
        this->health = open_socket(SOCK_STREAM, this->at);
        this->state = "ready";
        this->record.line("server %s: starts at %s, born %lld", this->name.c_str(),
                          text_of(this->at).c_str(), static_cast<long long>(born_ms));
        return this->packets >= 0 && this->health >= 0;
    }

    // Ends the process; its flows are gone.
    void stop()
    {
        if (this->packets >= 0)
        {
            close(this->packets);
            close(this->health);
            this->packets = -1;
            this->health = -1;
            for (const auto& c : this->connections)
            {
                close(c->fd);
            }
            this->connections.clear();
            this->flows.clear();
        }
    }

    bool is_running() const
    {
        return this->packets >= 0;
    }

    // Reports its state to the store. Returns when the store acknowledged it.
    milliseconds report(const std::string& new_state)
    {
        this->state = new_state;
        const std::string entry =
            "{\"Service\":\"" + this->service + "\",\"Address\":\"" + text_of(this->at) +
            "\",\"Zone\":\"" + this->zone +
            "\",\"Version\":\"v1\",\"MaxConcurrent\":2,\"State\":\"" + new_state +
            "\",\"WarmupLeftMs\":0,\"CallSeq\":" + std::to_string(++this->calls) +
            ",\"born\":" + std::to_string(this->born) + "}";
        return this->entries.put("servers/" + this->name, entry);
    }

    void step()
    {
        if (!this->is_running())
        {
            return;
        }
        if (!this->is_link_full)
        {
            this->step_health();
        }
        char bytes[2048];
        sockaddr_in from{};
        socklen_t length = sizeof(from);
        ssize_t count = recvfrom(this->packets, bytes, sizeof(bytes), 0,
                                 reinterpret_cast<sockaddr*>(&from), &length);
        while (count >= 0)
        {
            this->receive(std::string(bytes, static_cast<std::size_t>(count)),
                          ntohl(from.sin_addr.s_addr));
            length = sizeof(from);
            count = recvfrom(this->packets, bytes, sizeof(bytes), 0,
                             reinterpret_cast<sockaddr*>(&from), &length);
        }
        for (auto& [id, f] : this->flows)
        {
            if (!f.answer.empty() && now_ms() >= f.answer_at)
            {
                this->expect_acknowledgement(f, f.answer, f.own_seq);
                this->send_to_caller(id, f.answer);
                f.answer.clear();
            }
            if (!f.unacknowledged.empty() && now_ms() >= f.resend_at)
            {
                if (f.resent >= 8)
                {
                    f.unacknowledged.clear();
                    continue;
                }
                ++f.resent;
                f.resend_delay = std::min<milliseconds>(f.resend_delay * 2, 1'600);
                f.resend_at = now_ms() + f.resend_delay;
                this->send_to_caller(id, f.unacknowledged);
            }
        }
    }

    const flow* find(const flow_id& id) const
    {
        const auto found = this->flows.find(id);
        return found == this->flows.end() ? nullptr : &found->second;
    }

    std::uint64_t number;
    std::string name;
    std::string service;
    std::string zone;
    address at;
    std::string state;
    std::int64_t born = 0;
    // Called for each opening packet that it takes.
    std::function<void(server&, const flow_id&, std::uint32_t daemon_ip)> on_opening;
    // How long a request takes.
    milliseconds work = 0;
    // Its link is full: what it sends is lost, and its health page doesn't answer.
    bool is_link_full = false;
    std::map<std::string, int> runs;

private:
    void step_health()
    {
        const int fd = accept4(this->health, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0)
        {
            this->connections.push_back(std::make_unique<http_connection>());
            this->connections.back()->fd = fd;
        }
        std::erase_if(this->connections,
                      [this](const std::unique_ptr<http_connection>& c)
                      {
                          bool is_open = serve_connection(*c);
                          if (is_open && c->input.find("\r\n\r\n") != std::string::npos)
                          {
                              c->input.clear();
                              c->closes = true;
                              c->output = http_response(this->state == "ready" ? 200 : 503,
                                                        "Instance-Id: " + this->name +
                                                            "\r\nConnection: close\r\n",
                                                        "ok\n");
                              is_open = serve_connection(*c);
                          }
                          if (!is_open)
                          {
                              close(c->fd);
                          }
                          return !is_open;
                      });
    }

    packet_header answer_header(const packet_header& h, std::uint8_t flags) const
    {
        packet_header out;
        out.src = h.dst;
        out.sport = h.dport;
        out.dst = h.src;
        out.dport = h.sport;
        out.flags = flags;
        out.echo = h.echo;
        return out;
    }

    void send_to_caller(const flow_id& id, const std::string& bytes) const
    {
        if (this->is_link_full || bytes.empty())
        {
            return;
        }
        const sockaddr_in to = to_sockaddr({id.src, packet_port});
        static_cast<void>(sendto(this->packets, bytes.data(), bytes.size(), 0,
                                 reinterpret_cast<const sockaddr*>(&to), sizeof(to)));
    }

    void send_reset(const packet_header& h)
    {
        packet_header out = this->answer_header(h, rst_flag);
        out.seq = h.ack;
        this->record.line("server %s: no flow %s:%u here, sends RST", this->name.c_str(),
                          ip_text(h.src).c_str(), h.sport);
        this->send_to_caller(id_of(h), encode_packet(out, ""));
    }

    void expect_acknowledgement(flow& f, const std::string& bytes, std::uint32_t end)
    {
        f.unacknowledged = bytes;
        f.unacknowledged_end = end;
        f.resent = 0;
        f.resend_delay = 200;
        f.resend_at = now_ms() + 200;
    }

    void receive(const std::string& datagram, std::uint32_t daemon_ip)
    {
        if (datagram.size() < 8 + sizeof(packet_header))
        {
            return;
        }
        std::uint64_t intended = 0;
        for (int i = 0; i < 8; ++i)
        {
            intended =
                intended << 8 | static_cast<std::uint8_t>(datagram[static_cast<std::size_t>(i)]);
        }
        if (intended != 0 && intended != this->number)
        {
            return;
        }
        packet_header h;
        std::memcpy(&h, datagram.data() + 8, sizeof(h));
        const std::string data = datagram.substr(8 + sizeof(h));
        const flow_id id = id_of(h);
        if ((h.flags & syn_flag) != 0)
        {
            this->receive_opening(h, id, daemon_ip);
            return;
        }
        const auto found = this->flows.find(id);
        if (found == this->flows.end())
        {
            if ((h.flags & rst_flag) == 0)
            {
                this->send_reset(h);
            }
            return;
        }
        flow& f = found->second;
        if ((h.flags & rst_flag) != 0)
        {
            this->flows.erase(found);
            return;
        }
        if (!f.is_open && h.ack != f.own_seq + 1)
        {
            // The caller has opened the flow at another server.
            this->flows.erase(found);
            this->send_reset(h);
            return;
        }
        if (!f.is_open)
        {
            f.is_open = true;
            f.own_seq += 1;
            f.unacknowledged.clear();
            this->record.line("server %s: flow %s:%u is open here", this->name.c_str(),
                              ip_text(id.src).c_str(), id.sport);
        }
        f.echo = h.echo;
        if (!f.unacknowledged.empty() && h.ack == f.unacknowledged_end)
        {
            f.unacknowledged.clear();
        }
        this->receive_in_flow(f, h, id, data);
    }

    void receive_opening(const packet_header& h, const flow_id& id, std::uint32_t daemon_ip)
    {
        const auto known = this->flows.find(id);
        const bool is_reused = known != this->flows.end() && known->second.expected != h.seq + 1 &&
                               known->second.first_expected != h.seq + 1;
        if (is_reused)
        {
            // The caller uses the port for another flow.
            this->flows.erase(known);
        }
        auto [entry, is_new] = this->flows.try_emplace(id);
        flow& f = entry->second;
        if (is_new)
        {
            f.own_seq = static_cast<std::uint32_t>(this->random());
            f.expected = h.seq + 1;
            f.first_expected = f.expected;
            if (this->on_opening)
            {
                this->on_opening(*this, id, daemon_ip);
            }
        }
        if (f.is_open)
        {
            return;
        }
        f.echo = h.echo;
        packet_header out = this->answer_header(h, syn_flag | ack_flag);
        out.seq = f.own_seq;
        out.ack = f.expected;
        const std::string bytes = encode_packet(out, "");
        if (is_new)
        {
            this->expect_acknowledgement(f, bytes, f.own_seq + 1);
        }
        this->send_to_caller(id, bytes);
    }

    void receive_in_flow(flow& f, const packet_header& h, const flow_id& id,
                         const std::string& data)
    {
        packet_header out = this->answer_header(h, ack_flag);
        if (f.is_closed)
        {
            out.seq = f.own_seq;
            out.ack = f.expected;
            if ((h.flags & fin_flag) != 0)
            {
                this->send_to_caller(id, encode_packet(out, ""));
            }
            else if (!data.empty())
            {
                this->send_reset(h);
            }
            return;
        }
        if (!data.empty() && h.seq == f.expected)
        {
            f.expected += static_cast<std::uint32_t>(data.size());
            const std::string request = data.substr(0, data.find("\r\n\r\n"));
            const std::size_t place = request.find("Request-Id: ");
            const std::string name =
                place == std::string::npos
                    ? "?"
                    : request.substr(place + 12, request.find("\r\n", place) - place - 12);
            ++this->runs[name];
            this->record.line("server %s: runs request %s", this->name.c_str(), name.c_str());
            const std::string answer = "HTTP/1.1 200 OK\r\nServer-Seal: " + this->name +
                                       "\r\nRequest-Id: " + name +
                                       "\r\nContent-Length: 3\r\n\r\nok\n";
            out.seq = f.own_seq;
            out.ack = f.expected;
            f.own_seq += static_cast<std::uint32_t>(answer.size());
            f.answer = encode_packet(out, answer);
            f.answer_at = now_ms() + this->work;
            return;
        }
        if (!data.empty())
        {
            // A retransmitted request: its answer was lost, or isn't ready.
            this->send_to_caller(id, f.unacknowledged);
            return;
        }
        if ((h.flags & fin_flag) != 0)
        {
            f.expected = h.seq + 1;
            f.is_closed = true;
            f.unacknowledged.clear();
            out.flags = ack_flag | fin_flag;
            out.seq = f.own_seq;
            out.ack = f.expected;
            f.own_seq += 1;
            this->send_to_caller(id, encode_packet(out, ""));
        }
    }

    recorder& record;
    store& entries;
    std::mt19937_64& random;
    int packets = -1;
    int health = -1;
    std::uint64_t calls = 0;
    std::map<flow_id, flow> flows;
    std::vector<std::unique_ptr<http_connection>> connections;
};

// A daemon's process, and what routers know of it.
struct daemon_host
{
    std::string name;
    std::string zone;
    std::uint32_t ip = 0;
    address store_address;
    std::vector<std::string> seeds;
    std::string settings_path;
    pid_t pid = 0;
    bool is_wanted = false;
    // Started at the begin, not added later.
    bool starts_first = true;
    milliseconds restart_at = 0;
    milliseconds kill_at = 0;
    bool is_in_rotation = false;
    int missed_probes = 2;
    int probe = -1;
    bool is_probe_sent = false;
    milliseconds probe_deadline = 0;
    milliseconds next_probe = 0;
};

// Starts, stops and probes daemons, and chooses one for each packet.
class platform
{
public:
    platform(recorder& record, const std::string& root, const std::string& folder)
        : record(record), root(root), folder(folder)
    {
        std::ifstream deploy(root + "/deploy/system.toml");
        std::string line;
        while (std::getline(deploy, line))
        {
            if (line.starts_with("run = \""))
            {
                std::istringstream words(line.substr(7, line.rfind('"') - 7));
                std::string word;
                while (words >> word)
                {
                    this->command.push_back(word);
                }
            }
        }
    }

    ~platform()
    {
        for (const auto& host : this->hosts)
        {
            if (host->pid > 0)
            {
                kill(host->pid, SIGKILL);
                waitpid(host->pid, nullptr, 0);
            }
        }
    }
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;

    bool can_run() const
    {
        return !this->command.empty() &&
               access((this->root + "/" + this->command[0]).c_str(), X_OK) == 0;
    }

    daemon_host& add(const std::string& name, const std::string& zone, std::uint32_t ip,
                     const address& store_address, const std::vector<std::string>& seeds)
    {
        auto host = std::make_unique<daemon_host>();
        host->name = name;
        host->zone = zone;
        host->ip = ip;
        host->store_address = store_address;
        host->seeds = seeds;
        host->settings_path = this->folder + "/" + name + ".toml";
        this->hosts.push_back(std::move(host));
        return *this->hosts.back();
    }

    void start(daemon_host& host)
    {
        this->write_settings(host);
        host.is_wanted = true;
        host.restart_at = 0;
        host.kill_at = 0;
        const std::string log = this->folder + "/" + host.name + ".log";
        std::vector<char*> words;
        for (std::string& word : this->command)
        {
            words.push_back(word.data());
        }
        words.push_back(nullptr);
        const std::string variable = "BRIARBARROW_CONFIG=" + host.settings_path;
        const pid_t pid = fork();
        if (pid == 0)
        {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, STDOUT_FILENO);
            dup2(out, STDERR_FILENO);
            char* const environment[] = {const_cast<char*>(variable.c_str()), nullptr};
            if (chdir(this->root.c_str()) == 0)
            {
                execve(words[0], words.data(), environment);
            }
            _exit(127);
        }
        host.pid = pid;
        this->record.line("platform: %s started (pid %d)", host.name.c_str(), pid);
    }

    // A planned stop: SIGTERM, and SIGKILL after the grace period. It is started again afterwards.
    void restart(daemon_host& host)
    {
        this->record.line("platform: SIGTERM to %s", host.name.c_str());
        host.kill_at = now_ms() + 6'000;
        kill(host.pid, SIGTERM);
    }

    void kill_process(daemon_host& host)
    {
        this->record.line("platform: SIGKILL to %s", host.name.c_str());
        kill(host.pid, SIGKILL);
    }

    void step()
    {
        for (const auto& host : this->hosts)
        {
            this->supervise(*host);
            this->probe(*host);
        }
    }

    // The daemon that gets a packet of a caller in a zone, by rendezvous hashing ("steady").
    daemon_host* route(const std::string& zone, const flow_id& id) const
    {
        std::vector<daemon_host*> candidates;
        std::size_t all = 0;
        for (const auto& host : this->hosts)
        {
            if (host->zone == zone)
            {
                ++all;
                if (host->is_in_rotation)
                {
                    candidates.push_back(host.get());
                }
            }
        }
        const bool is_minority = !candidates.empty() && candidates.size() * 2 < all;
        if (is_minority || candidates.empty())
        {
            for (const auto& host : this->hosts)
            {
                const bool is_taken = is_minority ? host->zone == zone && !host->is_in_rotation
                                                  : host->is_in_rotation;
                if (is_taken)
                {
                    candidates.push_back(host.get());
                }
            }
        }
        daemon_host* best = nullptr;
        std::size_t best_rank = 0;
        for (daemon_host* host : candidates)
        {
            const std::size_t rank =
                std::hash<std::string>{}(host->name + "/" + std::to_string(id.src) + "/" +
                                         std::to_string(id.sport) + "/" + std::to_string(id.dport));
            if (best == nullptr || rank > best_rank)
            {
                best = host;
                best_rank = rank;
            }
        }
        return best;
    }

    daemon_host* find(std::uint32_t ip) const
    {
        for (const auto& host : this->hosts)
        {
            if (host->ip == ip)
            {
                return host.get();
            }
        }
        return nullptr;
    }

    std::vector<std::unique_ptr<daemon_host>> hosts;

private:
    void write_settings(const daemon_host& host) const
    {
        std::ofstream out(host.settings_path);
        const std::string ip = ip_text(host.ip);
        out << "NodeName = \"" << host.name << "\"\nRole = \"balancer\"\nMachineClass = \"front\"\n"
            << "Serves = [\"front\", \"control\"]\nIp = \"" << ip << "\"\nZone = \"" << host.zone
            << "\"\nRegion = \"r1\"\nInternalPorts = [7720, 7735]\nSeeds = [";
        for (std::size_t i = 0; i < host.seeds.size(); ++i)
        {
            out << (i > 0 ? ", " : "") << "\"" << host.seeds[i] << "\"";
        }
        out << "]\nBootstrap = true\nCountLoss = false\nDiscovery = \"platform\"\n"
            << "Entry = \"announce\"\nHeartbeatMs = 1200\n"
            << "Contracts = [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"flows\", "
               "\"platform\"]\nHash = \"steady\"\nForwarding = \"echo\"\n"
            << "[ListenAddrs]\nDatagramAddr = \"" << ip << ":" << packet_port << "\"\nReady = \""
            << ip << ":" << ready_port << "\"\nControl = \"" << ip << ":" << control_port << "\"\n"
            << "[Limits]\nCpuShare = 0.11\nCores = 1\nMemoryMb = 520\nMaxFds = 8200\n"
            << "LinkMbps = 2000.0\nDiskMb = 0\n[FaultTolerance]\nMachines = 1\nZones = 1\nRegions "
               "= 0\n"
            << "[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStableWindowMs = 4000\nAckMs = 5000\n"
            << "CatchUpS = 4\nDrainMs = 3000\nGraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 3000\n"
            << "RollbackSlackMs = 250\nMaxStretchMs = 12000\nRecoveryS = 12\nReorderMs = 2000\n"
            << "MaxFlowS = 60\n[platform]\nAddress = \"" << text_of(host.store_address)
            << "\"\nForwarding = \"kv\"\nWritesPerS = 400\nReadsPerS = 2000\nRetentionS = 20\n"
            << "ValueBytes = 1048576\nMinTtlMs = 1000\n";
    }

    void supervise(daemon_host& host)
    {
        if (host.pid > 0 && waitpid(host.pid, nullptr, WNOHANG) == host.pid)
        {
            this->record.line("platform: %s has ended", host.name.c_str());
            host.pid = 0;
            host.restart_at = now_ms() + 300;
        }
        if (host.pid > 0 && host.kill_at > 0 && now_ms() >= host.kill_at)
        {
            kill(host.pid, SIGKILL);
            host.kill_at = 0;
        }
        if (host.pid == 0 && host.is_wanted && host.restart_at > 0 && now_ms() >= host.restart_at)
        {
            this->start(host);
        }
    }

    void end_probe(daemon_host& host, bool is_ready)
    {
        close(host.probe);
        host.probe = -1;
        host.missed_probes = is_ready ? 0 : host.missed_probes + 1;
        const bool was_in_rotation = host.is_in_rotation;
        host.is_in_rotation = is_ready || (was_in_rotation && host.missed_probes < 2);
        if (host.is_in_rotation != was_in_rotation)
        {
            this->record.line("routers: %s is %s rotation", host.name.c_str(),
                              host.is_in_rotation ? "in" : "out of");
        }
    }

    void probe(daemon_host& host)
    {
        const milliseconds now = now_ms();
        if (host.probe < 0)
        {
            if (!host.is_wanted || now < host.next_probe)
            {
                return;
            }
            host.next_probe = now + 500;
            host.probe = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            host.is_probe_sent = false;
            host.probe_deadline = now + 400;
            const sockaddr_in to = to_sockaddr({host.ip, ready_port});
            static_cast<void>(
                connect(host.probe, reinterpret_cast<const sockaddr*>(&to), sizeof(to)));
        }
        if (!host.is_probe_sent)
        {
            static const std::string request =
                "GET /briarbarrow/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
            host.is_probe_sent = send(host.probe, request.data(), request.size(), MSG_NOSIGNAL) > 0;
        }
        char bytes[512];
        const ssize_t count = recv(host.probe, bytes, sizeof(bytes), 0);
        if (count > 0)
        {
            this->end_probe(
                host,
                std::string(bytes, static_cast<std::size_t>(count)).starts_with("HTTP/1.1 200"));
            return;
        }
        const bool has_failed = count == 0 || (errno != EAGAIN && errno != ENOTCONN);
        if (has_failed || now >= host.probe_deadline)
        {
            this->end_probe(host, false);
        }
    }

    recorder& record;
    std::string root;
    std::string folder;
    std::vector<std::string> command;
};

// A caller's flow: opens, sends its requests one after the other, and closes.
struct caller_flow
{
    flow_id id;
    std::string zone;
    std::string label;
    // When to send each request, after the flow was opened.
    std::vector<milliseconds> request_times;
    milliseconds begun = 0;
    int openings = 0;
    bool is_open = false;
    bool is_finished = false;
    milliseconds opened_at = 0;
    std::uint32_t own_seq = 0;
    std::uint32_t remote_seq = 0;
    std::uint32_t echo = 0;
    std::size_t answered = 0;
    bool is_waiting = false;
    std::string request;
    milliseconds resend_at = 0;
    milliseconds resend_delay = 200;
    milliseconds sent_at = 0;
    // What ended it: "answered", "reset", "gave up".
    std::string end;
    // Opening answers that it has received, by the sequence number.
    std::set<std::uint32_t> answers;
};

// All callers, at one address.
class callers
{
public:
    callers(recorder& record, platform& routers, std::mt19937_64& random, std::uint32_t ip)
        : record(record), routers(routers), random(random), ip(ip),
          packets(open_socket(SOCK_DGRAM, {ip, packet_port}))
    {
    }

    bool can_run() const
    {
        return this->packets >= 0;
    }

    // Without a port, the flow gets one that no other has had.
    caller_flow& open(const std::string& zone, const std::string& label, std::uint32_t dst,
                      std::uint16_t dport, const std::vector<milliseconds>& request_times,
                      std::uint16_t port = 0)
    {
        auto f = std::make_shared<caller_flow>();
        f->id = {this->ip, port != 0 ? port : this->next_port++, dst, dport};
        f->zone = zone;
        f->label = label;
        f->request_times = request_times;
        f->begun = now_ms();
        f->own_seq = this->initial_sequence(f->id);
        this->flows[f->id] = f;
        this->send_opening(*f);
        return *f;
    }

    void step()
    {
        char bytes[2048];
        sockaddr_in from{};
        socklen_t length = sizeof(from);
        ssize_t count = recvfrom(this->packets, bytes, sizeof(bytes), 0,
                                 reinterpret_cast<sockaddr*>(&from), &length);
        while (count >= 0)
        {
            if (static_cast<std::size_t>(count) >= sizeof(packet_header))
            {
                packet_header h;
                std::memcpy(&h, bytes, sizeof(h));
                this->receive(
                    h, std::string(bytes + sizeof(h), static_cast<std::size_t>(count) - sizeof(h)),
                    ntohl(from.sin_addr.s_addr));
            }
            length = sizeof(from);
            count = recvfrom(this->packets, bytes, sizeof(bytes), 0,
                             reinterpret_cast<sockaddr*>(&from), &length);
        }
        for (auto& [id, f] : this->flows)
        {
            this->step_flow(*f);
        }
    }

    // Called when a flow gets a reset, with the address that sent it.
    std::function<void(caller_flow&, std::uint32_t sender_ip)> on_reset;
    std::map<flow_id, std::shared_ptr<caller_flow>> flows;
    std::uint64_t answered = 0;

private:
    // As RFC 6528 has it: a number of the addresses and ports, and a clock that ticks every 4
    // microseconds.
    std::uint32_t initial_sequence(const flow_id& id)
    {
        constexpr std::uint32_t ticks_per_ms = 250;
        const auto [base, is_new] =
            this->sequence_bases.try_emplace(id, static_cast<std::uint32_t>(this->random()));
        return base->second + static_cast<std::uint32_t>(now_ms()) * ticks_per_ms;
    }

    void send_packet(const caller_flow& f, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack,
                     const std::string& data)
    {
        daemon_host* host = this->routers.route(f.zone, f.id);
        if (host == nullptr)
        {
            return;
        }
        packet_header h;
        h.seq = seq;
        h.ack = ack;
        h.src = f.id.src;
        h.dst = f.id.dst;
        h.dport = f.id.dport;
        h.sport = f.id.sport;
        h.flags = flags;
        h.echo = f.is_open ? f.echo : 0;
        if (f.answers.size() > 1 && !data.empty())
        {
            this->record.line("caller: flow %u sends a request, echo %08x, through %s", f.id.sport,
                              h.echo, host->name.c_str());
        }
        const std::string bytes = encode_packet(h, data);
        const sockaddr_in to = to_sockaddr({host->ip, packet_port});
        static_cast<void>(sendto(this->packets, bytes.data(), bytes.size(), 0,
                                 reinterpret_cast<const sockaddr*>(&to), sizeof(to)));
    }

    void send_opening(caller_flow& f)
    {
        this->send_packet(f, syn_flag, f.own_seq, static_cast<std::uint32_t>(f.openings), "");
        ++f.openings;
    }

    void finish(caller_flow& f, const std::string& end)
    {
        f.is_finished = true;
        f.end = end;
        if (end != "answered")
        {
            this->record.line("caller: flow %u (%s) ends: %s, %zu of %zu requests answered",
                              f.id.sport, f.label.c_str(), end.c_str(), f.answered,
                              f.request_times.size());
        }
    }

    void step_flow(caller_flow& f)
    {
        const milliseconds now = now_ms();
        if (f.is_finished)
        {
            return;
        }
        if (!f.is_open)
        {
            static const milliseconds times[] = {0, 200, 600};
            if (f.openings < 3 && now >= f.begun + times[f.openings])
            {
                this->send_opening(f);
            }
            if (now >= f.begun + 1'400)
            {
                this->finish(f, "gave up");
            }
            return;
        }
        if (!f.is_waiting && f.answered < f.request_times.size() &&
            now >= f.opened_at + f.request_times[f.answered])
        {
            const std::string name =
                f.label + "-" + std::to_string(f.id.sport) + "-" + std::to_string(f.answered + 1);
            f.request = "GET /x HTTP/1.1\r\nRequest-Id: " + name + "\r\n\r\n";
            f.is_waiting = true;
            f.sent_at = now;
            f.resend_delay = 200;
            f.resend_at = now + 200;
            this->send_packet(f, ack_flag, f.own_seq, f.remote_seq, f.request);
        }
        if (f.is_waiting && now >= f.resend_at)
        {
            f.resend_delay = std::min<milliseconds>(f.resend_delay * 2, 1'600);
            f.resend_at = now + f.resend_delay;
            this->send_packet(f, ack_flag, f.own_seq, f.remote_seq, f.request);
        }
        if (f.is_waiting && now >= f.sent_at + 4'000)
        {
            this->finish(f, "gave up");
        }
    }

    void receive(const packet_header& h, const std::string& data, std::uint32_t sender_ip)
    {
        const auto found = this->flows.find({h.dst, h.dport, h.src, h.sport});
        if (found == this->flows.end())
        {
            return;
        }
        caller_flow& f = *found->second;
        if (f.is_finished)
        {
            return;
        }
        if ((h.flags & rst_flag) != 0)
        {
            if (this->on_reset)
            {
                this->on_reset(f, sender_ip);
            }
            this->finish(f, "reset");
            return;
        }
        f.echo = h.echo;
        if ((h.flags & syn_flag) != 0)
        {
            f.answers.insert(h.seq);
            if (!f.is_open)
            {
                f.is_open = true;
                f.opened_at = now_ms();
                f.own_seq += 1;
                f.remote_seq = h.seq + 1;
                this->send_packet(f, ack_flag, f.own_seq, f.remote_seq, "");
            }
            else if (h.seq + 1 == f.remote_seq)
            {
                this->send_packet(f, ack_flag, f.own_seq, f.remote_seq, "");
            }
            return;
        }
        if (!data.empty() && h.seq == f.remote_seq)
        {
            f.remote_seq += static_cast<std::uint32_t>(data.size());
            f.own_seq += static_cast<std::uint32_t>(f.request.size());
            f.is_waiting = false;
            ++f.answered;
            ++this->answered;
            const bool is_last = f.answered == f.request_times.size();
            this->send_packet(f,
                              static_cast<std::uint8_t>(is_last ? ack_flag | fin_flag : ack_flag),
                              f.own_seq, f.remote_seq, "");
            if (is_last)
            {
                this->finish(f, "answered");
            }
            return;
        }
        if (!data.empty())
        {
            this->send_packet(f, ack_flag, f.own_seq, f.remote_seq, "");
        }
    }

    recorder& record;
    platform& routers;
    std::mt19937_64& random;
    std::uint32_t ip;
    std::map<flow_id, std::uint32_t> sequence_bases;
    std::uint16_t next_port = 20'000;
    int packets;
};

// Everything that a script needs. The addresses are 127.NET.PART.NUMBER; part 1 holds the daemons,
// 2 the servers, 3 the callers, 4 the store and 5 the routes.
class world
{
public:
    world(const std::string& root, const std::string& folder, const std::string& record_path,
          std::uint64_t seed)
        : record(record_path), random(seed), net(pick_net()), entries(this->record),
          daemons(this->record, root, folder),
          clients(this->record, this->daemons, this->random, this->ip(3, 1))
    {
        std::signal(SIGPIPE, SIG_IGN);
        this->record.line("net 127.%d, seed %llu", this->net,
                          static_cast<unsigned long long>(seed));
    }

    std::uint32_t ip(int part, int number) const
    {
        return 127U << 24 | static_cast<std::uint32_t>(this->net) << 16 |
               static_cast<std::uint32_t>(part) << 8 | static_cast<std::uint32_t>(number);
    }

    std::string seed_of(int number) const
    {
        return text_of({this->ip(1, number), control_port});
    }

    daemon_host& add_daemon(int number, const std::string& name, const std::string& zone,
                            const std::vector<std::string>& seeds)
    {
        const address store_address{this->ip(4, number), store_port};
        this->is_usable = this->entries.listen_on(store_address) && this->is_usable;
        return this->daemons.add(name, zone, this->ip(1, number), store_address, seeds);
    }

    server& add_server(int number, const std::string& service, const std::string& zone)
    {
        this->servers.push_back(
            std::make_unique<server>(this->record, this->entries, this->random,
                                     0x7f3a9100ULL + static_cast<unsigned>(number), service, zone,
                                     address{this->ip(2, number), server_port}));
        return *this->servers.back();
    }

    void step_all()
    {
        this->daemons.step();
        this->entries.step();
        for (const auto& s : this->servers)
        {
            s->step();
        }
        this->clients.step();
        usleep(1'000);
    }

    // Runs until a time, and calls `each` in every step.
    void run_until(milliseconds end, const std::function<void()>& each = {})
    {
        while (now_ms() < end)
        {
            if (each)
            {
                each();
            }
            this->step_all();
        }
    }

    // The server at which a flow is open, or null.
    server* open_at(const flow_id& id) const
    {
        for (const auto& s : this->servers)
        {
            const server::flow* f = s->find(id);
            if (f != nullptr && f->is_open && !f->is_closed)
            {
                return s.get();
            }
        }
        return nullptr;
    }

    server* find_server(std::uint32_t ip) const
    {
        for (const auto& s : this->servers)
        {
            if (s->at.ip == ip)
            {
                return s.get();
            }
        }
        return nullptr;
    }

    bool wait_until_ready(milliseconds limit)
    {
        const auto all_ready = [this]()
        {
            return std::all_of(this->daemons.hosts.begin(), this->daemons.hosts.end(),
                               [](const auto& host)
                               { return !host->is_wanted || host->is_in_rotation; });
        };
        const milliseconds end = now_ms() + limit;
        while (now_ms() < end && !all_ready())
        {
            this->step_all();
        }
        return all_ready();
    }

    recorder record;
    std::mt19937_64 random;
    int net;
    store entries;
    platform daemons;
    callers clients;
    std::vector<std::unique_ptr<server>> servers;
    bool is_usable = true;

private:
    // A loopback net in which nothing of ours listens yet.
    static int pick_net()
    {
        for (int i = 0; i < 200; ++i)
        {
            const int candidate = 20 + static_cast<int>((getpid() + i) % 220);
            const std::uint32_t caller =
                127U << 24 | static_cast<std::uint32_t>(candidate) << 16 | 3U << 8 | 1U;
            const int fd = open_socket(SOCK_DGRAM, {caller, packet_port});
            if (fd >= 0)
            {
                close(fd);
                return candidate;
            }
        }
        return 20;
    }
};

// A configuration with one route at port 8443.
inline std::string make_configuration(std::uint32_t route_ip, const std::string& service,
                                      milliseconds idle_timeout = 15'000)
{
    return "{\"Version\":3,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"" + ip_text(route_ip) +
           "\",\"Prefix\":\"/8443/\",\"Type\":\"unsafe\",\"TimeoutMs\":4000,\"SloMs\":150,"
           "\"Priority\":1,\"Service\":\"" +
           service + "\",\"MaxAttempts\":2}],\"Services\":[{\"Name\":\"" + service +
           "\",\"HealthPath\":\"/health\",\"MaxFlows\":2000,\"Protocol\":\"h1\",\"Tls\":false}],"
           "\"Limits\":{\"IdleTimeoutMs\":" +
           std::to_string(idle_timeout) + "}}";
}

// Arguments of a case: ROOT FOLDER RECORD TROUBLE SEED.
struct case_arguments
{
    std::string root;
    std::string folder;
    std::string record;
    bool has_trouble = true;
    std::uint64_t seed = 1;
};

inline case_arguments read_arguments(int argc, char** argv)
{
    if (argc != 6)
    {
        std::fprintf(stderr, "usage: %s ROOT FOLDER RECORD TROUBLE SEED\n", argv[0]);
        std::exit(exit_not_run);
    }
    return {argv[1], argv[2], argv[3], std::string(argv[4]) != "0", std::stoull(argv[5])};
}

} // namespace review

#endif

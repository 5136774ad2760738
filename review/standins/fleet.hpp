// Daemons as separate processes, the platform's routers, backend servers and callers.
#ifndef BRIARBARROW_REVIEW_FLEET_HPP
#define BRIARBARROW_REVIEW_FLEET_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include "loop.hpp"
#include "packet.hpp"
#include "store.hpp"

namespace review
{

// Bounds of the platform's pages for a small deployment.
constexpr std::int64_t drain_ms = 3'000;
constexpr std::int64_t config_apply_ms = 3'000;
constexpr std::int64_t stable_window_ms = 4'000;
constexpr std::int64_t reorder_ms = 2'000;

// Addresses and ports of a run: 127.<net>.<part>.<number>. Part 1 holds the daemons, 2 the backend
// servers, 3 the callers, 4 the store and 9 the routes.
struct address_plan
{
    std::uint32_t net = 2;
    std::uint16_t first_port = 20'000;

    address at(std::uint32_t part, std::uint32_t number, std::uint16_t port_offset) const;
};

// Picks a net and ports that are free.
address_plan find_free_addresses();

// A process of the system.
struct daemon_process
{
    std::string name;
    std::string zone;
    std::uint32_t number = 0;
    pid_t pid = -1;
    // As the routers see it.
    bool is_ready = false;
    int missed_checks = 2;
};

// A daemon as routers and settings know it, started with the command of the deploy file.
class daemon_fleet
{
public:
    daemon_fleet(event_loop& loop, case_record& record, const address_plan& plan,
                 const std::string& folder);
    ~daemon_fleet();
    daemon_fleet(const daemon_fleet&) = delete;
    daemon_fleet& operator=(const daemon_fleet&) = delete;

    void add(const std::string& zone);
    void start(std::size_t index);
    void start_all();
    // A planned stop: SIGTERM, then SIGKILL after GraceS. The process is started again by `start`.
    void stop(std::size_t index);
    void kill_now(std::size_t index);
    bool is_running(std::size_t index) const;
    std::size_t size() const;
    bool all_ready() const;
    const daemon_process& at(std::size_t index) const;
    address packet_address(std::size_t index) const;
    // The daemon that the routers select for a flow: by a hash over the daemons in rotation.
    std::size_t select(std::uint32_t source, std::uint16_t source_port) const;

private:
    void check_readiness(std::size_t index);
    void finish_check(std::size_t index, bool is_ready);
    void reap();

    event_loop& loop;
    case_record& record;
    address_plan plan;
    std::string folder;
    std::vector<daemon_process> daemons;
};

// A flow that a backend server holds.
struct held_flow
{
    std::uint32_t own_seq = 0;
    std::uint32_t peer_next = 0;
    std::uint32_t echo = 0;
    bool is_open = false;
    // What was sent and is not acknowledged yet.
    std::string unacknowledged;
    bool has_unacknowledged = false;
    std::uint32_t sent_seq = 0;
    std::uint8_t sent_flags = 0;
    int retransmissions = 0;
    std::uint64_t timer = 0;
};

// The network between backend servers and callers: decides which datagrams get lost.
using loss_rule = std::function<bool(const packet_head& head)>;

// A backend server.
class backend_server
{
public:
    backend_server(event_loop& loop, case_record& record, kv_store& store, std::string name,
                   std::string service, std::string zone, const address& local);
    ~backend_server();
    backend_server(const backend_server&) = delete;
    backend_server& operator=(const backend_server&) = delete;

    // Reports itself to the store. The further heartbeats change nothing but `CallSeq`, so the
    // entry stays as it is.
    void start_reporting();
    // Reports `draining`; ends `leave_after_ms` later.
    void drain(std::int64_t leave_after_ms);

    const std::string name;
    const std::string service;
    const std::string zone;
    const address local;
    bool is_draining = false;
    bool has_ended = false;
    std::int64_t drain_acked_at = 0;
    std::int64_t work_ms = 20;
    // Whether it sends a SYN+ACK again by itself, as it does with all other packets that are not
    // acknowledged, or only when another copy of the SYN comes.
    bool repeats_syn_ack = false;
    loss_rule loses;
    // A request began: by its id. Further observers of what the server sees.
    std::function<void(backend_server&, const std::string&)> on_run;
    std::function<void(backend_server&, const packet_head&)> on_packet;
    std::function<void(backend_server&, const packet_head&)> on_open;
    std::uint64_t runs = 0;
    // Entries of servers that no request goes to are only reported.
    static std::string entry_text(const std::string& service, const address& local,
                                  const std::string& zone, bool is_draining, std::uint64_t calls,
                                  std::int64_t born_ms);

private:
    using flow_name = std::pair<std::uint32_t, std::uint32_t>;

    void report();
    void receive();
    void handle(const packet_head& head, const std::string& data);
    void send(const packet_head& of, held_flow& flow, std::uint8_t flags, std::uint32_t seq,
              const std::string& data);
    void send_reset(const packet_head& of);
    void retransmit_later(const packet_head& of, std::uint64_t timer, std::int64_t delay_ms);
    void accept_check();
    void end();

    event_loop& loop;
    case_record& record;
    kv_store& store;
    std::uint64_t wire_number = 0;
    int descriptor = -1;
    int listener = -1;
    std::uint64_t calls = 0;
    std::int64_t born_ms = 0;
    std::uint64_t timers = 0;
    std::uint32_t random = 1;
    std::map<flow_name, held_flow> flows;
    std::map<flow_name, packet_head> openings;
};

// How a caller's attempt ended.
enum class attempt_end : std::uint8_t
{
    none,
    answered,
    // A reset before the flow opened.
    refused,
    // No SYN+ACK.
    unopened,
    // A reset after the flow opened.
    reset,
    // No answer within the time limit.
    timed_out
};

const char* text_of(attempt_end end);

// A flow of a caller. It opens, sends a request, and may send another one after a pause.
struct caller_flow
{
    std::uint16_t port = 0;
    address route;
    std::uint32_t own_seq = 0;
    std::uint32_t peer_seq = 0;
    std::uint32_t peer_next = 0;
    std::uint32_t echo = 0;
    bool is_open = false;
    bool is_waiting = false;
    bool has_ended = false;
    std::string data;
    std::uint32_t data_seq = 0;
    std::string request_id;
    std::int64_t requested_at = 0;
    std::int64_t time_limit_ms = 3'000;
    std::uint64_t timer = 0;
    // Requests sent so far, and what to do at the end of each.
    int requests = 0;
    attempt_end end = attempt_end::none;
    // The daemon that all packets go through, or none: as the routers select.
    int fixed_daemon = -1;
    std::string reset_by;
    std::int64_t sent_at = 0;
    std::function<void(caller_flow&, attempt_end)> on_end;
};

// All callers, which have one address.
class caller_group
{
public:
    caller_group(event_loop& loop, case_record& record, daemon_fleet& daemons,
                 const address& local);

    // Opens a flow to a route and sends a request on it. The flow stays open until it is closed.
    caller_flow& open(const address& route, int fixed_daemon,
                      std::function<void(caller_flow&, attempt_end)> on_end);
    // Sends another request on an open flow.
    void request(caller_flow& flow);
    void close(caller_flow& flow);
    std::uint32_t ip() const;

private:
    void receive();
    void handle(const address& from, const packet_head& head, const std::string& data);
    void send(caller_flow& flow, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack,
              const std::string& data);
    void send_syn(caller_flow& flow, std::uint32_t copy);
    void send_data(caller_flow& flow, std::uint64_t timer, std::int64_t interval_ms);
    void finish(caller_flow& flow, attempt_end end);

    event_loop& loop;
    case_record& record;
    daemon_fleet& daemons;
    address local;
    int descriptor;
    std::uint16_t next_port = 1'024;
    std::uint64_t next_id = 1;
    std::map<std::uint16_t, std::unique_ptr<caller_flow>> flows;
};

// A route of the operator's configuration.
struct config_route
{
    std::string name;
    address at;
    std::string service;
    std::string type = "safe";
};

// The text of `op/config`.
std::string config_text(std::uint64_t version, const std::vector<config_route>& routes,
                        const std::vector<std::string>& services);

// True unless TROUBLE=0 is set.
bool has_trouble();

} // namespace review

#endif

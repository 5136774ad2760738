// A small deployment around real daemons: the store, backend servers, callers,
// and the routers that follow the daemons' readiness. It records what was sent,
// answered and run.
#ifndef REVIEW_STANDIN_3_WORLD_HPP
#define REVIEW_STANDIN_3_WORLD_HPP

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include "packet.hpp"
#include "sockets.hpp"
#include "store.hpp"

namespace review
{

// `RecoveryS` of the deployment with slow links. Unit: milliseconds.
constexpr std::int64_t max_recovery_ms = 15'000;
// The same for `ConfigApplyMs`.
constexpr std::int64_t max_apply_ms = 5'000;

struct world_options
{
    std::string record_path;
    // Bytes per second of the link between a daemon and the store; 0 for no
    // limit. With a limit the settings are those of quito-central-grown,
    // otherwise those of quito-central.
    double link_bytes_per_s = 0;
    int requests_per_s = 20;
};

// A daemon, and its state as the routers see it.
struct daemon_process
{
    std::string name;
    std::string zone;
    address packets;
    address ready;
    std::string settings_path;
    pid_t pid = 0;
    int probe = -1;
    std::int64_t probe_began = 0;
    std::string probe_answer;
    int misses = 2;
    bool is_in_rotation = false;
};

// A flow at a backend server.
struct backend_flow
{
    packet_header caller;
    std::string request;
    std::string response;
    // Sequence numbers that follow what was received and sent.
    std::uint32_t received_end = 0;
    std::uint32_t sent_end = 0;
    std::int64_t answers_at = 0;
    // Next time that something unacknowledged is sent again, and how often it
    // was.
    std::int64_t repeats_at = 0;
    int repeats = 0;
    bool is_open = false;
    bool has_run = false;
    bool is_answered = false;
    bool is_done = false;
};

struct backend_server
{
    std::string name;
    std::uint64_t number = 0;
    std::string service;
    std::string zone;
    address at;
    std::int64_t born = 0;
    int datagrams = -1;
    int listener = -1;
    std::map<std::pair<std::uint32_t, std::uint32_t>, backend_flow> flows;
    std::vector<std::pair<int, std::string>> checks;
};

// Ports of the routes.
constexpr std::uint16_t safe_port = 8443;
constexpr std::uint16_t unsafe_port = 8080;
constexpr std::uint16_t feed_port = 8444;

// An attempt of a caller; this deployment's callers don't try again.
struct attempt
{
    std::uint64_t id = 0;
    std::uint16_t route_port = safe_port;
    // A flow is kept open for this many requests, with a pause before each
    // further one.
    int requests_left = 1;
    // When the current request began, and the sequence number of its first byte.
    std::int64_t request_began = 0;
    std::uint32_t sequence = 0;
    // The server that runs its requests.
    std::string server;
    std::string zone;
    std::size_t caller = 0;
    std::uint16_t port = 0;
    std::int64_t began = 0;
    std::int64_t next_send = 0;
    int sends = 0;
    bool is_open = false;
    std::uint32_t opening_sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint32_t echo = 0;
    std::string request;
    std::string received;
    bool is_served = false;
    bool is_over = false;
    // It was open when the system reset it.
    bool is_broken = false;
};

class world
{
public:
    explicit world(const world_options& options);
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    // True if all ports could be opened.
    bool is_usable() const;

    // Writes a configuration with the three routes of the traffic and this many
    // others. The second service gets this share of one route's new flows; with
    // 0, it is no longer in the split.
    void write_configuration(std::size_t other_routes, int second_percent = 10);
    // Writes one that drops the route of the previews.
    void drop_previews(std::size_t other_routes);
    backend_server& add_backend(const std::string& service, const std::string& zone);

    void start_daemon(daemon_process& process);
    void kill_daemon(daemon_process& process);
    // Stops a daemon as planned and starts it again once it has ended.
    void restart_daemon(daemon_process& process);

    // Runs everything until this time after the start.
    void run_until(std::int64_t time);
    // Begins or ends the traffic.
    void set_traffic(bool is_on);
    // Opens a flow for many requests, on the route whose new flows are split over
    // two services.
    void begin_feed(int requests);

    void record(const std::string& line);
    std::int64_t time() const;
    // Requests that were sent on the dropped route later than `max_apply_ms`
    // after the acknowledgement, and run.
    int outdated_runs() const;

    store metadata;
    std::vector<daemon_process> daemons;
    std::vector<std::unique_ptr<backend_server>> backends;
    std::vector<std::unique_ptr<attempt>> attempts;

private:
    // Writes the entry of a backend server.
    void write_entry(const backend_server& server);
    bool start_process(backend_server& server);
    address make_address(int part, int number, std::uint16_t port) const;
    void probe(daemon_process& process);
    void finish_probe(daemon_process& process, bool is_ready);
    const daemon_process* choose_daemon(const attempt& from) const;
    attempt& begin_attempt(std::uint16_t route_port);
    void begin_request(attempt& sender);
    void send_if_due(attempt& sender);
    void send_from_caller(attempt& sender, std::uint8_t flags, std::uint32_t sequence,
                          const std::string& data);
    void receive_at_caller(std::size_t caller);
    void handle_answer(attempt& receiver, const packet_header& header, const std::string& data);
    void run_backend(backend_server& server);
    void receive_at_backend(backend_server& server, const std::string& bytes, const address& from);
    void accept_opening(backend_server& server, const packet_header& header, const address& from);
    void answer_checks(backend_server& server);
    void send_to_caller(const backend_server& server, const packet_header& to, std::uint8_t flags,
                        std::uint32_t sequence, std::uint32_t acknowledgement,
                        const std::string& data) const;
    attempt* find_attempt(std::uint32_t caller, std::uint16_t port);

    world_options options;
    std::ofstream record_file;
    std::string folder;
    int net = 0;
    bool usable = true;
    std::int64_t started = 0;
    std::int64_t now = 0;
    std::int64_t version = 0;
    bool has_previews = true;
    std::int64_t previews_dropped_at = 0;
    int outdated = 0;
    bool has_traffic = false;
    std::int64_t next_request = 0;
    std::uint64_t next_id = 1;
    std::size_t oldest_running = 0;
    std::vector<int> callers;
    std::map<std::pair<std::uint32_t, std::uint16_t>, attempt*> attempts_by_flow;
};

} // namespace review

#endif

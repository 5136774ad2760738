// The state of the simulation of idle flows, shared by its source files: daemons and disruptions
// (idle_flow_fleet.cpp), what daemons exchange with each other and the store
// (idle_flow_exchange.cpp), and callers and backend servers (idle_flow_ends.cpp).
#ifndef BRIARBARROW_TESTING_IDLE_FLOW_PARTS_HPP
#define BRIARBARROW_TESTING_IDLE_FLOW_PARTS_HPP

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/ids.hpp"
#include "spread/peer_table.hpp"
#include "tagged/tag_router.hpp"
#include "testing/idle_flow_fleet.hpp"
#include "testing/router_fixture.hpp"

namespace briarbarrow
{

// Time that a packet or message takes from one process to another. Unit: milliseconds.
constexpr std::int64_t network_delay_ms = 1;

struct arrived_packet
{
    std::size_t flow = 0;
    tagged_packet packet;
    millis arrived;
};

struct simulated_daemon
{
    router_state router;
    std::deque<arrived_packet> waiting;
    std::deque<arrived_packet> held;
    std::vector<contested_flow> waiting_reports;
    std::vector<std::size_t> waiting_requests;
    bool is_paused = false;
    bool is_stopping = false;
    bool is_up = true;
    bool is_earlier_version = false;
    int misses = 0;
};

// A flow at a backend server.
struct held_flow
{
    std::uint32_t echo = 0;
    bool is_open = false;
    int repeats = 0;
};

struct simulated_server
{
    std::map<std::size_t, held_flow> flows;
    std::deque<std::function<void()>> waiting;
    bool is_paused = false;
};

struct simulated_caller
{
    tagged_packet packet;
    // The backend server whose answer was acknowledged.
    std::optional<std::size_t> server;
    std::set<std::size_t> answering_servers;
    std::size_t last_daemon = 0;
    bool has_begun = false;
    bool has_ended = false;
    bool is_awaiting = false;
    std::size_t requests = 0;
};

class idle_flow_fleet
{
public:
    explicit idle_flow_fleet(const idle_flow_options& options)
        : options(options), daemons(options.daemons + options.away_daemons),
          servers(options.backends), callers(options.flows)
    {
    }

    idle_flow_report run();

private:
    void at(std::int64_t time_ms, std::function<void()> event)
    {
        this->events.emplace(time_ms, std::move(event));
    }

    void after(std::int64_t delay_ms, std::function<void()> event)
    {
        this->at(this->now_ms + delay_ms, std::move(event));
    }

    millis now() const
    {
        return millis{1'000'000 + this->now_ms};
    }

    void start_daemon(std::size_t index);
    void apply_split(std::size_t index);
    void schedule_disruptions();
    void check_readiness();
    void tick(std::size_t index);
    void run_tick(std::size_t index);
    bool can_write_tag_forms();
    bool is_within(const std::vector<process_window>& windows, std::size_t index,
                   std::int64_t extra_ms) const;
    bool is_server_in_touch(std::size_t index) const;
    bool are_peers(std::size_t left, std::size_t right) const;
    bool is_informed_by(std::size_t reporter, std::size_t recipient) const;
    void kill_daemon(std::size_t index);
    void start_process(std::size_t index);
    void report_contested(std::size_t to, const std::vector<contested_flow>& flows);
    void ask_for_contested(std::size_t index);
    void ask_peers(std::size_t index);
    void ask_store(std::size_t index);
    void record_in_store(const std::vector<contested_flow>& flows);
    bool is_store_down() const;
    void release_held(std::size_t index);
    void resume_daemon(std::size_t index);
    void resume_server(std::size_t index);
    std::size_t select_daemon(std::size_t flow) const;
    void send_from_caller(std::size_t flow, tagged_packet packet);
    void route(std::size_t index, const arrived_packet& arrived);
    void deliver_to_server(std::size_t index, std::size_t flow, const tagged_packet& packet);
    void serve_packet(std::size_t index, std::size_t flow, const tagged_packet& packet);
    void send_syn_ack(std::size_t index, std::size_t flow);
    void receive_answer(std::size_t index, std::size_t flow, std::uint32_t echo, bool is_data);
    void receive_reset(std::optional<std::size_t> index, std::size_t flow);
    void end_flow(std::size_t flow);
    bool is_port_free(std::size_t flow) const;
    void open_flow(std::size_t flow);
    void send_request(std::size_t flow);

    idle_flow_options options;
    std::int64_t now_ms = 0;
    // Split changes that were made so far.
    std::size_t split_version = 0;
    // When a daemon of an earlier version was up last.
    std::int64_t earlier_version_seen_ms = 0;
    std::multimap<std::int64_t, std::function<void()>> events;
    std::vector<simulated_daemon> daemons;
    std::vector<simulated_server> servers;
    std::vector<simulated_caller> callers;
    std::set<std::size_t> rotation;
    std::map<flow_key, contested_flow> recorded;
    idle_flow_report report;
};

} // namespace briarbarrow

#endif

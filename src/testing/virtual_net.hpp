// The real cores of a handful of hosts, joined by one in-memory queue with a hand-moved clock.
//
// Not a simulator of a cluster: there is no model of hosts, only of what lies between and around
// them. Datagrams are delayed, lost, repeated and cut by seed. Around the hosts are a fabric that
// hands any packet to any host it has listed, callers that open, use and close flows and send
// again what was not answered, and backend servers that answer directly.
//
// Checked at every delivery to a backend server and to a caller: a packet with data reaches one
// backend server of its flow and of its service only, a request runs once, a refusal is true.
#ifndef BRIARBARROW_TESTING_VIRTUAL_NET_HPP
#define BRIARBARROW_TESTING_VIRTUAL_NET_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/core.hpp"
#include "testing/packet_builder.hpp"

namespace briarbarrow
{

// How a host decides. The others are baselines.
enum class flow_policy : std::uint8_t
{
    product,
    // Hash over the backend servers that take flows; nothing is remembered.
    plain_hash,
    // Rendezvous hash over them, with a flow table of this host's own.
    local_table
};

constexpr std::array<std::string_view, 3> flow_policy_names{"product", "plain_hash", "local_table"};

// What lies between the hosts.
struct net_settings
{
    std::size_t hosts = 5;
    std::size_t zones = 3;
    std::size_t backends = 14;
    flow_policy policy = flow_policy::product;
    std::uint64_t seed = 1;
    // Probabilities for each datagram between hosts, the fabric and backend servers.
    double loss = 0.001;
    double duplication = 0.001;
    millis min_delay{0};
    millis max_delay{3};
};

// What was seen.
struct net_tally
{
    std::uint64_t opened = 0;
    std::uint64_t finished = 0;
    std::uint64_t broken = 0;
    std::uint64_t misrouted = 0;
    std::uint64_t doubled = 0;
    std::uint64_t false_refusals = 0;
    std::uint64_t refused = 0;
    // Opening packets of one flow that reached two backend servers; TCP itself settles them.
    std::uint64_t split_openings = 0;
    std::uint64_t revision_fell = 0;
    // New flows at a backend server more than 3 s after every host was told that it drains.
    std::uint64_t late_to_draining = 0;
    std::uint64_t packets_to_backends = 0;
    std::uint64_t host_hops = 0;
    // Longest wait for an answer, from the first time that the fabric handed the packet to a host
    // that was there, less the retries that it handed to dead hosts: those are the fabric's.
    millis longest_wait;
    // Bytes a second of the host with the most.
    double control_peak = 0;
    // What went wrong first, in words.
    std::vector<std::string> faults;
    std::map<std::string, std::uint64_t> broken_by_reason;
};

// A caller's flow.
struct virtual_flow
{
    enum class phase : std::uint8_t
    {
        opening,
        established,
        closing,
        over
    };

    flow_tuple tuple;
    std::size_t service = 0;
    std::size_t zone = 0;
    phase current = phase::opening;
    bool strict = false;
    int requests_left = 0;
    std::uint32_t segment = 0;
    bool waiting = true;
    millis gap;
    millis next_send;
    millis retry_after{250};
    // Since when the system has had the packet that is waited for.
    millis waiting_since;
    bool reached_live_host = false;
    // Backend server that answered the opening packet, and all that got packets.
    int answering_backend = -1;
    std::set<int> opening_backends;
    std::set<int> data_backends;
    std::uint32_t answered_segment = 0;
};

// One host: its core, or a baseline's table.
struct virtual_host
{
    host_info info;
    core_state core;
    actions out;
    bool alive = false;
    bool paused = false;
    millis started;
    std::size_t zone = 0;
    std::map<flow_key, int> local_flow_table;
    configuration received;
    std::uint64_t revision_seen = 0;
    std::uint64_t control_bytes_before = 0;
    std::deque<std::function<void()>> deferred;
};

// The whole.
class virtual_net
{
public:
    explicit virtual_net(const net_settings& settings);

    // Starts a host and tells the others of it after a while.
    void start_host(std::size_t index);
    // Ends a host at once.
    void crash_host(std::size_t index);
    // Begins a planned stop; the host ends by itself.
    void stop_host(std::size_t index);
    // A paused host does nothing; what arrives meanwhile waits in its socket buffer.
    void pause_host(std::size_t index);
    void resume_host(std::size_t index);
    // Cuts a zone off from the others, or one way only, or heals all.
    void partition_zone(std::size_t zone, bool inbound, bool outbound);
    void heal();

    // Puts a configuration in force, unevenly within a span.
    void configure(const configuration& value, millis spread);
    // Gives a configuration to one host only; the others have to get it from their peers.
    void configure_host(const configuration& value, std::size_t host);
    // The configuration that was put in force last.
    const configuration& latest_configuration() const;

    // Begins flows: `count` callers spread over a span, with so many requests and gaps.
    void open_flows(std::size_t service, std::size_t count, millis spread, int requests,
                    millis max_gap);
    // Begins a flow with the five values of one that is over, if there is one.
    void reuse_tuple();

    // Moves time on.
    void run(millis span);
    // Runs until every flow is over or the span has passed; flows left then are stalled.
    void finish(millis span);

    millis now() const;
    const net_tally& tally() const;
    const virtual_host& host(std::size_t index) const;
    std::size_t host_count() const;
    // Control bytes a second of the busiest host since its start, by kind, and in all.
    std::map<std::string, double> control_bytes() const;
    std::size_t open_flow_count() const;
    std::mt19937_64& random();
    // Adds every step of one flow's packets to the story.
    void trace_flow(std::size_t flow);
    // Changes of state of all hosts, in words.
    const std::vector<std::string>& event_trace() const;

private:
    struct delivery
    {
        millis at;
        std::uint64_t order = 0;
        std::function<void()> action;
    };

    struct later_first
    {
        bool operator()(const delivery& left, const delivery& right) const;
    };

    void schedule(millis delay, std::function<void()> action);
    void send_datagram(const endpoint& from, const endpoint& to, const packet_bytes& bytes);
    void arrive(const endpoint& from, const endpoint& to, const packet_bytes& bytes);
    void deliver_event(std::size_t index, const event& happened);
    void handle_with_baseline(std::size_t index, const packet_bytes& bytes);
    void apply_actions(std::size_t index);
    void tick_host(std::size_t index);
    void check_host(std::size_t index);
    void update_fabric();
    bool is_partitioned(std::size_t from_zone, std::size_t to_zone) const;
    bool occurs(double probability);
    millis random_delay();

    void send_via_fabric(virtual_flow& flow, const packet_bytes& packet);
    void send_pending(std::size_t flow);
    void check_flow(std::size_t flow);
    void receive_at_backend(int backend, const packet_bytes& frame);
    void receive_reset_at_caller(const packet_view& reset);
    void answer(std::size_t flow, int backend, std::uint32_t segment, virtual_flow::phase what);
    void backend_reset(std::size_t flow);
    void break_flow(std::size_t flow, const std::string& reason);
    void record_wait(virtual_flow& flow);
    void record_fault(const std::string& text);
    void trace_packet(const endpoint& from, const endpoint& to, const packet_bytes& bytes);

    net_settings settings;
    std::mt19937_64 rng;
    millis clock;
    std::uint64_t next_order = 0;
    std::priority_queue<delivery, std::vector<delivery>, later_first> queue;
    std::vector<std::unique_ptr<virtual_host>> hosts;
    std::map<endpoint, std::size_t> host_by_endpoint;
    std::map<endpoint, int> backend_by_endpoint;
    std::vector<std::size_t> backend_zone;
    std::vector<std::string> backend_service;
    std::vector<millis> draining_since;
    std::set<std::pair<std::size_t, std::size_t>> partitions;
    std::vector<bool> listed;
    std::vector<millis> listing_stable_since;
    configuration current;
    std::vector<virtual_flow> flows;
    std::map<flow_tuple, std::size_t> flow_by_tuple;
    std::map<std::uint64_t, std::set<int>> request_backends;
    net_tally totals;
    std::vector<std::string> event_lines;
    std::size_t traced_flow = SIZE_MAX;
};

// A configuration for tests: an at-most-once TCP service, a download service and a strict datagram
// service, with backend servers spread over the zones.
configuration make_test_configuration(std::size_t backends, std::size_t zones);

} // namespace briarbarrow

#endif

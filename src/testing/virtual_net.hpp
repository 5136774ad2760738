// An in-memory network that runs the real cores of several hosts on a manual clock.
//
// Hosts are not modelled; the network and everything around the hosts is. Datagrams are delayed,
// lost, duplicated or blocked by partitions, all determined by a seed. The fabric hands any packet
// to any host that it lists. Callers open, use and close flows and retransmit what was not
// answered. Backend servers answer the callers directly.
//
// Every delivery to a backend server or a caller is checked: the data packets of a flow reach only
// one backend server, and one of the flow's own service; a request runs only once; a flow is
// refused only if none of its packets reached a backend server.
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

// How hosts choose backend servers: the product's core, or a simple baseline to compare it with.
enum class flow_policy : std::uint8_t
{
    product,
    // Hash over the active backend servers, without any state.
    plain_hash,
    // Rendezvous hashing over them, with a flow table that is local to each host.
    local_table
};

constexpr std::array<std::string_view, 3> flow_policy_names{"product", "plain_hash", "local_table"};

// Size and faults of the network.
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

// What was counted in a run.
struct net_tally
{
    std::uint64_t opened = 0;
    std::uint64_t finished = 0;
    std::uint64_t broken = 0;
    std::uint64_t misrouted = 0;
    // Requests that ran at two backend servers.
    std::uint64_t doubled = 0;
    // Flows that were refused although a backend server had got an opening packet.
    std::uint64_t false_refusals = 0;
    std::uint64_t refused = 0;
    // Flows whose opening packets reached two backend servers; the caller's TCP keeps only one of
    // the connections.
    std::uint64_t split_openings = 0;
    std::uint64_t revision_fell = 0;
    // New flows at a backend server more than 3 s after every host got the configuration in which
    // it drains.
    std::uint64_t late_to_draining = 0;
    std::uint64_t packets_to_backends = 0;
    std::uint64_t host_hops = 0;
    // Longest wait for an answer, from when the fabric first handed the packet to a live host. The
    // retransmissions that it handed to dead hosts are not counted: those delays are the fabric's.
    millis longest_wait;
    // Control traffic of the busiest host. Unit: bytes per second.
    double control_peak = 0;
    // Descriptions of the first faults.
    std::vector<std::string> faults;
    std::map<std::string, std::uint64_t> broken_by_reason;
};

// A flow of a caller, and what the checks know about it.
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
    bool at_most_once = false;
    int requests_left = 0;
    std::uint32_t segment = 0;
    bool waiting = true;
    millis gap;
    millis next_send;
    millis retry_after{250};
    // When the fabric handed the packet that awaits an answer to a host, see
    // net_tally::longest_wait.
    millis waiting_since;
    // True once the fabric has handed that packet to a live host.
    bool reached_live_host = false;
    // Backend server that answered the opening packet; -1 for none.
    int answering_backend = -1;
    // Backend servers that received opening packets, or any datagram.
    std::set<int> opening_backends;
    std::set<int> data_backends;
    std::uint32_t answered_segment = 0;
};

// A host: its core, and the state of a baseline in its place.
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
    // The newest configuration that it has received.
    configuration received;
    std::uint64_t revision_seen = 0;
    std::uint64_t control_bytes_before = 0;
    // What arrived while it was paused.
    std::deque<std::function<void()>> deferred;
};

// The network with its hosts, callers and backend servers.
class virtual_net
{
public:
    explicit virtual_net(const net_settings& settings);

    // Starts a host; the other hosts learn its address a little later.
    void start_host(std::size_t index);
    // Stops a host without warning.
    void crash_host(std::size_t index);
    // Starts a planned shutdown; the host stops by itself when it is done.
    void stop_host(std::size_t index);
    // Pauses a host: it does nothing, and what arrives meanwhile waits in its socket buffer.
    void pause_host(std::size_t index);
    void resume_host(std::size_t index);
    // Blocks the traffic from and to a zone, or in one direction only; heal() ends all partitions.
    void partition_zone(std::size_t zone, bool inbound, bool outbound);
    void heal();

    // Delivers a configuration to every host, to each at a random time within the window.
    void configure(const configuration& value, millis window);
    // Delivers a configuration to one host only; the others have to fetch it from their peers.
    void configure_host(const configuration& value, std::size_t host);
    // The configuration that was delivered last.
    const configuration& latest_configuration() const;

    // Starts `count` flows at random times within the window. Each sends so many requests, with a
    // gap of half of max_gap up to max_gap between them.
    void open_flows(std::size_t service, std::size_t count, millis window, int requests,
                    millis max_gap);
    // Starts a flow with the tuple of one that is over, if there is one.
    void reuse_tuple();

    // Advances the clock.
    void run(millis duration);
    // Runs until every flow is over or the timeout has passed; flows left then count as stalled.
    void finish(millis timeout);

    millis now() const;
    const net_tally& tally() const;
    const virtual_host& host(std::size_t index) const;
    std::size_t host_count() const;
    // Control traffic of the busiest host since its start, by kind and as a sum ("all"). Unit:
    // bytes per second.
    std::map<std::string, double> control_bytes() const;
    std::size_t open_flow_count() const;
    std::mt19937_64& random();
    // Adds every hop of one flow's packets to the event trace.
    void trace_flow(std::size_t flow);
    // State changes of all hosts, a line each with time and host.
    const std::vector<std::string>& event_trace() const;

private:
    struct delivery
    {
        millis at;
        std::uint64_t order = 0;
        std::function<void()> action;
    };

    // Orders the queue by time, and by the order of scheduling within the same time.
    struct later_first
    {
        bool operator()(const delivery& left, const delivery& right) const;
    };

    void schedule(millis delay, std::function<void()> action);
    void send_datagram(const endpoint& from, const endpoint& to, const packet_bytes& bytes);
    void arrive(const endpoint& from, const endpoint& to, const packet_bytes& bytes);
    // Passes an event to a host's core and carries out the resulting actions.
    void deliver_event(std::size_t index, const event& happened);
    void handle_with_baseline(std::size_t index, const packet_bytes& bytes);
    void apply_actions(std::size_t index);
    void tick_host(std::size_t index);
    // Checks the invariants of a host after a step.
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
    // When every host has the configuration in which the backend server drains; zero while active.
    std::vector<millis> draining_since;
    // Pairs of zones (from, to) between which nothing passes.
    std::set<std::pair<std::size_t, std::size_t>> partitions;
    // Whether the fabric lists a host, and when that last agreed with the host's state.
    std::vector<bool> listed;
    std::vector<millis> listing_stable_since;
    configuration current;
    std::vector<virtual_flow> flows;
    std::map<flow_tuple, std::size_t> flow_by_tuple;
    // Backend servers at which a request has run.
    std::map<std::uint64_t, std::set<int>> request_backends;
    net_tally totals;
    std::vector<std::string> event_lines;
    std::size_t traced_flow = SIZE_MAX;
};

// A configuration for tests: an at-most-once TCP service, a download service and an at-most-once
// datagram service, with backend servers in all zones.
configuration make_test_configuration(std::size_t backends, std::size_t zones);

} // namespace briarbarrow

#endif

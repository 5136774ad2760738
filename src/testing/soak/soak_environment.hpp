// The environment of the daemons in a soak: the store, backend servers and callers on the loopback,
// and routers that follow the readiness of hosts. It checks the guarantees of the load balancer
// from what callers and backend servers observe.
#ifndef BRIARBARROW_TESTING_SOAK_SOAK_ENVIRONMENT_HPP
#define BRIARBARROW_TESTING_SOAK_SOAK_ENVIRONMENT_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/address.hpp"
#include "core/clock.hpp"
#include "net/http_channel.hpp"
#include "net/http_responder.hpp"
#include "testing/soak/soak_packet.hpp"
#include "testing/soak/soak_store.hpp"

namespace briarbarrow
{

// Guarantees with a time limit are not checked for a daemon until this long after the last fault
// injected into it or into the store: the stable window of the requirements.
constexpr millis soak_stable_window{4'000};
// Time limits of the requirements: for draining a backend server and for a configuration change to
// take effect.
constexpr millis soak_max_drain_delay{3'000};
constexpr millis soak_max_configuration_delay{3'000};
// The same for the evacuation of a zone.
constexpr millis soak_max_evacuation_delay{5'000};
// Warm-up of a backend server that is added during the run, the requests per second that it bears
// until then, and the most that it may get in any second: 1.5 times that, and 5 more.
constexpr millis soak_warm_up{2'000};
constexpr std::size_t soak_warm_up_per_s = 20;
constexpr std::size_t soak_max_cold_per_s = soak_warm_up_per_s * 3 / 2 + 5;

// A route of the soak's configuration. Callers keep probing the last one added and the last one
// removed.
struct soak_route
{
    std::uint16_t port = 0;
    std::string service;
    // Requests of this route must not be executed twice.
    bool is_unsafe = false;
};

// A daemon as routers see it, and when the last fault was injected into it.
struct soak_host
{
    endpoint packet_endpoint;
    endpoint readiness_endpoint;
    std::string zone;
    millis last_fault;
    std::unique_ptr<http_channel> readiness_channel;
    bool has_pending_probe = false;
    // Readiness probes that failed in a row; routers take a host with two as not ready.
    int failed_probes = 2;
};

// A backend server and the flows that it accepted.
struct soak_backend
{
    std::string name;
    std::uint64_t instance = 0;
    std::string service;
    std::string zone;
    endpoint address;
    int descriptor = -1;
    unsigned source = 0;
    std::unique_ptr<http_responder> health;
    bool is_unresponsive = false;
    millis last_fault;
    bool is_draining = false;
    millis drain_started_at;
    millis cold_until;
    // When it got new flows within the last second while it was cold.
    std::deque<millis> cold_openings;
    // Flows by the caller's address and port; true once the flow's request was executed.
    std::map<std::uint64_t, bool> flows;
};

// A request of a caller over all its attempts.
struct soak_request
{
    std::uint64_t id = 0;
    soak_route route;
    // Whether the request probes if a configuration is in force: 1 for an added route, -1 for a
    // removed one, 0 for an ordinary request.
    int configuration_probe = 0;
    millis started_at;
    int attempts = 0;
    std::size_t caller = 0;
    std::uint16_t port = 0;
    bool is_established = false;
    bool is_finished = false;
    // Started after the recovery from the last fault, so that it has to be answered.
    bool must_be_answered = false;
    std::uint32_t tag = 0;
    std::uint32_t backend_sequence = 0;
    std::string backend;
    std::size_t host = 0;
    millis next_send;
    int transmissions = 0;
};

// Counts and violations so far. Required requests are those that had to be answered.
struct soak_report
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t required_requests = 0;
    std::uint64_t required_answered = 0;
    std::uint64_t executions = 0;
    std::vector<std::string> violations;
};

// Runs the store, the backend servers and the callers in the process of the soak.
class soak_environment
{
public:
    soak_environment(std::uint64_t seed, int loopback_net);
    ~soak_environment();
    soak_environment(const soak_environment&) = delete;
    soak_environment& operator=(const soak_environment&) = delete;

    // Returns 127.<loopback_net>.<part>.<number>:<port>. Each process of the soak uses a net of its
    // own; part 1 holds the daemons, 2 the backend servers, 3 the callers and 4 the store and its
    // proxies.
    endpoint address(int part, int number, std::uint16_t port) const;

    std::size_t add_host(const endpoint& packet_endpoint, const endpoint& readiness_endpoint,
                         const std::string& zone);
    std::size_t add_backend(const std::string& service, const std::string& zone,
                            const endpoint& at);
    void register_backend(const soak_backend& backend);
    // Stops a backend server for good, with its flows, and removes it from the store. Its address
    // can be reused from then on.
    void end_backend(std::size_t index);
    void drain_backend(std::size_t index);
    void set_unresponsive(std::size_t index, bool unresponsive);

    // Orders the evacuation of a zone, or takes the order back. At most one zone is evacuated.
    void evacuate_zone(const std::string& zone);
    void readmit_zone();
    // The zones, and how many new flows their backend servers got since `require_answers`.
    const std::map<std::string, std::uint64_t>& zone_openings() const;

    void write_configuration();
    void add_route();
    void remove_route();

    // Lets the store come back from its copy. The operator and the live backend servers write again
    // what they wrote; entries of servers that are gone expire.
    void restore_store();

    // Sends and receives what is due and starts `new_requests` new requests.
    void tick(millis now, int new_requests);
    // Restart the stable window of one host or of every host.
    void record_fault(std::size_t host);
    void record_fault_on_all();
    // Records that a guarantee was violated.
    void report_violation(const std::string& text);

    soak_store& store();
    soak_report& report();
    std::vector<soak_host>& hosts();
    std::vector<std::unique_ptr<soak_backend>>& backends();
    // From now on every new request has to be answered.
    void require_answers();

private:
    using request_ptr = std::shared_ptr<soak_request>;

    void probe_readiness(soak_host& host);
    void start_request(const soak_route& route, int configuration_probe);
    void start_attempt(const request_ptr& request);
    void send_if_due(const request_ptr& request);
    void send_from_caller(const request_ptr& request, const soak_header& header,
                          const std::string& data);
    void receive_at_caller(std::size_t caller);
    void handle_answer(const request_ptr& request, const soak_header& header,
                       const std::string& data);
    void handle_reset(const request_ptr& request, const soak_header& header);
    void finish(const request_ptr& request, bool answered);
    void receive_at_backend(soak_backend& backend);
    void open_flow(soak_backend& backend, const soak_header& header, const endpoint& sender);
    void execute_request(soak_backend& backend, const soak_header& header, const std::string& data);
    void send_to_caller(const soak_backend& backend, const soak_header& to, std::uint8_t flags,
                        const std::string& data);
    // Checks a new flow of a backend server against evacuations and warm-up.
    void check_zone_and_warm_up(soak_backend& backend, bool is_checked);
    // Whether the stable window has passed since the host's last fault.
    bool is_stable(const soak_host& host) const;
    soak_host* find_host(const endpoint& packet_endpoint);
    static gboolean on_backend(gint descriptor, GIOCondition condition, gpointer environment);

    std::mt19937_64 random;
    int loopback_net;
    millis now;
    std::unique_ptr<soak_store> store_server;
    std::vector<soak_host> daemons;
    std::vector<std::unique_ptr<soak_backend>> servers;
    std::vector<int> callers;
    std::vector<soak_route> routes;
    std::uint64_t version = 0;
    std::string configuration_text;
    soak_route added_route;
    millis route_added_at;
    soak_route removed_route;
    millis route_removed_at;
    // The evacuated zone, if any, and since when.
    std::string evacuated_zone;
    millis evacuated_at;
    std::map<std::string, std::uint64_t> openings_by_zone;
    // Backend servers that are added after the start are cold.
    bool is_started = false;
    std::uint64_t next_id = 1;
    std::uint64_t next_instance = 1;
    std::uint32_t next_port = 0;
    std::map<std::pair<std::size_t, std::uint16_t>, request_ptr> open_requests;
    std::map<std::uint64_t, std::uint64_t> executions_by_id;
    std::vector<std::pair<millis, std::function<void()>>> scheduled_actions;
    millis next_readiness_probe;
    bool answers_required = false;
    soak_report totals;
};

} // namespace briarbarrow

#endif

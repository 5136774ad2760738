// The world around the daemons of a soak: backend servers and callers on the loopback, routers that
// follow readiness, and the promises that are checked from what both ends see.
#ifndef BRIARBARROW_TESTING_SOAK_SOAK_ENVIRONMENT_HPP
#define BRIARBARROW_TESTING_SOAK_SOAK_ENVIRONMENT_HPP

#include <cstdint>
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

// A span in which a rule with a time bound is not judged for a daemon after harm to it or to the
// store: the stable window of the users' rules.
constexpr millis soak_stable_span{4'000};
// Bounds of the users' rules.
constexpr millis soak_drain_bound{3'000};
constexpr millis soak_configuration_bound{3'000};

// A route of the soak; the last one added or removed is asked for all the time.
struct soak_route
{
    std::uint16_t port = 0;
    std::string service;
    bool is_once = false;
};

// A daemon as routers see it, and when it was last harmed.
struct soak_host
{
    endpoint packets;
    endpoint readiness;
    std::string zone;
    millis harmed;
    std::unique_ptr<http_channel> asker;
    bool is_asking = false;
    int misses = 2;
};

// A backend server.
struct soak_backend
{
    std::string name;
    std::uint64_t number = 0;
    std::string service;
    std::string zone;
    endpoint address;
    int descriptor = -1;
    unsigned source = 0;
    std::unique_ptr<http_responder> health;
    bool is_dark = false;
    millis harmed;
    bool is_draining = false;
    millis drained;
    // Flows by caller's address and port; true once their request has run.
    std::map<std::uint64_t, bool> flows;
};

// A request of a caller over its tries.
struct soak_request
{
    std::uint64_t id = 0;
    soak_route route;
    // Asks whether a configuration is in force: 1 for a route that was added, -1 for a removed one.
    int probes = 0;
    millis began;
    int tries = 0;
    std::size_t caller = 0;
    std::uint16_t port = 0;
    bool is_open = false;
    bool is_over = false;
    // Began after all harm, so that it has to be answered.
    bool is_judged = false;
    std::uint32_t tag = 0;
    std::uint32_t backend_sequence = 0;
    std::string backend;
    std::size_t host = 0;
    millis next_send;
    int sends = 0;
};

// What happened so far.
struct soak_report
{
    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    std::uint64_t late_asked = 0;
    std::uint64_t late_answered = 0;
    std::uint64_t runs = 0;
    std::vector<std::string> broken;
};

class soak_world
{
public:
    soak_world(std::uint64_t seed, int net);
    ~soak_world();
    soak_world(const soak_world&) = delete;
    soak_world& operator=(const soak_world&) = delete;

    // Addresses are numbered in a part of the loopback of the soak's own.
    endpoint address(int part, int number, std::uint16_t port) const;

    std::size_t add_host(const endpoint& packets, const endpoint& readiness,
                         const std::string& zone);
    std::size_t add_backend(const std::string& service, const std::string& zone,
                            const endpoint& at);
    void tell_store(const soak_backend& backend);
    // Ends a backend server and everything that it knows; its address is free then.
    void end_backend(std::size_t index);
    void drain_backend(std::size_t index);
    void darken_backend(std::size_t index, bool dark);

    void write_configuration();
    void add_route();
    void remove_route();

    // Sends and receives what is due. `asks` new requests are begun.
    void tick(millis now, int asks);
    void harm(std::size_t host);
    void harm_all();
    void break_promise(const std::string& text);

    soak_store& store();
    soak_report& report();
    std::vector<soak_host>& hosts();
    std::vector<std::unique_ptr<soak_backend>>& backends();
    // From here on every request has to be answered.
    void begin_calm();

private:
    using request_ptr = std::shared_ptr<soak_request>;

    void ask_readiness(soak_host& host);
    void begin(const soak_route& route, int probes);
    void begin_try(const request_ptr& request);
    void send_due(const request_ptr& request);
    void send_from_caller(const request_ptr& request, const soak_header& header,
                          const std::string& data);
    void take_at_caller(std::size_t caller);
    void take_answer(const request_ptr& request, const soak_header& header,
                     const std::string& data);
    void take_reset(const request_ptr& request, const soak_header& header);
    void finish(const request_ptr& request, bool answered);
    void take_at_backend(soak_backend& backend);
    void open_flow(soak_backend& backend, const soak_header& header, const endpoint& from);
    void run_request(soak_backend& backend, const soak_header& header, const std::string& data);
    void answer_caller(const soak_backend& backend, const soak_header& to, std::uint8_t flags,
                       const std::string& data);
    bool is_calm(const soak_host& host) const;
    soak_host* host_at(const endpoint& packets);
    static gboolean on_backend(gint descriptor, GIOCondition condition, gpointer entry);

    std::mt19937_64 random;
    int net;
    millis now;
    std::unique_ptr<soak_store> metadata;
    std::vector<soak_host> daemons;
    std::vector<std::unique_ptr<soak_backend>> servers;
    std::vector<int> callers;
    std::vector<soak_route> routes;
    std::uint64_t version = 0;
    soak_route newest_route;
    millis newest_added;
    soak_route newest_removed;
    millis removed;
    std::uint64_t next_id = 1;
    std::uint64_t next_name = 1;
    std::uint32_t next_port = 0;
    std::map<std::pair<std::size_t, std::uint16_t>, request_ptr> open;
    std::map<std::uint64_t, std::uint64_t> runs_by_id;
    std::vector<std::pair<millis, std::function<void()>>> later;
    millis next_readiness;
    bool is_calm_phase = false;
    soak_report seen;
};

} // namespace briarbarrow

#endif

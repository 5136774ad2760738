// The operators' routes: which services an address and port stands for, and what kind of requests
// arrive there. A new version replaces the whole table; an older version is never applied. A
// version that was lost before its write was confirmed may be written again with other contents.
#ifndef BRIARBARROW_TAGGED_ROUTE_TABLE_HPP
#define BRIARBARROW_TAGGED_ROUTE_TABLE_HPP

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/address.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"
#include "tagged/warm_up_budget.hpp"

namespace briarbarrow
{

// Whether a failed request may be repeated.
enum class request_kind : std::uint8_t
{
    // May run again.
    idempotent,
    // Must not run more than once.
    at_most_once,
    // May run again; the answer is large.
    download
};

constexpr std::array<std::string_view, 3> request_kind_names{"idempotent", "at_most_once",
                                                             "download"};

// A service of a route, and its weight among new flows.
struct weighted_service
{
    service_id service = service_id::none;
    std::uint32_t weight = 1;
};

// A route of one version.
struct route
{
    std::string name;
    endpoint address;
    request_kind kind = request_kind::at_most_once;
    // Time after which a caller gives up.
    millis timeout{1'000};
    // Service level objective: answers that take longer are late.
    millis objective{100};
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    std::vector<weighted_service> services;
};

// All routes of one version.
struct route_list
{
    std::uint64_t version = 0;
    // Hash of the configuration as it was written.
    std::uint64_t content_hash = 0;
    // Flows that have been idle for longer may be removed.
    millis idle_timeout{15'000};
    std::vector<route> routes;
    // HTTP path of the health check, for services that have one.
    std::unordered_map<service_id, std::string> health_paths;
    // Limits for cold backend servers, for services that have one.
    std::unordered_map<service_id, warm_up_limit> warm_up;
};

// Hash of an endpoint for unordered maps.
struct endpoint_hash
{
    std::size_t operator()(const endpoint& value) const;
};

// A route in force, with every service that it has had since this process started, so that open
// flows of an earlier version stay with their backend server.
struct known_route
{
    route current;
    std::vector<service_id> allowed;
};

// The routes in force.
struct route_table
{
    std::uint64_t version = 0;
    std::uint64_t content_hash = 0;
    millis idle_timeout{15'000};
    std::unordered_map<endpoint, known_route, endpoint_hash> by_address;
    std::unordered_map<service_id, std::string> health_paths;
    std::unordered_map<service_id, warm_up_limit> warm_up;
    // Addresses that an earlier version had and the version in force lacks.
    std::unordered_set<endpoint, endpoint_hash> removed;
};

// Maximum number of removed addresses that are remembered. Open flows to further ones are dropped
// instead of reset.
constexpr std::size_t max_removed_routes = 10'000;

// Applies a list. False when the table already holds it or a newer version.
bool apply_routes(route_table& table, const route_list& list);

// The route of a destination, or null.
const known_route* find_route(const route_table& table, const endpoint& destination);

// The limit of a service's cold backend servers, or null.
const warm_up_limit* find_warm_up_limit(const route_table& table, service_id service);

// True when the destination had a route that a later version removed.
bool was_route_removed(const route_table& table, const endpoint& destination);

// True when flows of the route may be at backend servers of the service.
bool is_allowed(const known_route& known, service_id service);

// Picks the service of a new flow by weight. The same number always picks the same service.
service_id pick_service(const route& chosen, std::uint64_t number);

} // namespace briarbarrow

#endif

// The operators' routes: which services an address and port stands for, and what kind of requests
// arrive there. A table is taken whole; a lower version is never taken.
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

namespace briarbarrow
{

// What a request's caller may do after a failure.
enum class request_kind : std::uint8_t
{
    // May run again.
    idempotent,
    // Runs once at most.
    at_most_once,
    // May run again; the answer is large.
    download
};

constexpr std::array<std::string_view, 3> request_kind_names{"idempotent", "at_most_once",
                                                             "download"};

// A service of a route, and its share of new flows.
struct weighted_service
{
    service_id service = service_id::none;
    std::uint32_t weight = 1;
};

// One route.
struct route
{
    std::string name;
    endpoint address;
    request_kind kind = request_kind::at_most_once;
    // A caller gives up after this long.
    millis timeout{1'000};
    // Answers that take longer are late.
    millis objective{100};
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    std::vector<weighted_service> services;
};

// All routes of one version.
struct route_list
{
    std::uint64_t version = 0;
    // A flow that is silent for longer may be forgotten.
    millis idle_timeout{15'000};
    std::vector<route> routes;
    // Where services are asked for their health, for those that say so.
    std::unordered_map<service_id, std::string> health_paths;
};

// Hash of an endpoint for unordered maps.
struct endpoint_hash
{
    std::size_t operator()(const endpoint& value) const;
};

// A route in force, with every service that it has led to since this process began. Open flows of
// an earlier version stay with their backend server.
struct known_route
{
    route current;
    std::vector<service_id> allowed;
};

// The routes in force.
struct route_table
{
    std::uint64_t version = 0;
    millis idle_timeout{15'000};
    std::unordered_map<endpoint, known_route, endpoint_hash> by_address;
    std::unordered_map<service_id, std::string> health_paths;
    // Addresses that an earlier version had and the one in force has not.
    std::unordered_set<endpoint, endpoint_hash> removed;
};

// Most dropped addresses that are remembered; packets of open flows of others are dropped instead
// of answered.
constexpr std::size_t max_removed_routes = 10'000;

// Takes a newer list. False when the table holds this version or a newer one.
bool apply_routes(route_table& table, const route_list& list);

// The route of a destination, or null.
const known_route* find_route(const route_table& table, const endpoint& destination);

// True when the destination had a route that a configuration took away.
bool was_route_removed(const route_table& table, const endpoint& destination);

// True when a flow of the route may be with a backend server of the service.
bool is_allowed(const known_route& known, service_id service);

// Picks the service of a new flow by weight. The same number picks the same service.
service_id pick_service(const route& chosen, std::uint64_t number);

} // namespace briarbarrow

#endif

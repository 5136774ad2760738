// Checks a list of routes before it is sent: routes that can never match, limits that contradict
// each other, and what differs from the list in force.
#ifndef BRIARBARROW_TAGGED_ROUTE_REVIEW_HPP
#define BRIARBARROW_TAGGED_ROUTE_REVIEW_HPP

#include <string>
#include <vector>

#include "core/configuration_review.hpp"
#include "tagged/route_table.hpp"

namespace briarbarrow
{

// Reviews a list of routes.
std::vector<review_finding> review_routes(const route_list& list);

// Describes each difference between two lists in a line, for operators; the routes' flows that are
// open keep their backend server unless their route is removed.
std::vector<std::string> describe_route_changes(const route_list& before, const route_list& after);

} // namespace briarbarrow

#endif

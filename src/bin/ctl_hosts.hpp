// Queries of briarbarrowctl to the hosts' operator endpoints.
#ifndef BRIARBARROW_BIN_CTL_HOSTS_HPP
#define BRIARBARROW_BIN_CTL_HOSTS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "bin/ctl_context.hpp"

namespace briarbarrow
{

// The status that one host returned, or why the query failed.
struct host_report
{
    reported_host listed;
    std::string fault;
    nlohmann::json status;
};

// The highest revision that a host has in force, and a host that has it; 0 when none is known.
struct newest_in_force
{
    std::uint64_t revision = 0;
    reported_host host;
};

// Queries each host for its status.
std::vector<host_report> query_hosts(const command_context& context,
                                     const std::vector<reported_host>& hosts);

// Waits until every listed host has a revision in force. On timeout, prints the hosts that don't.
int wait_until_in_force(const command_context& context, std::uint64_t revision);

// Finds the newest revision in force on any listed host.
newest_in_force find_newest(const command_context& context);

// Prints one line with the status of a host.
void print_report(const host_report& report);

// Prints one line with what a host reports about an evacuated zone: whether the order is in force
// there, and the records that it holds of flows that are still open in the zone.
void print_zone_report(const host_report& report, const std::string& zone, bool as_json);

} // namespace briarbarrow

#endif

// What briarbarrowctl asks of hosts.
#ifndef BRIARBARROW_BIN_CTL_HOSTS_HPP
#define BRIARBARROW_BIN_CTL_HOSTS_HPP

#include <cstdint>
#include <vector>

#include <nlohmann/json.hpp>

#include "bin/ctl_context.hpp"

namespace briarbarrow
{

// One host as it describes itself, or why it could not be asked.
struct host_report
{
    told_host listed;
    std::string fault;
    nlohmann::json status;
};

// The newest configuration that a host has in force, and who has it.
struct newest_in_force
{
    std::uint64_t revision = 0;
    told_host host;
};

// Asks each host for its status.
std::vector<host_report> query_hosts(const command_context& context,
                                     const std::vector<told_host>& hosts);

// Waits until every listed host has a revision in force, and says which ones don't.
int wait_until_in_force(const command_context& context, std::uint64_t revision);

// Finds the newest configuration that a host has in force.
newest_in_force find_newest(const command_context& context);

// Prints a line on a host.
void print_report(const host_report& report);

} // namespace briarbarrow

#endif

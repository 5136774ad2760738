// The commands of briarbarrowctl. Each returns the exit code of the program.
#ifndef BRIARBARROW_BIN_CTL_COMMANDS_HPP
#define BRIARBARROW_BIN_CTL_COMMANDS_HPP

#include "bin/ctl_context.hpp"

namespace briarbarrow
{

// Validates an operator's file without writing anything.
int run_check(const command_context& context);

// Prints what an operator's file would change in the configuration, and what the result's review
// finds, without writing anything.
int run_diff(const command_context& context);

// Merges the services of a file into the configuration and writes it as the next revision. Refuses
// when a host has a newer revision in force than the platform holds.
int run_apply(const command_context& context);

// Evacuates a zone, so that its backend servers get no new flows, or takes that back. Refuses,
// unless forced, when a service would be left without backend servers.
int run_evacuate(const command_context& context);
int run_readmit(const command_context& context);

// Prints the evacuated zones, and on each host the flows that are still open there.
int run_evacuations(const command_context& context);

// Writes the newest configuration in force on hosts back to a platform that lost it, such as after
// a restore from an old snapshot.
int run_restore(const command_context& context);

// Prints the configuration.
int run_get(const command_context& context);

// Prints the audit trail.
int run_history(const command_context& context);

// Prints the status of every host.
int run_status(const command_context& context);

// Prints the templates and their parameters.
int run_templates(const command_context& context);

} // namespace briarbarrow

#endif

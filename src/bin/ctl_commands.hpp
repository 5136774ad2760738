// The commands of briarbarrowctl. Each returns the exit code of the program.
#ifndef BRIARBARROW_BIN_CTL_COMMANDS_HPP
#define BRIARBARROW_BIN_CTL_COMMANDS_HPP

#include "bin/ctl_context.hpp"

namespace briarbarrow
{

// Checks an operator's file without writing anything.
int run_check(const command_context& context);

// Puts the services of a file in force.
int run_apply(const command_context& context);

// Gives a platform that came back old the configuration that hosts have in force.
int run_restore(const command_context& context);

// Prints the configuration.
int run_get(const command_context& context);

// Prints the audit trail.
int run_history(const command_context& context);

// Prints every host.
int run_status(const command_context& context);

// Prints the templates and their parameters.
int run_templates(const command_context& context);

} // namespace briarbarrow

#endif

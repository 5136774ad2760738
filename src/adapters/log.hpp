// The log: one line for each change of state, as key=value pairs on standard output. What happens
// for every packet is counted and never logged.
#ifndef BRIARBARROW_ADAPTERS_LOG_HPP
#define BRIARBARROW_ADAPTERS_LOG_HPP

#include <string>
#include <string_view>

namespace briarbarrow
{

// Sets up the log of this process. `program` and `subject` (such as a host's name) go before
// every line.
void start_log(std::string_view program, std::string_view subject);

// Logs a change of state.
void log_info(std::string_view text);

// Logs something that a person should look at.
void log_warning(std::string_view text);

// Logs why the process can't go on.
void log_error(std::string_view text);

} // namespace briarbarrow

#endif

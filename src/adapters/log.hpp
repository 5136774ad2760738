// The log: one line per state change, as key=value pairs on standard output. Per-packet events are
// counted, never logged.
#ifndef BRIARBARROW_ADAPTERS_LOG_HPP
#define BRIARBARROW_ADAPTERS_LOG_HPP

#include <string>
#include <string_view>

namespace briarbarrow
{

// Configures the log of this process. Every line carries `program` and `subject` (such as a host's
// name).
void start_log(std::string_view program, std::string_view subject);

// Logs a state change.
void log_info(std::string_view text);

// Logs something that an operator should look into.
void log_warning(std::string_view text);

// Logs why the process has to exit.
void log_error(std::string_view text);

} // namespace briarbarrow

#endif

// Exit codes and arguments shared by the commands of briarbarrowctl.
#ifndef BRIARBARROW_BIN_CTL_CONTEXT_HPP
#define BRIARBARROW_BIN_CTL_CONTEXT_HPP

#include <string>

#include "adapters/configuration_store.hpp"
#include "adapters/http_call.hpp"

namespace briarbarrow
{

// Exit codes; the help text documents them.
constexpr int exit_good = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_conflict = 3;
constexpr int exit_unknown = 4;
constexpr int exit_not_in_force = 5;
constexpr int exit_findings = 6;

// The parsed command line and the HTTP session of a command.
struct command_context
{
    store_location location;
    std::string templates;
    // The argument of the command: a file, or a zone.
    std::string argument;
    std::string who;
    std::string reason;
    bool as_json = false;
    bool wait = false;
    bool force = false;
    SoupSession* session = nullptr;
};

// Prints why a command failed and returns its exit code.
int fail(const std::string& text, int code);

} // namespace briarbarrow

#endif

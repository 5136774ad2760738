// briarbarrowctl: the operators' command-line tool.
#include <algorithm>
#include <iostream>

#include <cxxopts.hpp>
#include <glib.h>

#include "bin/ctl_commands.hpp"

namespace
{

using namespace briarbarrow;

constexpr unsigned call_timeout_seconds = 5;

// A command of the tool. `argument` says what follows its name; empty for nothing.
struct command
{
    std::string_view name;
    std::string_view help;
    std::string_view argument;
    int (*run)(const command_context&) = nullptr;
};

constexpr std::array<command, 11> commands{{
    {"apply", "FILE: put the services of a file in force", "file", run_apply},
    {"check", "FILE: check a file without writing anything", "file", run_check},
    {"diff", "FILE: print what a file would change, without writing anything", "file", run_diff},
    {"evacuate", "ZONE: give its backend servers no new flows", "zone", run_evacuate},
    {"evacuations", "print the evacuated zones and their open flows", "", run_evacuations},
    {"get", "print the configuration", "", run_get},
    {"history", "print the audit trail of changes", "", run_history},
    {"readmit", "ZONE: take its evacuation back", "zone", run_readmit},
    {"restore", "write the configuration in force on hosts back to a platform that lost it", "",
     run_restore},
    {"status", "print every host, its zone, state, revision and counters", "", run_status},
    {"templates", "print the templates and their parameters", "", run_templates},
}};

void print_help(const cxxopts::Options& options)
{
    std::cout << options.help() << "\nCommands:\n";
    for (const command& known : commands)
    {
        std::cout << "  " << known.name << "  " << known.help << '\n';
    }
    std::cout
        << "\nExit status: 0 done, 1 failed and nothing was written, 2 wrong usage or file, "
           "3 conflict with another change, 4 not known whether the change was written, "
           "5 written but not in force on every host in time, 6 check or diff found something.\n";
}

int run_command(const cxxopts::ParseResult& parsed)
{
    const auto words = parsed.count("words") > 0 ? parsed["words"].as<std::vector<std::string>>()
                                                 : std::vector<std::string>();
    if (words.empty())
    {
        return fail("no command given; see --help", exit_usage);
    }
    const auto by_name = [&words](const command& known)
    {
        return known.name == words[0];
    };
    const auto* found = std::find_if(commands.begin(), commands.end(), by_name);
    if (found == commands.end())
    {
        return fail("unknown command \"" + words[0] + "\"; see --help", exit_usage);
    }
    const std::size_t expected = found->argument.empty() ? 1 : 2;
    if (words.size() != expected)
    {
        return fail(words[0] + (found->argument.empty()
                                    ? " takes no further arguments"
                                    : " needs exactly one " + std::string(found->argument)),
                    exit_usage);
    }
    const auto platform = parse_endpoint(parsed["platform"].as<std::string>());
    if (!platform)
    {
        return fail("--platform must be an IP address and a port, such as 127.0.0.1:2379",
                    exit_usage);
    }
    command_context context;
    context.location = {*platform, parsed["prefix"].as<std::string>()};
    context.templates = parsed["templates"].as<std::string>();
    context.argument = found->argument.empty() ? "" : words[1];
    context.who = parsed["who"].as<std::string>();
    context.reason = parsed["reason"].as<std::string>();
    context.as_json = parsed.count("json") > 0;
    context.wait = parsed.count("wait") > 0;
    context.force = parsed.count("force") > 0;
    context.session = make_http_session(call_timeout_seconds);
    const int code = found->run(context);
    g_object_unref(context.session);
    return code;
}

int parse_and_run(int argc, char** argv)
{
    cxxopts::Options options("briarbarrowctl", "The operators' command of briarbarrow.");
    options.custom_help("[OPTION...]").positional_help("COMMAND [FILE]");
    options.add_options()("platform", "Address of the platform's key-value service",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:2379"))(
        "prefix", "Prefix of all keys",
        cxxopts::value<std::string>()->default_value("/briarbarrow/"))(
        "templates", "Folder of the templates",
        cxxopts::value<std::string>()->default_value("templates"))(
        "who", "Your name, for the audit trail",
        cxxopts::value<std::string>()->default_value(g_get_user_name()))(
        "reason", "Why you change it, for the audit trail",
        cxxopts::value<std::string>()->default_value("not given"))(
        "wait", "After a change: wait until every host has it in force")(
        "force", "Evacuate also a zone without which a service has no backend server")(
        "json", "Print one JSON object a line")("version", "Print the version and end")(
        "help", "Print this text and end")("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0)
    {
        print_help(options);
        return exit_good;
    }
    if (parsed.count("version") > 0)
    {
        std::cout << "briarbarrowctl " << BRIARBARROW_VERSION << '\n';
        return exit_good;
    }
    return run_command(parsed);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return parse_and_run(argc, argv);
    }
    catch (const cxxopts::exceptions::exception& wrong)
    {
        return fail(std::string(wrong.what()) + "; see --help", exit_usage);
    }
}

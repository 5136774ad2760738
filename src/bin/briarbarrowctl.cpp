// briarbarrowctl: the operators' command.
#include <algorithm>
#include <iostream>
#include <memory>

#include <cxxopts.hpp>
#include <glib.h>
#include <nlohmann/json.hpp>

#include "adapters/configuration_store.hpp"
#include "adapters/monotonic_clock.hpp"
#include "adapters/template_files.hpp"

namespace
{

using namespace briarbarrow;

// Exit codes, as the help text has them.
constexpr int exit_good = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_conflict = 3;
constexpr int exit_unknown = 4;
constexpr int exit_not_in_force = 5;

constexpr unsigned call_timeout_seconds = 5;
constexpr millis wait_for_hosts{10'000};
constexpr gulong wait_pause_microseconds = 200'000;

// What every command needs.
struct command_context
{
    store_location location;
    std::string templates;
    std::string file;
    std::string who;
    std::string why;
    bool as_json = false;
    bool wait = false;
    SoupSession* session = nullptr;
};

// One host as it describes itself, or why it could not be asked.
struct host_report
{
    told_host listed;
    std::string fault;
    nlohmann::json status;
};

int fail(const std::string& text, int code)
{
    std::cerr << "briarbarrowctl: " << text << '\n';
    return code;
}

std::string now_as_text()
{
    GDateTime* now = g_date_time_new_now_utc();
    gchar* text = g_date_time_format_iso8601(now);
    std::string copy(text);
    g_free(text);
    g_date_time_unref(now);
    return copy;
}

std::string new_change_id()
{
    gchar* text = g_uuid_string_random();
    std::string copy(text);
    g_free(text);
    return copy;
}

std::vector<host_report> ask_hosts(const command_context& context,
                                   const std::vector<told_host>& hosts)
{
    std::vector<host_report> reports;
    for (const told_host& host : hosts)
    {
        host_report report{host, "", {}};
        const auto answer = get_and_wait(context.session, host.info.operators, "/status");
        if (answer)
        {
            report.status = nlohmann::json::parse(answer.value(), nullptr, false);
        }
        const bool good = answer && report.status.is_object();
        if (!good)
        {
            report.fault = answer ? "its answer was not understood" : answer.error().message;
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

std::uint64_t revision_of(const host_report& report)
{
    return report.fault.empty() ? report.status.value("revision", std::uint64_t{0}) : 0;
}

// Waits until every listed host has a revision in force, and says which ones don't.
int wait_until_in_force(const command_context& context, std::uint64_t revision)
{
    const millis begin = monotonic_now();
    std::vector<host_report> late;
    std::size_t asked = 0;
    while (monotonic_now() - begin < wait_for_hosts)
    {
        const auto hosts = read_hosts(context.session, context.location);
        if (!hosts)
        {
            return fail(hosts.error().message, exit_not_in_force);
        }
        late = ask_hosts(context, hosts.value());
        asked = late.size();
        std::erase_if(late, [revision](const host_report& report)
                      { return revision_of(report) >= revision; });
        if (late.empty())
        {
            std::cout << "revision " << revision << " is in force on all " << asked << " hosts\n";
            return exit_good;
        }
        g_usleep(wait_pause_microseconds);
    }
    for (const host_report& report : late)
    {
        const std::string why = report.fault.empty()
                                    ? "has revision " + std::to_string(revision_of(report))
                                    : report.fault;
        std::cerr << "not in force on " << report.listed.info.name << ": " << why << '\n';
    }
    return exit_not_in_force;
}

result<service_file, text_error> read_file(const command_context& context)
{
    const auto templates = read_templates(context.templates);
    if (!templates)
    {
        return templates.error();
    }
    return read_service_file(context.file, templates.value());
}

int run_check(const command_context& context)
{
    const auto file = read_file(context);
    if (!file)
    {
        return fail(file.error().message, exit_usage);
    }
    std::cout << context.file << ": good, " << file.value().services.size() << " services of team "
              << file.value().team << '\n';
    return exit_good;
}

int report_write(const command_context& context, write_outcome outcome, const audit_entry& entry)
{
    switch (outcome)
    {
    case write_outcome::written:
        std::cout << "revision " << entry.revision << " is written (change " << entry.change_id
                  << ")\n";
        return context.wait ? wait_until_in_force(context, entry.revision) : exit_good;
    case write_outcome::conflict:
        return fail("someone else changed the configuration in the meantime; nothing was "
                    "written. Look at it with 'get' and apply again",
                    exit_conflict);
    case write_outcome::not_written:
        return fail("the platform does not take changes now; nothing was written", exit_failed);
    case write_outcome::unknown:
        break;
    }
    return fail("the platform's answer was lost and it can't be read; change " + entry.change_id +
                    " may or may not be written. Look at it with 'history' before you repeat it",
                exit_unknown);
}

// The newest configuration that a host has in force, and who has it.
struct newest_in_force
{
    std::uint64_t revision = 0;
    told_host host;
};

newest_in_force find_newest(const command_context& context)
{
    newest_in_force newest;
    const auto hosts = read_hosts(context.session, context.location);
    if (!hosts)
    {
        return newest;
    }
    for (const host_report& report : ask_hosts(context, hosts.value()))
    {
        if (revision_of(report) > newest.revision)
        {
            newest = {revision_of(report), report.listed};
        }
    }
    return newest;
}

// Writes a configuration as the next revision, with its audit entry.
int write_next(const command_context& context, const stored_configuration& stored,
               configuration wanted, std::uint64_t revision)
{
    const auto changes = describe_changes(stored.value, wanted);
    wanted.revision = revision;
    wanted.change_id = new_change_id();
    const audit_entry entry{wanted.revision, wanted.change_id, context.who,
                            now_as_text(),   context.why,      changes};
    for (const std::string& line : changes)
    {
        std::cout << line << '\n';
    }
    const auto outcome =
        write_configuration(context.session, context.location, stored, wanted, entry);
    return report_write(context, outcome, entry);
}

int run_restore(const command_context& context)
{
    const auto stored = read_configuration(context.session, context.location);
    if (!stored)
    {
        return fail(stored.error().message, exit_failed);
    }
    const newest_in_force newest = find_newest(context);
    if (newest.revision <= stored.value().value.revision)
    {
        std::cout << "the platform holds the newest revision, " << stored.value().value.revision
                  << "; nothing to restore\n";
        return exit_good;
    }
    const auto answer = get_and_wait(context.session, newest.host.info.operators, "/configuration");
    const auto held = answer ? configuration_from_json(answer.value())
                             : result<configuration, text_error>(text_error{"no answer"});
    if (!held)
    {
        return fail("host " + newest.host.info.name +
                        " did not give its configuration: " + held.error().message,
                    exit_failed);
    }
    std::cout << "host " << newest.host.info.name << " has revision " << newest.revision
              << " in force; the platform gets it back\n";
    return write_next(context, stored.value(), held.value(), newest.revision + 1);
}

int run_apply(const command_context& context)
{
    const auto file = read_file(context);
    if (!file)
    {
        return fail(file.error().message, exit_usage);
    }
    const auto stored = read_configuration(context.session, context.location);
    if (!stored)
    {
        return fail(stored.error().message, exit_failed);
    }
    auto merged = merge_services(stored.value().value, file.value());
    if (!merged)
    {
        return fail(merged.error().message, exit_usage);
    }
    const std::uint64_t revision = stored.value().value.revision;
    const newest_in_force newest = find_newest(context);
    if (newest.revision > revision)
    {
        return fail("the platform holds revision " + std::to_string(revision) + ", but host " +
                        newest.host.info.name + " has revision " + std::to_string(newest.revision) +
                        " in force: the platform has come back old. Nothing was written. Give "
                        "it the newer one back with 'restore', then apply again",
                    exit_failed);
    }
    if (describe_changes(stored.value().value, merged.value()).empty())
    {
        std::cout << "nothing to change\n";
        return exit_good;
    }
    return write_next(context, stored.value(), merged.value(), revision + 1);
}

int run_get(const command_context& context)
{
    const auto stored = read_configuration(context.session, context.location);
    if (!stored)
    {
        return fail(stored.error().message, exit_failed);
    }
    if (stored.value().mod_revision == 0)
    {
        return fail("there is no configuration yet; make one with 'apply'", exit_failed);
    }
    constexpr int indentation = 2;
    std::cout << nlohmann::json::parse(stored.value().text).dump(indentation) << '\n';
    return exit_good;
}

int run_history(const command_context& context)
{
    const auto trail = read_audit(context.session, context.location);
    if (!trail)
    {
        return fail(trail.error().message, exit_failed);
    }
    for (const audit_entry& entry : trail.value())
    {
        if (context.as_json)
        {
            std::cout << audit_to_json(entry) << '\n';
            continue;
        }
        std::cout << "revision " << entry.revision << "  " << entry.when << "  " << entry.who
                  << "  " << entry.change_id << "  why: " << entry.why << '\n';
        for (const std::string& line : entry.changes)
        {
            std::cout << "    " << line << '\n';
        }
    }
    return exit_good;
}

void print_report(const host_report& report)
{
    const host_info& host = report.listed.info;
    if (!report.fault.empty())
    {
        std::cout << host.name << "  " << host.zone << "  can't be asked: " << report.fault << '\n';
        return;
    }
    const auto& counters = report.status.at("counters");
    std::string state = "unknown";
    for (const auto& member : report.status.at("hosts"))
    {
        state = member.value("self", false) ? member.value("state", state) : state;
    }
    const auto number = [&counters](const char* name)
    {
        return counters.value(name, 0ULL);
    };
    std::cout << host.name << "  " << host.zone << "  " << state << "  revision "
              << revision_of(report) << "  entries " << report.status.value("flows", 0ULL)
              << "  from fabric " << number("packets_from_fabric") << "  to backend servers "
              << number("packets_to_backends") << "  opened " << number("flows_opened")
              << "  resets " << number("resets_to_callers") << '\n';
}

int run_status(const command_context& context)
{
    const auto hosts = read_hosts(context.session, context.location);
    if (!hosts)
    {
        return fail(hosts.error().message, exit_failed);
    }
    const auto reports = ask_hosts(context, hosts.value());
    bool all_good = true;
    for (const host_report& report : reports)
    {
        all_good = all_good && report.fault.empty();
        if (context.as_json)
        {
            const nlohmann::json whole{{"host", report.listed.info.name},
                                       {"zone", report.listed.info.zone},
                                       {"fault", report.fault},
                                       {"status", report.status}};
            std::cout << whole.dump() << '\n';
            continue;
        }
        print_report(report);
    }
    return all_good ? exit_good : exit_failed;
}

int run_templates(const command_context& context)
{
    const auto templates = read_templates(context.templates);
    if (!templates)
    {
        return fail(templates.error().message, exit_usage);
    }
    for (const auto& [name, made] : templates.value())
    {
        std::cout << name << ": " << made.description << '\n';
        for (const auto& [field, parameter] : made.parameters)
        {
            std::cout << "    " << service_field_names[static_cast<std::size_t>(field)] << ": "
                      << parameter.documentation;
            std::cout << (parameter.otherwise ? " (default " + *parameter.otherwise + ")"
                                              : std::string(" (must be given)"))
                      << '\n';
        }
    }
    return exit_good;
}

// A command by name; `needs_file` tells whether a file follows it.
struct command
{
    std::string_view name;
    std::string_view help;
    bool needs_file = false;
    int (*run)(const command_context&) = nullptr;
};

constexpr std::array<command, 7> commands{{
    {"apply", "FILE: put the services of a file in force", true, run_apply},
    {"check", "FILE: check a file without writing anything", true, run_check},
    {"get", "print the configuration", false, run_get},
    {"history", "print the audit trail of changes", false, run_history},
    {"restore", "give a platform that came back old the configuration that hosts have", false,
     run_restore},
    {"status", "print every host, its zone, state, revision and counters", false, run_status},
    {"templates", "print the templates and their parameters", false, run_templates},
}};

void print_help(const cxxopts::Options& options)
{
    std::cout << options.help() << "\nCommands:\n";
    for (const command& known : commands)
    {
        std::cout << "  " << known.name << "  " << known.help << '\n';
    }
    std::cout << "\nExit status: 0 done, 1 failed and nothing was written, 2 wrong usage or file, "
                 "3 conflict with another change, 4 not known whether the change was written, "
                 "5 written but not in force on every host in time.\n";
}

int run_command(const cxxopts::ParseResult& parsed)
{
    const auto words = parsed.count("words") > 0 ? parsed["words"].as<std::vector<std::string>>()
                                                 : std::vector<std::string>();
    if (words.empty())
    {
        return fail("a command is needed; see --help", exit_usage);
    }
    const auto by_name = [&words](const command& known)
    {
        return known.name == words[0];
    };
    const auto* found = std::find_if(commands.begin(), commands.end(), by_name);
    if (found == commands.end())
    {
        return fail("there is no command \"" + words[0] + "\"; see --help", exit_usage);
    }
    const std::size_t expected = found->needs_file ? 2 : 1;
    if (words.size() != expected)
    {
        return fail(words[0] + (found->needs_file ? " needs one file" : " takes no further words"),
                    exit_usage);
    }
    const auto platform = parse_endpoint(parsed["platform"].as<std::string>());
    if (!platform)
    {
        return fail("--platform must be an IP number and a port, such as 127.0.0.1:2379",
                    exit_usage);
    }
    command_context context;
    context.location = {*platform, parsed["prefix"].as<std::string>()};
    context.templates = parsed["templates"].as<std::string>();
    context.file = found->needs_file ? words[1] : "";
    context.who = parsed["who"].as<std::string>();
    context.why = parsed["reason"].as<std::string>();
    context.as_json = parsed.count("json") > 0;
    context.wait = parsed.count("wait") > 0;
    context.session = new_http_session(call_timeout_seconds);
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
        "wait", "After apply: wait until every host has the change in force")(
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

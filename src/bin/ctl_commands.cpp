#include "bin/ctl_commands.hpp"

#include <algorithm>
#include <iostream>

#include <glib.h>

#include "adapters/template_files.hpp"
#include "bin/ctl_hosts.hpp"
#include "core/configuration_review.hpp"

namespace briarbarrow
{

namespace
{

std::string current_time_iso8601()
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

result<service_file, text_error> read_file(const command_context& context)
{
    const auto templates = read_templates(context.templates);
    if (!templates)
    {
        return templates.error();
    }
    return read_service_file(context.argument, templates.value());
}

int report_write_outcome(const command_context& context, write_outcome outcome,
                         const audit_entry& entry)
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
        return fail("the platform did not accept the change; nothing was written", exit_failed);
    case write_outcome::unknown:
        break;
    }
    return fail("the platform's response was lost and its state cannot be read; change " +
                    entry.change_id +
                    " may or may not have been written. Check 'history' before retrying",
                exit_unknown);
}

// Writes a configuration under the given revision, with its audit entry.
int write_next_revision(const command_context& context, const stored_configuration& stored,
                        configuration wanted, std::uint64_t revision)
{
    const auto changes = describe_changes(stored.value, wanted);
    wanted.revision = revision;
    wanted.change_id = new_change_id();
    const audit_entry entry{wanted.revision,        wanted.change_id, context.who,
                            current_time_iso8601(), context.reason,   changes};
    for (const std::string& line : changes)
    {
        std::cout << line << '\n';
    }
    const auto outcome =
        write_configuration(context.session, context.location, stored, wanted, entry);
    return report_write_outcome(context, outcome, entry);
}

// Writes a changed configuration as the next revision, unless it changes nothing or a host has a
// newer revision in force than the platform holds.
int write_change(const command_context& context, const stored_configuration& stored,
                 const configuration& wanted)
{
    const std::uint64_t revision = stored.value.revision;
    const newest_in_force newest = find_newest(context);
    if (newest.revision > revision)
    {
        return fail("the platform holds revision " + std::to_string(revision) + ", but host " +
                        newest.host.info.name + " has revision " + std::to_string(newest.revision) +
                        " in force: the platform lost newer revisions. Nothing was written. "
                        "Write them back with 'restore', then apply again",
                    exit_failed);
    }
    if (describe_changes(stored.value, wanted).empty())
    {
        std::cout << "nothing to change\n";
        return exit_good;
    }
    return write_next_revision(context, stored, wanted, revision + 1);
}

void print_findings(const command_context& context, const std::vector<review_finding>& findings)
{
    for (const review_finding& finding : findings)
    {
        const std::string_view kind = finding_kind_names[static_cast<std::size_t>(finding.kind)];
        if (context.as_json)
        {
            const nlohmann::json line{
                {"finding", kind}, {"subject", finding.subject}, {"text", finding.text}};
            std::cout << line.dump() << '\n';
            continue;
        }
        std::cout << "warning (" << kind << "): " << finding.subject << ": " << finding.text
                  << '\n';
    }
}

// True when a backend server of the configuration is in the zone.
bool has_zone(const configuration& value, const std::string& zone)
{
    return std::any_of(value.services.begin(), value.services.end(),
                       [&zone](const service_config& service)
                       {
                           return std::any_of(service.backends.begin(), service.backends.end(),
                                              [&zone](const backend_config& backend)
                                              { return backend.zone == zone; });
                       });
}

// Evacuates the zone that the command names, or readmits it.
int change_evacuation(const command_context& context, bool is_ordered)
{
    const std::string& zone = context.argument;
    const auto stored = read_configuration(context.session, context.location);
    if (!stored)
    {
        return fail(stored.error().message, exit_failed);
    }
    configuration wanted = stored.value().value;
    if (is_ordered && !context.force && !has_zone(wanted, zone))
    {
        return fail("no backend server is in zone \"" + zone + "\"; nothing was written (--force)",
                    exit_usage);
    }
    set_evacuated(wanted.evacuated, zone, is_ordered);
    const std::vector<std::string> emptied = services_without_backends(wanted);
    if (is_ordered && !context.force && !emptied.empty())
    {
        return fail("service " + emptied.front() + " and " + std::to_string(emptied.size() - 1) +
                        " others would have no backend server for new flows; nothing was written "
                        "(--force)",
                    exit_failed);
    }
    return write_change(context, stored.value(), wanted);
}

} // namespace

int run_check(const command_context& context)
{
    const auto file = read_file(context);
    if (!file)
    {
        return fail(file.error().message, exit_usage);
    }
    configuration checked;
    checked.services = file.value().services;
    const auto findings = review_configuration(checked);
    print_findings(context, findings);
    if (!findings.empty())
    {
        return exit_findings;
    }
    if (!context.as_json)
    {
        std::cout << context.argument << ": good, " << file.value().services.size()
                  << " services of team " << file.value().team << '\n';
    }
    return exit_good;
}

int run_diff(const command_context& context)
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
    const auto merged = merge_services(stored.value().value, file.value());
    if (!merged)
    {
        return fail(merged.error().message, exit_usage);
    }
    const auto changes = describe_changes(stored.value().value, merged.value());
    for (const std::string& line : changes)
    {
        std::cout << (context.as_json ? nlohmann::json{{"change", line}}.dump() : line) << '\n';
    }
    const auto findings = review_configuration(merged.value());
    print_findings(context, findings);
    if (changes.empty() && !context.as_json)
    {
        std::cout << "nothing differs from revision " << stored.value().value.revision << '\n';
    }
    return changes.empty() && findings.empty() ? exit_good : exit_findings;
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
                             : result<configuration, text_error>(text_error{"no response"});
    if (!held)
    {
        return fail("host " + newest.host.info.name +
                        " did not return its configuration: " + held.error().message,
                    exit_failed);
    }
    std::cout << "host " << newest.host.info.name << " has revision " << newest.revision
              << " in force; writing it back to the platform\n";
    return write_next_revision(context, stored.value(), held.value(), newest.revision + 1);
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
    return write_change(context, stored.value(), merged.value());
}

int run_evacuate(const command_context& context)
{
    return change_evacuation(context, true);
}

int run_readmit(const command_context& context)
{
    return change_evacuation(context, false);
}

int run_evacuations(const command_context& context)
{
    const auto stored = read_configuration(context.session, context.location);
    if (!stored)
    {
        return fail(stored.error().message, exit_failed);
    }
    const auto hosts = read_hosts(context.session, context.location);
    if (!hosts)
    {
        return fail(hosts.error().message, exit_failed);
    }
    const auto reports = query_hosts(context, hosts.value());
    bool all_good = true;
    for (const std::string& zone : stored.value().value.evacuated)
    {
        for (const host_report& report : reports)
        {
            all_good = all_good && report.fault.empty();
            print_zone_report(report, zone, context.as_json);
        }
    }
    if (stored.value().value.evacuated.empty())
    {
        std::cout << (context.as_json ? "" : "no zone is evacuated\n");
    }
    return all_good ? exit_good : exit_failed;
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

int run_status(const command_context& context)
{
    const auto hosts = read_hosts(context.session, context.location);
    if (!hosts)
    {
        return fail(hosts.error().message, exit_failed);
    }
    const auto reports = query_hosts(context, hosts.value());
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
            std::cout << (parameter.default_value ? " (default " + *parameter.default_value + ")"
                                                  : std::string(" (must be given)"))
                      << '\n';
        }
    }
    return exit_good;
}

} // namespace briarbarrow

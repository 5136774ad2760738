#include "tagged/suspicion.hpp"

#include <algorithm>
#include <string>

namespace briarbarrow
{

namespace
{

// Weight of a new sample in the smoothed answer time (EWMA).
constexpr double smoothing = 0.1;

bool is_listed(const known_backend& backend)
{
    return !backend.registration.name.empty() && backend.phase != backend_phase::unlisted;
}

millis check_backoff(std::uint32_t failed_checks, const suspicion_limits& limits)
{
    const std::int64_t doublings = std::min<std::int64_t>(failed_checks, 4);
    return std::min(limits.min_check_interval * (std::int64_t{1} << doublings),
                    limits.max_check_interval);
}

// The listed backend server of a zone that is checked next: each in turn, those that are not
// suspected themselves first. If the zone is reachable after all, one of these answers.
backend_index next_member(const backend_directory& directory, zone_status& zone)
{
    const auto count = static_cast<backend_index>(directory.entries.size());
    backend_index first_suspected = no_backend;
    for (backend_index step = 0; step < count; ++step)
    {
        const backend_index index = (zone.next_member + step) % count;
        const known_backend& backend = directory.entries[index];
        if (!is_listed(backend) || backend.registration.zone != zone.zone)
        {
            continue;
        }
        if (!backend.evidence.is_suspected)
        {
            zone.next_member = index + 1;
            return index;
        }
        first_suspected = first_suspected == no_backend ? index : first_suspected;
    }
    zone.next_member = first_suspected == no_backend ? 0 : first_suspected + 1;
    return first_suspected;
}

} // namespace

zone_status& find_or_add_zone(zone_status_list& zones, std::string_view zone)
{
    const auto found =
        std::find_if(zones.begin(), zones.end(),
                     [zone](const zone_status& entry) { return entry.zone == zone; });
    if (found != zones.end())
    {
        return *found;
    }
    zone_status& added = zones.emplace_back();
    added.zone = zone;
    return added;
}

bool is_unreachable(const zone_status_list& zones, std::string_view zone)
{
    return std::any_of(zones.begin(), zones.end(),
                       [zone](const zone_status& entry)
                       { return entry.is_unreachable && entry.zone == zone; });
}

std::vector<std::string> unreachable_zones(const zone_status_list& zones)
{
    std::vector<std::string> names;
    for (const zone_status& zone : zones)
    {
        if (zone.is_unreachable)
        {
            names.push_back(zone.zone);
        }
    }
    return names;
}

void observe_answer_time(zone_status_list& zones, std::string_view zone, millis measured_time)
{
    const auto measured = static_cast<double>(measured_time.count);
    double& smoothed = find_or_add_zone(zones, zone).answer_ms;
    smoothed += smoothed > 0 ? smoothing * (measured - smoothed) : measured;
}

millis answer_timeout_for(zone_status_list& zones, std::string_view zone,
                          const suspicion_limits& limits)
{
    const double usual_ms = find_or_add_zone(zones, zone).answer_ms;
    if (usual_ms <= 0)
    {
        return limits.initial_answer_timeout;
    }
    const millis wanted{static_cast<std::int64_t>(usual_ms * limits.answer_timeout_factor) + 1};
    return std::clamp(wanted, limits.min_answer_timeout, limits.max_answer_timeout);
}

bool observe_response(known_backend& backend, millis now)
{
    backend_evidence& evidence = backend.evidence;
    evidence.last_response = now;
    const bool was_suspected = evidence.is_suspected;
    evidence.is_suspected = false;
    evidence.is_process_gone = false;
    evidence.failed_checks = 0;
    return was_suspected;
}

bool observe_missing_response(known_backend& backend, millis sent, millis now)
{
    backend_evidence& evidence = backend.evidence;
    if (evidence.is_suspected || evidence.last_response > sent)
    {
        return false;
    }
    evidence.is_suspected = true;
    evidence.suspected_since = now;
    evidence.next_check = now;
    evidence.failed_checks = 0;
    evidence.is_process_gone = false;
    return true;
}

bool request_check(known_backend& backend, millis since, millis now, const suspicion_limits& limits)
{
    backend_evidence& evidence = backend.evidence;
    const bool is_answered = evidence.last_response > since;
    if (!is_listed(backend) || evidence.is_suspected || is_answered || now < evidence.next_check)
    {
        return false;
    }
    evidence.next_check = now + limits.min_check_interval;
    return true;
}

bool has_suspicions(const backend_directory& directory, const zone_status_list& zones)
{
    return std::any_of(directory.entries.begin(), directory.entries.end(),
                       [](const known_backend& backend)
                       { return backend.evidence.is_suspected; }) ||
           std::any_of(zones.begin(), zones.end(),
                       [](const zone_status& zone) { return zone.is_unreachable; });
}

void update_zone_reachability(const backend_directory& directory, zone_status_list& zones,
                              std::string_view own_zone, const suspicion_limits& limits)
{
    struct zone_summary
    {
        std::uint32_t suspected = 0;
        millis first_suspicion;
        millis last_response;
    };
    std::vector<zone_summary> summaries(zones.size());
    for (const known_backend& backend : directory.entries)
    {
        if (!is_listed(backend))
        {
            continue;
        }
        const auto index = static_cast<std::size_t>(
            &find_or_add_zone(zones, backend.registration.zone) - zones.data());
        summaries.resize(zones.size());
        zone_summary& summary = summaries[index];
        const backend_evidence& evidence = backend.evidence;
        summary.last_response = std::max(summary.last_response, evidence.last_response);
        if (evidence.is_suspected)
        {
            summary.first_suspicion = summary.suspected == 0 ? evidence.suspected_since
                                                             : std::min(summary.first_suspicion,
                                                                        evidence.suspected_since);
            ++summary.suspected;
        }
    }
    for (std::size_t i = 0; i < summaries.size(); ++i)
    {
        zone_status& zone = zones[i];
        const zone_summary& summary = summaries[i];
        const bool was_unreachable = zone.is_unreachable;
        zone.is_unreachable = zone.zone != own_zone &&
                              summary.suspected >= limits.min_suspected_for_zone &&
                              summary.last_response < summary.first_suspicion;
        if (!was_unreachable)
        {
            zone.failed_checks = 0;
            zone.next_check = millis{};
        }
    }
}

void collect_due_checks(backend_directory& directory, zone_status_list& zones, millis now,
                        const suspicion_limits& limits, std::vector<backend_index>& due)
{
    for (backend_index index = 0; index < directory.entries.size(); ++index)
    {
        known_backend& backend = directory.entries[index];
        backend_evidence& evidence = backend.evidence;
        const bool is_due = evidence.is_suspected && now >= evidence.next_check;
        const bool is_covered_by_zone =
            evidence.failed_checks > 0 &&
            find_or_add_zone(zones, backend.registration.zone).is_unreachable;
        if (!is_listed(backend) || !is_due || is_covered_by_zone)
        {
            continue;
        }
        evidence.next_check = now + check_backoff(evidence.failed_checks, limits);
        due.push_back(index);
    }
    for (zone_status& zone : zones)
    {
        if (!zone.is_unreachable || now < zone.next_check)
        {
            continue;
        }
        zone.next_check = now + check_backoff(zone.failed_checks, limits);
        const backend_index index = next_member(directory, zone);
        if (index != no_backend)
        {
            due.push_back(index);
        }
    }
}

bool apply_check_outcome(known_backend& backend, zone_status& zone, check_outcome outcome,
                         const suspicion_limits& limits, millis now)
{
    if (outcome == check_outcome::answered)
    {
        zone.failed_checks = 0;
        return observe_response(backend, now);
    }
    if (outcome == check_outcome::unidentified)
    {
        return false;
    }
    backend_evidence& evidence = backend.evidence;
    const bool is_overlapping = outcome == check_outcome::timed_out && evidence.failed_checks > 0 &&
                                now < evidence.last_failed_check + limits.min_timeout_spacing;
    if (is_overlapping)
    {
        return false;
    }
    evidence.last_failed_check = now;
    ++zone.failed_checks;
    evidence.is_process_gone =
        outcome == check_outcome::refused || outcome == check_outcome::replaced;
    ++evidence.failed_checks;
    const bool is_new = !evidence.is_suspected;
    if (is_new)
    {
        evidence.is_suspected = true;
        evidence.suspected_since = now;
        evidence.next_check = now;
        evidence.failed_checks = 1;
    }
    return is_new;
}

bool is_presumed_dead(const known_backend& backend, const zone_status_list& zones,
                      const suspicion_limits& limits)
{
    const backend_evidence& evidence = backend.evidence;
    if (!evidence.is_suspected || evidence.failed_checks == 0)
    {
        // A zone may look unreachable because many of its backend servers crashed; the others live.
        return false;
    }
    return evidence.failed_checks >= limits.failed_checks_to_presume_dead ||
           std::any_of(zones.begin(), zones.end(),
                       [&backend, &limits](const zone_status& zone)
                       {
                           return zone.is_unreachable && zone.zone == backend.registration.zone &&
                                  zone.failed_checks >= limits.failed_checks_to_presume_dead;
                       });
}

} // namespace briarbarrow

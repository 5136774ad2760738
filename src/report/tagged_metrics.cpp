#include "report/tagged_metrics.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string_view>

namespace briarbarrow
{

namespace
{

void add_metric(std::string& page, std::string_view name, std::string_view label,
                std::string_view label_value, std::uint64_t value)
{
    page.append("briarbarrow_").append(name);
    if (!label.empty())
    {
        page.append("{").append(label).append("=\"").append(label_value).append("\"}");
    }
    page.append(" ").append(std::to_string(value)).append("\n");
}

void add_summary(std::string& page, std::string_view name, const histogram& values)
{
    if (values.count() == 0)
    {
        return;
    }
    for (std::size_t i = 0; i < reported_quantiles.size(); ++i)
    {
        page.append("briarbarrow_").append(name).append("{quantile=\"");
        page.append(std::to_string(reported_quantiles[i])).append("\"} ");
        page.append(std::to_string(values.quantile(i))).append("\n");
    }
    page.append("briarbarrow_").append(name).append("_sum ");
    page.append(std::to_string(values.sum())).append("\n");
    add_metric(page, std::string(name) + "_count", "", "", values.count());
}

template <std::size_t Count>
void add_metric_family(std::string& page, std::string_view name, std::string_view label,
                       const std::array<std::string_view, Count>& names,
                       const std::array<std::uint64_t, Count>& values)
{
    for (std::size_t i = 0; i < Count; ++i)
    {
        add_metric(page, name, label, names[i], values[i]);
    }
}

void add_peer_metrics(std::string& page, const replica_sync& known, millis now)
{
    add_metric(page, "peers_live", "", "", live_peers(known.peers, now).size());
    add_metric(page, "peer_greetings_total", "", "", known.counts.gossip_sent);
    add_metric(page, "peer_questions_total", "", "", known.counts.requests_sent);
    add_metric(page, "peer_answers_total", "", "", known.counts.responses_sent);
    add_metric(page, "peer_bytes_sent_total", "", "", known.counts.bytes_sent);
    add_metric(page, "contested_flows_reported_total", "", "", known.counts.contested_reported);
    add_metric(page, "contested_flows_omitted_total", "", "", known.counts.contested_omitted);
    add_metric(page, "peer_datagrams_bad_total", "", "", known.counts.malformed_datagrams);
    add_metric_family(page, "replica_changes_total", "effect", change_effect_names,
                      known.counts.changes);
    add_metric(page, "replica_era", "", "", known.replica.position.era);
    add_metric(page, "replica_revision", "", "", known.replica.position.revision);
}

// Admission of new flows by the priority of their routes, and what it is decided from. The
// daemon's zone is that of its callers.
void add_admission_metrics(std::string& page, const router_state& router)
{
    for (std::size_t priority = 0; priority < router.admissions.size(); ++priority)
    {
        for (std::size_t verdict = 0; verdict < admission_verdict_names.size(); ++verdict)
        {
            page.append("briarbarrow_admissions_total{priority=\"")
                .append(std::to_string(priority));
            page.append("\",verdict=\"").append(admission_verdict_names[verdict]).append("\"} ");
            page.append(std::to_string(router.admissions[priority][verdict])).append("\n");
        }
    }
    constexpr double millionths = 1'000'000;
    add_metric(page, "fleet_share_millionths", "", "",
               static_cast<std::uint64_t>(std::llround(router.fleet_share * millionths)));
    std::size_t standing_queues = 0;
    double longest_wait_ms = 0;
    for (const auto& [service, queue] : router.queues)
    {
        standing_queues += queue.history.is_standing ? 1 : 0;
        longest_wait_ms = std::max(longest_wait_ms, queue.waits.measured_wait_ms);
    }
    add_metric(page, "standing_queues", "", "", standing_queues);
    add_metric(page, "longest_measured_wait_ms", "", "",
               static_cast<std::uint64_t>(std::llround(longest_wait_ms)));
}

} // namespace

std::string make_tagged_metrics(const metrics_source& source, millis now)
{
    const router_state& router = source.router;
    const daemon_counts& counts = source.counts;
    std::string page;
    add_metric_family(page, "packets_total", "reason", verdict_reason_names, router.reasons);
    add_metric_family(page, "bad_packets_total", "reason", packet_error_names, counts.bad_packets);
    add_metric_family(page, "store_calls_total", "outcome", store_outcome_names,
                      counts.store_calls);
    add_metric_family(page, "flow_lookups_total", "outcome", lookup_outcome_names,
                      router.lookups.outcomes);
    add_metric(page, "flow_records_written_total", "", "", counts.written_records);
    add_metric(page, "flow_records_dropped_total", "", "", counts.dropped_records);
    add_metric(page, "held_packets_dropped_total", "", "", counts.dropped_held_packets);
    add_metric(page, "writes_tag_forms", "", "", router.writes_tag_forms ? 1 : 0);
    const auto suspected =
        std::count_if(router.backends.entries.begin(), router.backends.entries.end(),
                      [](const known_backend& backend) { return backend.evidence.is_suspected; });
    add_metric(page, "backends", "", "", router.backends.by_name.size());
    add_metric(page, "backends_suspected", "", "", static_cast<std::uint64_t>(suspected));
    const auto demoted = std::count_if(
        router.backends.entries.begin(), router.backends.entries.end(),
        [](const known_backend& backend) { return backend.evidence.answers.is_demoted; });
    add_metric(page, "backends_set_aside", "", "", static_cast<std::uint64_t>(demoted));
    add_metric(page, "zones_evacuated", "", "", router.backends.evacuated.size());
    for (const std::string& zone : router.backends.evacuated)
    {
        add_metric(page, "evacuated_zone_flows", "zone", zone,
                   flows_in_zone(router.backends, zone));
    }
    const auto slow = std::count_if(router.backends.entries.begin(), router.backends.entries.end(),
                                    [](const known_backend& backend)
                                    { return backend.evidence.slowness_factor > 1; });
    add_metric(page, "backends_slow", "", "", static_cast<std::uint64_t>(slow));
    add_metric(page, "backend_probes_total", "", "", router.probes_total);
    add_metric(page, "warm_up_placements_total", "", "", router.cold_placements_total);
    add_admission_metrics(page, router);
    add_metric(page, "flows_remembered", "", "", router.flows.flows.size());
    add_metric(page, "routes_version", "", "", router.routes.version);
    add_peer_metrics(page, source.known, now);
    add_metric(page, "entries_refused_total", "", "", counts.refused_entries);
    add_metric(page, "log_lines_omitted_total", "", "", counts.omitted_lines);
    add_metric(page, "datagrams_received_total", "", "", source.datagrams.received);
    add_metric(page, "datagrams_sent_total", "", "", source.datagrams.sent);
    add_metric(page, "datagrams_unsent_total", "", "", source.datagrams.send_failures);
    add_summary(page, "opening_answer_ms", counts.answer_ms);
    add_summary(page, "flow_life_ms", counts.flow_lifetime_ms);
    add_summary(page, "expected_wait_ms", counts.wait_ms);
    return page;
}

} // namespace briarbarrow

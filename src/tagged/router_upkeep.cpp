#include "tagged/router_parts.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarbarrow
{

namespace
{

// In each interval a backend server's measured flow lifetime moves this fraction of the way to that
// of its service, so that one that was slow is tried again.
constexpr millis decay_interval{1'000};
constexpr double decay_fraction = 0.2;
// Weight of the last interval in the smoothed rate of new flows.
constexpr double rate_smoothing = 0.5;
// An answer that takes less than this fraction of the usual processing time wasn't processed.
constexpr double fast_answer_share = 0.5;
// Weight of one answer in the share of short ones.
constexpr double short_smoothing = 0.05;
// A wait above this fraction of the processing time shows a queue.
constexpr double significant_queue_share = 0.5;
// Interval and weight of a sample in the smoothed flows in flight of a backend server: some two
// seconds, in which a caller with a long flow sends its next requests.
constexpr millis load_interval{250};
constexpr double load_smoothing = 0.12;

// True when a request may lack an answer for a reason other than failing at its backend server: its
// flow belongs to the backlog of callers that waited for this daemon, there is a queue, or the
// backend server or its zone is already taken to be unresponsive.
bool is_wait_explained(const router_state& state, const remembered_flow& flow, millis now)
{
    const known_backend& backend = state.backends.entries[flow.backend];
    const bool is_backlog = flow.opened < state.resumed_at + backlog_window;
    const auto queue = state.queues.find(backend.service);
    const bool has_queue =
        queue != state.queues.end() && now < queue->second.history.last_backlogged + flow.timeout;
    return is_backlog || has_queue || backend.evidence.is_suspected ||
           is_unreachable(state.zones, backend.registration.zone);
}

// Reviews a flow whose request has waited longer than usual, or whose caller has given up.
void review_unanswered_request(router_state& state, remembered_flow& flow, millis now)
{
    if (is_awaiting_answer(flow) && !is_wait_explained(state, flow, now))
    {
        record_request_outcome(state, flow, now);
    }
}

// Reviews the flows that are due: removes expired ones, and stops counting abandoned ones as load.
void review_flows(router_state& state, millis now)
{
    std::deque<flow_review>& reviews = state.flows.reviews;
    while (!reviews.empty() && reviews.front().due <= now)
    {
        const flow_key key = reviews.front().key;
        reviews.pop_front();
        remembered_flow* flow = find_flow(state, key);
        if (flow == nullptr)
        {
            continue;
        }
        report_unopened_flow(state, key, *flow);
        if (is_flow_expired(*flow, state.routes.idle_timeout, now))
        {
            forget_flow(state, key);
            continue;
        }
        if (is_likely_abandoned(*flow, now))
        {
            review_unanswered_request(state, *flow, now);
            stop_counting_flow(state.backends, *flow);
        }
        reviews.push_back(flow_review{now + flow_review_interval, key});
    }
}

// Requests a health check of each backend server at which a request makes no progress. Missing
// responses to opening packets don't reveal all of them: one that is busy with such requests may
// get no opening packets.
void review_busy_flows(router_state& state, millis now)
{
    std::deque<flow_review>& reviews = state.flows.busy_reviews;
    while (!reviews.empty() && reviews.front().due <= now)
    {
        const flow_key key = reviews.front().key;
        reviews.pop_front();
        remembered_flow* flow = find_flow(state, key);
        const bool is_busy = flow != nullptr && flow->stage == flow_stage::open &&
                             flow->backend != no_backend && !is_likely_abandoned(*flow, now);
        if (!is_busy)
        {
            continue;
        }
        known_backend& backend = state.backends.entries[flow->backend];
        const auto usual_ms =
            static_cast<std::int64_t>(stall_timeout_factor * service_time(state, backend.service));
        const millis stall_timeout = std::max(min_stall_timeout, millis{usual_ms});
        const millis since = std::max(flow->last_progress, state.resumed_at);
        const bool is_overdue =
            is_stalled(*flow, stall_timeout, now) && now >= since + stall_timeout;
        if (is_overdue && request_check(backend, since, now, state.settings.suspicion))
        {
            state.requested_checks.push_back(flow->backend);
        }
        if (is_overdue)
        {
            review_unanswered_request(state, *flow, now);
        }
        if (is_load_expired(*flow, now))
        {
            stop_counting_flow(state.backends, *flow);
        }
        reviews.push_back(flow_review{now + busy_review_interval, key});
    }
}

// Suspects backend servers that have not responded to an opening packet in time.
void suspect_unresponsive(router_state& state, millis now)
{
    std::deque<pending_opening> waiting;
    for (const pending_opening& opening : state.pending)
    {
        remembered_flow* flow = find_flow(state, opening.key);
        const bool is_waiting = flow != nullptr && flow->stage == flow_stage::opening &&
                                flow->backend == opening.backend;
        if (!is_waiting)
        {
            continue;
        }
        known_backend& backend = state.backends.entries[opening.backend];
        const millis since = std::max(opening.sent, state.resumed_at);
        const millis timeout =
            answer_timeout_for(state.zones, backend.registration.zone, state.settings.suspicion);
        if (now < since + timeout)
        {
            waiting.push_back(opening);
            continue;
        }
        // A flow that was not answered in time doesn't count as load of its backend server.
        stop_counting_flow(state.backends, *flow);
        if (observe_missing_response(backend, opening.sent, now))
        {
            state.state_changes.push_back(
                {state_change_kind::backend_suspected, opening.backend, flow->tuple,
                 "waited_ms=" + std::to_string((now - opening.sent).count) +
                     " patience_ms=" + std::to_string(timeout.count) +
                     " in_flight=" + std::to_string(backend.evidence.in_flight)});
        }
    }
    state.pending = std::move(waiting);
}

// Updates which zones are unreachable, and records each change.
void update_reachability(router_state& state)
{
    std::vector<bool> before;
    for (const zone_status& zone : state.zones)
    {
        before.push_back(zone.is_unreachable);
    }
    update_zone_reachability(state.backends, state.zones, state.settings.own_zone,
                             state.settings.suspicion);
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        const zone_status& zone = state.zones[i];
        if (zone.is_unreachable != before[i])
        {
            state.state_changes.push_back(
                {zone.is_unreachable ? state_change_kind::zone_unreachable
                                     : state_change_kind::zone_reachable,
                 no_backend,
                 {},
                 "zone=" + zone.zone + " failed_checks=" + std::to_string(zone.failed_checks)});
        }
    }
}

// Resets stalled flows at backend servers that are presumed dead.
void reset_stalled_flows(router_state& state, millis now, router_actions& actions)
{
    const bool any_dead =
        std::any_of(state.backends.entries.begin(), state.backends.entries.end(),
                    [&state](const known_backend& backend)
                    {
                        return backend.remembered_flows > 0 &&
                               is_presumed_dead(backend, state.zones, state.settings.suspicion);
                    });
    if (!any_dead)
    {
        return;
    }
    for (auto& [key, flow] : state.flows.flows)
    {
        if (flow.backend == no_backend || !should_reset_flow(state, flow, now))
        {
            continue;
        }
        actions.resets.push_back(proactive_reset{flow.tuple, flow.acknowledgement});
        ++state.reasons[static_cast<std::size_t>(verdict_reason::proactive_reset)];
        const backend_evidence& evidence = state.backends.entries[flow.backend].evidence;
        state.state_changes.push_back(
            {state_change_kind::flow_reset, flow.backend, flow.tuple,
             "stuck_ms=" + std::to_string((now - flow.last_progress).count) +
                 " failed_checks=" + std::to_string(evidence.failed_checks)});
        close_flow(state, flow);
    }
}

// Puts backend servers whose demotion is over on probation.
void end_demotions(router_state& state, millis now)
{
    for (backend_index index = 0; index < state.backends.entries.size(); ++index)
    {
        if (end_demotion(state.backends.entries[index].evidence.answers, state.settings.answers,
                         now))
        {
            state.state_changes.push_back({state_change_kind::backend_on_probation, index, {}, ""});
        }
    }
}

// Derives what placement uses from each backend server's pace, and reports changes.
void update_paces(router_state& state, millis now)
{
    const pace_limits& limits = state.settings.pace;
    for (backend_index index = 0; index < state.backends.entries.size(); ++index)
    {
        backend_evidence& evidence = state.backends.entries[index].evidence;
        if (!evidence.pace.slow_at)
        {
            continue;
        }
        const double log_ratio = log_pace(evidence.pace, limits, now);
        const bool was_slow = evidence.slowness_factor > 1;
        const bool is_slow = log_ratio > limits.slow_log_ratio;
        evidence.slowness_factor = is_slow ? std::exp(log_ratio) : 1;
        if (was_slow && !is_slow)
        {
            // Other daemons have measured that what this one remembers is over.
            evidence.flow_lifetime_ms = service_time(state, state.backends.entries[index].service);
        }
        if (is_slow != was_slow)
        {
            state.state_changes.push_back(
                {is_slow ? state_change_kind::backend_slow
                         : state_change_kind::backend_pace_regained,
                 index,
                 {},
                 "percent_of_usual_time=" +
                     std::to_string(static_cast<std::int64_t>(100 * std::exp(log_ratio))) +
                     " weight=" +
                     std::to_string(static_cast<std::int64_t>(evidence.pace.pooled.weight))});
        }
    }
}

// Samples the flows in flight of each backend server.
void smooth_load(router_state& state, millis now)
{
    if (now < state.last_load_sample + load_interval)
    {
        return;
    }
    state.last_load_sample = now;
    update_paces(state, now);
    for (known_backend& backend : state.backends.entries)
    {
        backend_evidence& evidence = backend.evidence;
        evidence.smoothed_in_flight +=
            load_smoothing * (evidence.in_flight - evidence.smoothed_in_flight);
    }
}

// Once per interval: updates the rate of new flows, renews the budget of failure reports, decays
// the backend servers' lifetimes and removes backend servers that are long unlisted.
void decay_statistics(router_state& state, millis now)
{
    if (now < state.last_decay + decay_interval)
    {
        return;
    }
    const double seconds = static_cast<double>((now - state.last_decay).count) / 1000;
    state.last_decay = now;
    const double opened_per_s = static_cast<double>(state.openings_in_interval) / seconds;
    state.openings_per_s += rate_smoothing * (opened_per_s - state.openings_per_s);
    state.openings_in_interval = 0;
    state.failure_report_budget = state.settings.answers.max_reports_per_second;
    for (known_backend& backend : state.backends.entries)
    {
        const double service_ms = service_time(state, backend.service);
        backend.evidence.flow_lifetime_ms +=
            decay_fraction * (service_ms - backend.evidence.flow_lifetime_ms);
    }
    forget_unlisted(state.backends, now);
    expire_contested_flows(state.contested, state.settings.max_flow_age, now);
}

} // namespace

bool has_fresh_lists(const router_state& state, millis now)
{
    return state.has_lists && now <= state.lists_confirmed_at + max_list_age;
}

remembered_flow* find_flow(router_state& state, const flow_key& key)
{
    const auto found = state.flows.flows.find(key);
    return found == state.flows.flows.end() ? nullptr : &found->second;
}

void forget_flow(router_state& state, const flow_key& key)
{
    const auto found = state.flows.flows.find(key);
    if (found != state.flows.flows.end())
    {
        detach_flow(state.backends, found->second);
        state.flows.flows.erase(found);
    }
}

double service_time(const router_state& state, service_id service)
{
    const auto found = state.service_ms.find(service);
    return found == state.service_ms.end() ? 0 : found->second;
}

millis loaded_stall_timeout(const router_state& state, service_id service)
{
    const auto queue = state.queues.find(service);
    if (queue == state.queues.end())
    {
        return min_stall_timeout;
    }
    const wait_evidence& waits = queue->second.waits;
    const double usual_ms = waits.uncontended_ms + std::max(0.0, waits.measured_wait_ms);
    const millis usual{static_cast<std::int64_t>(stall_timeout_factor * usual_ms)};
    return std::clamp(usual, min_stall_timeout, max_stall_timeout);
}

bool should_reset_flow(const router_state& state, const remembered_flow& flow, millis now)
{
    if (flow.stage != flow_stage::open || now < flow.last_progress + min_stall_timeout)
    {
        return false;
    }
    const known_backend& backend = state.backends.entries[flow.backend];
    if (!backend.evidence.is_process_gone &&
        now < flow.last_progress + loaded_stall_timeout(state, backend.service))
    {
        return false;
    }
    if (!is_presumed_dead(backend, state.zones, state.settings.suspicion))
    {
        return false;
    }
    return flow.kind != request_kind::at_most_once || backend.evidence.is_process_gone;
}

bool is_awaiting_answer(const remembered_flow& flow)
{
    return flow.is_outcome_pending && flow.has_request && flow.acknowledgement == flow.answer_begin;
}

std::optional<double> queued_short_share(const service_queue& queue)
{
    // At the begin of an overload full backend servers answer before the first request that has
    // waited.
    const double wait_ms = std::max(queue.waits.measured_wait_ms, queue.history.smoothed_wait_ms);
    const bool has_queue = wait_ms > significant_queue_share * queue.waits.uncontended_ms;
    return has_queue ? std::optional<double>(queue.short_share) : std::nullopt;
}

std::optional<answer_class> record_request_outcome(router_state& state, remembered_flow& flow,
                                                   millis now)
{
    if (!flow.is_outcome_pending || flow.backend == no_backend)
    {
        return std::nullopt;
    }
    flow.is_outcome_pending = false;
    const endpoint route{flow.tuple.destination, flow.tuple.destination_port};
    answer_profile& profile = state.answers[route];
    const std::uint32_t bytes = flow.acknowledgement - flow.answer_begin;
    known_backend& backend = state.backends.entries[flow.backend];
    service_queue& queue = state.queues[backend.service];
    const bool is_fast = static_cast<double>((now - flow.request_begun).count) <
                         fast_answer_share * queue.waits.uncontended_ms;
    const std::optional<double> queued_share = queued_short_share(queue);
    const answer_class observed_class = classify_answer(profile, bytes, state.settings.answers,
                                                        is_fast || queued_share.has_value());
    if (observed_class != answer_class::missing)
    {
        const double is_short = observed_class == answer_class::short_answer ? 1 : 0;
        queue.short_share += short_smoothing * (is_short - queue.short_share);
    }
    answer_record& record = backend.evidence.answers;
    const bool was_demoted = record.is_demoted;
    const bool is_new =
        observe_answer(record, observed_class, state.settings.answers, now, queued_share);
    if (observed_class != answer_class::complete && !was_demoted && state.failure_report_budget > 0)
    {
        --state.failure_report_budget;
        state.failure_reports.push_back(
            {backend.registration.name,
             make_request_failure(record, observed_class, state.settings.answers, now)});
    }
    if (!is_new)
    {
        return observed_class;
    }
    const std::string_view class_name =
        answer_class_names[static_cast<std::size_t>(observed_class)];
    const auto usual_bytes = static_cast<std::int64_t>(std::exp(profile.log_mean));
    state.state_changes.push_back({state_change_kind::backend_demoted, flow.backend, flow.tuple,
                                   "by=own sign=" + std::string(class_name) +
                                       " answer_bytes=" + std::to_string(bytes) +
                                       " usual_bytes=" + std::to_string(usual_bytes) +
                                       " repeats=" + std::to_string(record.consecutive_demotions)});
    return observed_class;
}

void note_return(const router_state& state, known_backend& backend, millis now)
{
    const warm_up_limit* limit = find_warm_up_limit(state.routes, backend.service);
    if (limit != nullptr && backend.evidence.is_suspected && backend.evidence.failed_checks > 0)
    {
        backend.warm_until = std::max(backend.warm_until, now + limit->duration);
    }
}

void close_flow(router_state& state, remembered_flow& flow)
{
    flow.stage = flow_stage::closed;
    stop_counting_flow(state.backends, flow);
}

void notice_pause(router_state& state, millis now)
{
    if (now <= state.last_tick + pause_threshold)
    {
        return;
    }
    state.resumed_at = now;
    state.pause_duration = now - state.last_tick;
    state.feeders.settled_at = now + feeder_settle_time;
    state.backlog_until = now + backlog_window;
    state.state_changes.push_back({state_change_kind::process_paused,
                                   no_backend,
                                   {},
                                   "ms=" + std::to_string((now - state.last_tick).count)});
    state.last_tick = now;
}

void tick_router(router_state& state, millis now, router_actions& actions)
{
    notice_pause(state, now);
    state.last_tick = now;
    if (state.has_lists && now > state.lists_confirmed_at + max_list_age)
    {
        state.lists_fresh_since = now;
    }
    suspect_unresponsive(state, now);
    review_busy_flows(state, now);
    if (has_suspicions(state.backends, state.zones))
    {
        update_reachability(state);
        collect_due_checks(state.backends, state.zones, now, state.settings.suspicion,
                           actions.checks);
    }
    actions.checks.insert(actions.checks.end(), state.requested_checks.begin(),
                          state.requested_checks.end());
    state.requested_checks.clear();
    actions.unresponsive = std::move(state.newly_unresponsive);
    state.newly_unresponsive.clear();
    actions.failures = std::move(state.failure_reports);
    state.failure_reports.clear();
    actions.contested = std::move(state.newly_contested);
    state.newly_contested.clear();
    smooth_load(state, now);
    end_demotions(state, now);
    reset_stalled_flows(state, now, actions);
    review_flows(state, now);
    expire_lookups(state.lookups, now);
    decay_statistics(state, now);
}

} // namespace briarbarrow

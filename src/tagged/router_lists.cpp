#include "tagged/router_parts.hpp"

#include <algorithm>

namespace briarbarrow
{

namespace
{

// A response that this daemon has observed within this time outweighs another daemon's report that
// the backend server is unresponsive.
constexpr millis response_grace{100};

} // namespace

void start_router(router_state& state, const router_settings& settings, millis now)
{
    state.settings = settings;
    state.last_tick = now;
    state.resumed_at = now;
    state.feeders.settled_at = now + feeder_settle_time;
    state.last_decay = now;
}

void handle_check_result(router_state& state, const std::string& name, check_outcome outcome,
                         millis now)
{
    const auto found = state.backends.by_name.find(name);
    if (found == state.backends.by_name.end())
    {
        return;
    }
    known_backend& backend = state.backends.entries[found->second];
    zone_status& zone = find_or_add_zone(state.zones, backend.registration.zone);
    if (outcome == check_outcome::answered)
    {
        note_return(state, backend, now);
    }
    const bool is_change =
        apply_check_outcome(backend, zone, outcome, state.settings.suspicion, now);
    if (outcome == check_outcome::answered)
    {
        if (is_change)
        {
            state.state_changes.push_back(
                {state_change_kind::backend_responsive, found->second, {}, "by=check"});
        }
        return;
    }
    const std::string_view outcome_name = check_outcome_names[static_cast<std::size_t>(outcome)];
    state.state_changes.push_back({state_change_kind::check_failed,
                                   found->second,
                                   {},
                                   "outcome=" + std::string(outcome_name) + " failed_checks=" +
                                       std::to_string(backend.evidence.failed_checks)});
    const bool is_first_failure = backend.evidence.is_suspected && !zone.is_unreachable &&
                                  backend.evidence.failed_checks == 1 &&
                                  outcome != check_outcome::unidentified;
    if (is_first_failure)
    {
        state.newly_unresponsive.push_back(name);
    }
}

void handle_unresponsive_report(router_state& state, const std::string& name, millis now)
{
    const auto found = state.backends.by_name.find(name);
    if (found != state.backends.by_name.end() &&
        request_check(state.backends.entries[found->second], now - response_grace, now,
                      state.settings.suspicion))
    {
        state.requested_checks.push_back(found->second);
    }
}

void handle_failure_report(router_state& state, const failure_report& report, millis now)
{
    const auto found = state.backends.by_name.find(report.backend);
    if (found == state.backends.by_name.end())
    {
        return;
    }
    known_backend& backend = state.backends.entries[found->second];
    answer_record& record = backend.evidence.answers;
    if (observe_reported_failure(record, report.failure, state.settings.answers, now,
                                 queued_short_share(state.queues[backend.service])))
    {
        state.state_changes.push_back(
            {state_change_kind::backend_demoted,
             found->second,
             {},
             "by=peer repeats=" + std::to_string(record.consecutive_demotions)});
    }
}

void apply_route_list(router_state& state, const route_list& list)
{
    const std::uint64_t before = state.routes.version;
    if (apply_routes(state.routes, list))
    {
        std::erase_if(state.answers, [&state](const auto& entry)
                      { return find_route(state.routes, entry.first) == nullptr; });
        state.state_changes.push_back({state_change_kind::routes_applied,
                                       no_backend,
                                       {},
                                       "version=" + std::to_string(list.version) +
                                           " before=" + std::to_string(before) +
                                           " routes=" + std::to_string(list.routes.size())});
        return;
    }
    if (list.version < before)
    {
        state.state_changes.push_back(
            {state_change_kind::routes_outdated,
             no_backend,
             {},
             "version=" + std::to_string(list.version) + " in_force=" + std::to_string(before)});
    }
}

void apply_backend_registration(router_state& state, const backend_registration& registration,
                                millis now)
{
    set_entry_unusable(state.backends, registration.name, false);
    const registration_effect effect = apply_registration(state.backends, registration, now);
    if (effect == registration_effect::none)
    {
        return;
    }
    const std::string_view name = registration_effect_names[static_cast<std::size_t>(effect)];
    const backend_index index = state.backends.by_name.at(registration.name);
    const bool is_draining = state.backends.entries[index].registration.is_draining;
    state.state_changes.push_back(
        {state_change_kind::backend_listed,
         index,
         {},
         "effect=" + std::string(name) + " service=" + registration.service +
             " zone=" + registration.zone + " draining=" + (is_draining ? "1" : "0") +
             " warm_up_ms=" + std::to_string(registration.warm_up_remaining.count)});
}

void handle_unusable_entry(router_state& state, const std::string& name, millis now)
{
    handle_backend_unlisted(state, name, now);
    set_entry_unusable(state.backends, name, true);
}

void handle_backend_unlisted(router_state& state, const std::string& name, millis now)
{
    set_entry_unusable(state.backends, name, false);
    if (mark_unlisted(state.backends, name, now))
    {
        state.state_changes.push_back(
            {state_change_kind::backend_unlisted, state.backends.by_name.at(name), {}, ""});
    }
}

void apply_zone_evacuation(router_state& state, std::string_view zone, bool is_ordered,
                           const store_position& position)
{
    if (!set_zone_evacuated(state.backends, zone, is_ordered))
    {
        return;
    }
    state.state_changes.push_back(
        {is_ordered ? state_change_kind::zone_evacuated : state_change_kind::evacuation_withdrawn,
         no_backend,
         {},
         "zone=" + std::string(zone) + " position=" + to_string(position) +
             " flows=" + std::to_string(flows_in_zone(state.backends, zone))});
}

void confirm_lists(router_state& state, millis now)
{
    if (!state.has_lists)
    {
        state.lists_fresh_since = now;
    }
    state.has_lists = true;
    state.lists_confirmed_at = std::max(state.lists_confirmed_at, now);
}

bool is_router_ready(const router_state& state)
{
    // Without complete lists it goes by the part that has been read so far.
    return state.routes.version > 0 && (state.has_lists || !state.backends.by_name.empty());
}

bool is_ready_for_new_flows(router_state& state, millis now)
{
    notice_pause(state, now);
    const bool is_outdated = state.pause_duration > max_list_age &&
                             state.lists_confirmed_at < state.resumed_at &&
                             now < state.resumed_at + max_unconfirmed_time;
    return is_router_ready(state) && !is_outdated;
}

} // namespace briarbarrow

#include "report/tagged_lines.hpp"

namespace briarbarrow
{

namespace
{

std::string format_flow(const flow_tuple& flow)
{
    return to_string(endpoint{flow.source, flow.source_port}) + ">" +
           to_string(endpoint{flow.destination, flow.destination_port});
}

template <typename Enum, std::size_t Count>
std::string_view enum_name(const std::array<std::string_view, Count>& names, Enum value)
{
    return names[static_cast<std::size_t>(value)];
}

} // namespace

bool should_log_decision(const tagged_packet& packet, const packet_decision& decision)
{
    return decision.verdict != packet_verdict::forward || packet.opens || decision.is_first_request;
}

log_line make_decision_line(const router_state& router, const tagged_packet& packet,
                            const packet_decision& decision, std::string_view request_id,
                            millis now)
{
    log_line line(decision.is_first_request ? "request" : "packet");
    line.add("flow", format_flow(packet.tuple))
        .add("verdict", enum_name(packet_verdict_names, decision.verdict))
        .add("reason", enum_name(verdict_reason_names, decision.reason));
    if (decision.backend != no_backend)
    {
        const known_backend& backend = router.backends.entries[decision.backend];
        line.add("backend", backend.registration.name)
            .add("in_flight", backend.evidence.in_flight)
            .add("suspected", backend.evidence.is_suspected ? 1 : 0);
    }
    if (packet.opens)
    {
        line.add("wait_ms", static_cast<std::int64_t>(decision.wait_ms))
            .add("routes", static_cast<std::int64_t>(router.routes.version))
            .add("list_age_ms", (now - router.lists_confirmed_at).count);
    }
    if (decision.is_first_request)
    {
        line.add("id", request_id);
    }
    return line;
}

log_line make_state_change_line(const router_state& router, const state_change& change)
{
    log_line line(enum_name(state_change_kind_names, change.kind));
    if (change.backend != no_backend)
    {
        line.add("backend", router.backends.entries[change.backend].registration.name);
    }
    if (change.flow.source_port != 0)
    {
        line.add("flow", format_flow(change.flow));
    }
    line.append(change.detail);
    return line;
}

} // namespace briarbarrow

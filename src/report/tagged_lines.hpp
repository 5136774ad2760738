// The log lines of a daemon whose packets carry a tag: one for each decision that touches a request
// or changes what the daemon believes.
#ifndef BRIARBARROW_REPORT_TAGGED_LINES_HPP
#define BRIARBARROW_REPORT_TAGGED_LINES_HPP

#include <string_view>

#include "net/line_log.hpp"
#include "tagged/tag_router.hpp"

namespace briarbarrow
{

// True for openings, for packets that begin a request, and for those that are not sent on.
bool should_log_decision(const tagged_packet& packet, const packet_decision& decision);

// The line of a decision, with the id of the request where the packet begins one.
log_line make_decision_line(const router_state& router, const tagged_packet& packet,
                            const packet_decision& decision, std::string_view request_id,
                            millis now);

// The line of a change of belief.
log_line make_state_change_line(const router_state& router, const state_change& change);

} // namespace briarbarrow

#endif

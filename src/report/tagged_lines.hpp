// The log lines of a daemon whose packets carry a tag: one for each packet decision that affects a
// request, and one for each state change of the router.
#ifndef BRIARBARROW_REPORT_TAGGED_LINES_HPP
#define BRIARBARROW_REPORT_TAGGED_LINES_HPP

#include <string_view>

#include "net/line_log.hpp"
#include "tagged/tag_router.hpp"

namespace briarbarrow
{

// True for opening packets, for packets that begin a request, and for those that are not forwarded.
bool should_log_decision(const tagged_packet& packet, const packet_decision& decision);

// Makes the log line of a decision. It includes the request's id if the packet begins a request.
log_line make_decision_line(const router_state& router, const tagged_packet& packet,
                            const packet_decision& decision, std::string_view request_id,
                            millis now);

// Makes the log line of a state change.
log_line make_state_change_line(const router_state& router, const state_change& change);

} // namespace briarbarrow

#endif

// Internal functions shared by the router's source files: packets (tag_router.cpp), opening
// packets (router_openings.cpp), where flows are open (router_locations.cpp), ticks
// (router_upkeep.cpp), lists and reports (router_lists.cpp), contested flows
// (router_contested.cpp), and what daemons tell each other about load (load_sharing.cpp).
#ifndef BRIARBARROW_TAGGED_ROUTER_PARTS_HPP
#define BRIARBARROW_TAGGED_ROUTER_PARTS_HPP

#include "tagged/tag_router.hpp"

namespace briarbarrow
{

// How long after its start or a pause a daemon still handles the backlog of callers that waited
// for it: the longest timeout of a caller.
constexpr millis backlog_window{1'000};

// True when the lists were confirmed recently, so that what they lack does not exist.
bool has_fresh_lists(const router_state& state, millis now);

// Records the end of a pause of the process, if there was one since the last tick. Packets that
// waited in the socket are handled before the first tick, so they ask as well.
void notice_pause(router_state& state, millis now);

// The remembered flow with this key, or null.
remembered_flow* find_flow(router_state& state, const flow_key& key);

// Removes a flow from the memory, if it is remembered.
void forget_flow(router_state& state, const flow_key& key);

// Smoothed lifetime of a service's flows. Unit: milliseconds; 0 before the first one.
double service_time(const router_state& state, service_id service);

// How long a flow stalls before timed-out health checks of its backend server count against it: a
// multiple of what requests of the service take now. A backend server whose queue is full answers
// neither the flow nor a check in less.
millis loaded_stall_timeout(const router_state& state, service_id service);

// True when a reset serves a flow's caller better than further waiting: the flow has stalled and
// its backend server is presumed dead. For an at-most-once request the backend server's process
// must also be known to be gone, since the request may otherwise still run.
bool should_reset_flow(const router_state& state, const remembered_flow& flow, millis now);

// True while a flow's request is in progress and its caller has acknowledged no byte of an answer.
bool is_awaiting_answer(const remembered_flow& flow);

// The smoothed share of short answers of a service with a queue; no value if it has none.
std::optional<double> queued_short_share(const service_queue& queue);

// Classifies the outcome of a flow's request by the bytes that its caller has acknowledged, and
// records it for the backend server. Called when the request has been answered, or has waited
// longer than its processing and queues explain. Returns the class, if the outcome was pending.
std::optional<answer_class> record_request_outcome(router_state& state, remembered_flow& flow,
                                                   millis now);

// Takes a backend server whose health checks failed and that responds again for cold, if its
// service limits cold ones: it may have restarted, and its entry in the store comes later.
void note_return(const router_state& state, known_backend& backend, millis now);

// Decisions without further effects: by verdict, to forward a packet of a flow, and to answer a
// packet with a reset.
packet_decision decide(packet_verdict verdict, verdict_reason reason);
packet_decision decide_forward(const remembered_flow& flow, verdict_reason reason);
packet_decision decide_reset(const tagged_packet& packet, verdict_reason reason);

// What a packet's tag says about its flow.
struct tag_claim
{
    tag_form form = tag_form::plain;
    // The backend server that it names, if that is known. A plain tag names one of the route's
    // services only.
    std::optional<backend_index> backend;
    // Of the tag of an opening packet, if this packet may begin the caller's stream: the sequence
    // number of the opening packet.
    std::optional<std::uint32_t> opening_sequence;
};

tag_claim read_claim(const router_state& state, const known_route& known,
                     const tagged_packet& packet);

// How a packet relates to the remembered flow with its addresses.
enum class flow_relation : std::uint8_t
{
    of_flow,
    // Delayed by the network: the addresses have been used again since.
    of_earlier_flow,
    of_later_flow
};

flow_relation relate_to_flow(const router_state& state, const known_route& known,
                             const remembered_flow& flow, const tagged_packet& packet,
                             const tag_claim& claim, millis now);

// Where a flow is open, as far as its tag and the list of contested flows show.
struct flow_location
{
    std::optional<backend_index> backend;
    // The list shows it, whatever the tag says.
    bool is_contested = false;
    // What has to be looked up for a flow that this daemon doesn't remember.
    std::optional<lookup_need> doubt;
    // Without a backend server: that is no proof that the flow's is dead.
    bool may_be_alive = false;
};

flow_location locate_flow(const router_state& state, const known_route& known, const flow_key& key,
                          const tagged_packet& packet, const tag_claim& claim, millis now);

// True when an opening packet has waited at this host until its caller sent the next copy or gave
// up.
bool is_obsolete(const tagged_packet& packet);

// Routes an opening packet.
packet_decision route_opening(router_state& state, const known_route& known, const flow_key& key,
                              const tagged_packet& packet, millis now);

// Asks the other daemons about a contested flow of which this one has only seen opening packets: it
// may have opened through one of them.
void report_unopened_flow(router_state& state, const flow_key& key, const remembered_flow& flow);

// Closes a flow; it no longer counts as load of its backend server.
void close_flow(router_state& state, remembered_flow& flow);

} // namespace briarbarrow

#endif

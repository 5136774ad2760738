// The parts of a router that its files share: packets (tag_router.cpp), time (router_upkeep.cpp)
// and lists (router_lists.cpp).
#ifndef BRIARBARROW_TAGGED_ROUTER_PARTS_HPP
#define BRIARBARROW_TAGGED_ROUTER_PARTS_HPP

#include "tagged/tag_router.hpp"

namespace briarbarrow
{

// What a daemon needs to work off the callers that waited out a standstill or its start: their
// longest timeout.
constexpr millis backlog_window{1'000};

// True when the lists were confirmed lately, so that what they do not hold is not there.
bool has_fresh_lists(const router_state& state, millis now);

// The remembered flow with this key, or null.
remembered_flow* find_flow(router_state& state, const flow_key& key);

// Forgets a flow, if it is remembered.
void forget_flow(router_state& state, const flow_key& key);

// Smoothed life of a service's flows; 0 for none yet. Unit: milliseconds.
double service_time(const router_state& state, service_id service);

// True when a flow's caller is better off with a reset than with waiting on.
bool should_give_up(const router_state& state, const remembered_flow& flow, millis now);

// True while a flow's request is under way and its caller has acknowledged nothing of an answer.
bool is_awaiting_answer(const remembered_flow& flow);

// A flow's request has been answered, as the bytes that its caller acknowledged show, or has waited
// for an answer longer than work and queues explain.
void record_request_outcome(router_state& state, remembered_flow& flow, millis now);

// A flow has ended: it is no work for its backend server any more.
void close_flow(router_state& state, remembered_flow& flow);

} // namespace briarbarrow

#endif

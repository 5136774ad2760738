// Estimates how long a new flow of a service has to wait for a slot.
//
// The load it is made for: several daemons with unequal shares of the flows, each of which sees
// only its own; and a fleet that has just returned from a power loss, in which the network hands
// the flows of the daemon that returned first to the others, so that it never sees them end.
//
// The estimate comes from the daemon's own open flows, times a load factor that stands for the
// flows that it doesn't see. The factor is learned: when a flow ends, its lifetime is compared with
// what was expected at its placement. A flow that lasts much longer than expected without any
// progress no longer counts (flow_memory.hpp).
#ifndef BRIARBARROW_TAGGED_WAIT_ESTIMATE_HPP
#define BRIARBARROW_TAGGED_WAIT_ESTIMATE_HPP

#include <cstdint>

#include "core/clock.hpp"

namespace briarbarrow
{

// Slots and open flows of a service's usable backend servers, as this daemon sees them.
struct service_load
{
    double slots = 0;
    double open_flows = 0;
    // Open flows of all daemons, as far as those of this daemon show (fleet_load.hpp).
    double fleet_flows = 0;
};

// What the ends of a service's flows have shown. Times are in milliseconds.
struct wait_evidence
{
    // Smoothed lifetime of flows that found no queue; 0 before the first one.
    double uncontended_ms = 0;
    // Open flows of all daemons for each one of this daemon.
    double load_factor = 1;
    // Flows that the load factor was learned from.
    std::uint32_t load_factor_samples = 0;
    // Smoothed difference between the lifetimes of the last flows and the uncontended one.
    double measured_wait_ms = 0;
    // When the last flow ended.
    millis measured_at;
};

// A flow whose request was answered completely.
struct answered_flow
{
    // Time from its handshake to its end. Unit: milliseconds.
    double lifetime_ms = 0;
    // Estimate at its placement. Unit: milliseconds.
    double expected_wait_ms = 0;
};

// Updates the evidence when a flow ends. `max_load_factor` bounds the learned factor.
void observe_answered_flow(wait_evidence& evidence, const answered_flow& flow,
                           double max_load_factor, millis now);

// Expected wait of a new flow behind a number of flows. Unit: milliseconds.
double estimate_wait_ms(double flows, double slots, double uncontended_ms);

// How long a flow counts as load without making progress.
millis load_lifetime(double expected_wait_ms, double uncontended_ms);

} // namespace briarbarrow

#endif

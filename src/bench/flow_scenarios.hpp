// Named scenarios of planned and unplanned change, run on the virtual net.
#ifndef BRIARBARROW_BENCH_FLOW_SCENARIOS_HPP
#define BRIARBARROW_BENCH_FLOW_SCENARIOS_HPP

#include <cstdint>
#include <span>
#include <string_view>

#include "testing/virtual_net.hpp"

namespace briarbarrow
{

// What a scenario may show besides the promises that hold in each of them.
struct scenario_allowance
{
    // Flows may break: more failed at once than the design covers.
    bool broken = false;
    // Two sides that can't reach each other may each place the opening packet of one flow, or not
    // know yet that a backend server drains.
    bool split = false;
    // Longest pause of a flow; unset where none is stated.
    millis max_wait;
};

// A scenario by name: what happens to the hosts while flows are under way.
struct flow_scenario
{
    std::string_view name;
    scenario_allowance allowed;
    void (*run)(virtual_net& net, std::size_t flows);
};

// All scenarios.
std::span<const flow_scenario> flow_scenarios();

// Runs a scenario and returns what was seen.
net_tally run_flow_scenario(const flow_scenario& scenario, virtual_net& net, std::size_t flows);

// The promises that a run has broken, in words; empty when none.
std::vector<std::string> broken_promises(const flow_scenario& scenario, const net_tally& tally);

} // namespace briarbarrow

#endif

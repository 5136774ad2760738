// Named scenarios of planned changes and failures, run on the virtual network.
#ifndef BRIARBARROW_BENCH_FLOW_SCENARIOS_HPP
#define BRIARBARROW_BENCH_FLOW_SCENARIOS_HPP

#include <cstdint>
#include <span>
#include <string_view>

#include "testing/virtual_net.hpp"

namespace briarbarrow
{

// The promises that a scenario is excepted from, and the limit on its waits. All other promises
// hold in every scenario.
struct scenario_allowance
{
    // Flows may break, because more hosts or zones fail at once than the design covers.
    bool broken = false;
    // Both sides of a partition may place the opening packet of one flow, and one side may not know
    // yet that a backend server drains.
    bool split = false;
    // Longest wait of a flow for an answer that is allowed; zero for no limit.
    millis max_wait;
};

// A scenario: a name, and a function that changes or fails hosts while flows are open.
struct flow_scenario
{
    std::string_view name;
    scenario_allowance allowed;
    void (*run)(virtual_net& net, std::size_t flows);
};

// All scenarios.
std::span<const flow_scenario> flow_scenarios();

// Runs a scenario and returns what was counted.
net_tally run_flow_scenario(const flow_scenario& scenario, virtual_net& net, std::size_t flows);

// The promises that a run has broken, in words; empty when none.
std::vector<std::string> broken_promises(const flow_scenario& scenario, const net_tally& tally);

} // namespace briarbarrow

#endif

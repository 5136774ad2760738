// The choice of a backend server for a new flow.
#ifndef BRIARBARROW_CORE_PLACEMENT_CHOICE_HPP
#define BRIARBARROW_CORE_PLACEMENT_CHOICE_HPP

#include <cstdint>
#include <optional>

#include "core/flows/flow_key.hpp"
#include "core/placement/registry.hpp"

namespace briarbarrow
{

// True when a backend server can be given one more flow.
bool has_capacity(const backend_runtime& backend);

// Picks the backend server with the fewest flows for its weight among those that take flows and
// have room; equals are told apart by the flow's key. Nothing when there is none. The counts are
// those of this host's records, which are whole at the service's primary.
std::optional<std::uint32_t> choose_backend(const registry& known, const service_runtime& service,
                                            const flow_key& key);

} // namespace briarbarrow

#endif

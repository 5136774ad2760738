// Selection of a backend server for a new flow: least connections, by weight.
#ifndef BRIARBARROW_CORE_PLACEMENT_CHOICE_HPP
#define BRIARBARROW_CORE_PLACEMENT_CHOICE_HPP

#include <cstdint>
#include <optional>

#include "core/flows/flow_key.hpp"
#include "core/placement/registry.hpp"

namespace briarbarrow
{

// True when a backend server accepts new flows and is below its connection limit.
bool has_capacity(const backend_runtime& backend);

// Returns the slot of the backend server with the fewest flows in flight for its weight among those
// with capacity, or nothing when there is none. Ties are broken by rendezvous hashing of the flow's
// key. The counts come from this host's records, which are complete at the service's primary.
std::optional<std::uint32_t> choose_backend(const registry& known, const service_runtime& service,
                                            const flow_key& key);

} // namespace briarbarrow

#endif

// The key of a flow: a 128-bit hash of its 5-tuple. Records carry the hash instead of the 5-tuple,
// so that IPv4 and IPv6 records have the same size.
#ifndef BRIARBARROW_CORE_FLOWS_FLOW_KEY_HPP
#define BRIARBARROW_CORE_FLOWS_FLOW_KEY_HPP

#include <compare>
#include <cstdint>

#include "wire/ip_packet.hpp"

namespace briarbarrow
{

// A 128-bit flow key.
struct flow_key
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend constexpr auto operator<=>(const flow_key&, const flow_key&) = default;
};

// Returns the key of a flow, which is the same on every host.
flow_key flow_key_of(const flow_tuple& tuple);

} // namespace briarbarrow

#endif

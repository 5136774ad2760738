// Identity and state of a host of the spray domain.
#ifndef BRIARBARROW_CORE_MEMBERS_HOST_HPP
#define BRIARBARROW_CORE_MEMBERS_HOST_HPP

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/address.hpp"
#include "core/ids.hpp"

namespace briarbarrow
{

// State of a host. It reports `joining`, `live`, `leaving` and `left` of itself; `gone` is decided
// by the majority of its monitors. Within one incarnation a host only moves down this list.
enum class host_state : std::uint8_t
{
    // Listed by the platform, by settings or by another host; no heartbeat received yet.
    unheard,
    // Started and forwarding packets, but not a record owner yet.
    joining,
    // Forwards packets and can be a record owner.
    live,
    // In a planned shutdown: still forwards packets, but is not a record owner any more.
    leaving,
    // Declared gone by the hosts that monitor it.
    gone,
    // Announced that it stops.
    left
};

constexpr std::array<std::string_view, 6> host_state_names{"unheard", "joining", "live",
                                                           "leaving", "gone",    "left"};

// Names and addresses of a host. `incarnation` grows with each start of the host and each time that
// the host learns that it was declared gone; a higher incarnation overrides a lower one.
struct host_info
{
    host_id id = host_id::none;
    std::string name;
    std::string zone;
    // Where it receives datagrams from other hosts and from the fabric.
    endpoint packets;
    // Where it listens for peer links.
    endpoint peers;
    // Where it serves the operator's requests.
    endpoint operators;
    std::uint64_t incarnation = 0;

    friend bool operator==(const host_info&, const host_info&) = default;
};

} // namespace briarbarrow

#endif

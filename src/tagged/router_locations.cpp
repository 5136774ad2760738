// The part of the router that finds out where the flow of a packet is open: from the packet's tag,
// the memory of flows, and the list of contested ones.
#include <cstdlib>

#include "tagged/router_parts.hpp"

namespace briarbarrow
{

namespace
{

// What an end of a flow sends without an acknowledgement. Unit: bytes.
constexpr std::int32_t window_bytes = max_packet_payload * max_packets_in_flight;

bool is_near(std::uint32_t left, std::uint32_t right)
{
    return std::abs(static_cast<std::int32_t>(left - right)) <= window_bytes;
}

// True when a packet's numbers follow what was last seen of a flow. An end sends no more than a
// window beyond it, so other numbers are those of another flow.
bool continues_flow(const remembered_flow& flow, const tagged_packet& packet)
{
    return is_near(packet.sequence, flow.data_end) &&
           (!packet.has_ack || is_near(packet.acknowledgement, flow.acknowledgement));
}

// The backend server with this identity among those of a route's services.
std::optional<backend_index> find_identity(const router_state& state, const known_route& known,
                                           std::uint32_t identity)
{
    for (const service_id service : known.allowed)
    {
        const std::optional<backend_index> found =
            find_by_tag_identity(state.backends, service, identity);
        if (found)
        {
            return found;
        }
    }
    return std::nullopt;
}

// The backend server of a flow of the route with this identity. The flow may have been placed by a
// version of the route that this process never had, so that of any service is taken.
std::optional<backend_index> find_placed_backend(const router_state& state,
                                                 const known_route& known, std::uint32_t identity)
{
    const std::optional<backend_index> allowed = find_identity(state, known, identity);
    return allowed ? allowed : find_owners(state.backends, identity).sole;
}

// True when a backend server with this identity has an entry, whatever its service.
bool is_listed(const router_state& state, std::uint32_t identity)
{
    return find_owners(state.backends, identity).is_any_listed ||
           is_identity_unusable(state.backends, identity);
}

// True when a plain tag, or that of an open flow, names a backend server that has an entry.
bool names_listed(const router_state& state, std::uint32_t tag)
{
    const std::optional<std::uint32_t> identity = read_open_tag(tag);
    return is_listed(state, tag & tag_identity_mask) || (identity && is_listed(state, *identity));
}

// The backend server that the tag of an opening packet with this sequence number names.
std::optional<backend_index> find_opening_backend(const router_state& state,
                                                  const known_route& known, std::uint32_t tag,
                                                  std::uint32_t opening_sequence)
{
    const std::optional<std::uint32_t> identity = read_opening_tag(tag, opening_sequence);
    return identity ? find_placed_backend(state, known, *identity) : std::nullopt;
}

// The backend server that an entry of the list of contested flows names.
std::optional<backend_index> find_recorded_backend(const router_state& state,
                                                   const known_route& known, std::uint32_t tag)
{
    const std::optional<backend_index> found =
        find_placed_backend(state, known, tag & tag_identity_mask);
    return found && state.backends.entries[*found].tag == tag ? found : std::nullopt;
}

std::optional<backend_index> find_plain_backend(const router_state& state, const known_route& known,
                                                std::uint32_t tag)
{
    for (const service_id service : known.allowed)
    {
        const std::optional<backend_index> found = find_by_tag(state.backends, service, tag);
        if (found)
        {
            return found;
        }
    }
    return std::nullopt;
}

// Reads the tag of an opening packet on a packet that may begin the caller's stream, alone or
// behind full packets.
tag_claim read_opening_claim(const router_state& state, const known_route& known,
                             const tagged_packet& packet)
{
    tag_claim claim;
    claim.form = tag_form::opening;
    for (std::uint32_t before = 0; before < max_packets_in_flight && !claim.backend; ++before)
    {
        const std::uint32_t opening_sequence = packet.sequence - 1 - before * max_packet_payload;
        const std::optional<std::uint32_t> identity =
            read_opening_tag(packet.tag, opening_sequence);
        // Each further number is one more chance to match by accident, so behind other packets only
        // the route's services are looked up.
        claim.backend = before == 0 ? find_placed_backend(state, known, *identity)
                                    : find_identity(state, known, *identity);
        if (claim.backend)
        {
            claim.opening_sequence = opening_sequence;
        }
    }
    return claim;
}

// True when an entry of the list is about the flow of this packet. An entry's sequence number may
// be a later one of the flow, if its reporter didn't see the opening packet.
bool is_entry_of_flow(const router_state& state, const known_route& known,
                      const known_contested_flow& entry, const tagged_packet& packet,
                      const tag_claim& claim)
{
    switch (claim.form)
    {
    case tag_form::open:
        // The tag has been at the backend server that holds the flow.
        return false;
    case tag_form::opening:
        return find_opening_backend(state, known, packet.tag, entry.opening_sequence) ||
               (!claim.opening_sequence && is_near(packet.sequence, entry.opening_sequence));
    case tag_form::plain:
        return is_of_flow(packet.sequence, entry.opening_sequence);
    }
    return false;
}

} // namespace

tag_claim read_claim(const router_state& state, const known_route& known,
                     const tagged_packet& packet)
{
    tag_claim claim;
    if (packet.tag == no_tag)
    {
        return claim;
    }
    claim.backend = find_plain_backend(state, known, packet.tag);
    if (claim.backend)
    {
        return claim;
    }
    if (is_opening_tag(packet.tag))
    {
        return read_opening_claim(state, known, packet);
    }
    const std::optional<std::uint32_t> identity = read_open_tag(packet.tag);
    if (identity)
    {
        claim.backend = find_placed_backend(state, known, *identity);
    }
    claim.form = claim.backend ? tag_form::open : tag_form::plain;
    return claim;
}

flow_relation relate_to_flow(const router_state& state, const known_route& known,
                             const remembered_flow& flow, const tagged_packet& packet,
                             const tag_claim& claim, millis now)
{
    const bool saw_opening = flow.openings > 0;
    if (claim.form == tag_form::opening)
    {
        const bool is_same =
            saw_opening
                ? find_opening_backend(state, known, packet.tag, flow.opening_sequence).has_value()
                : continues_flow(flow, packet);
        return is_same ? flow_relation::of_flow : flow_relation::of_later_flow;
    }
    if (!claim.backend || *claim.backend == flow.backend)
    {
        return flow_relation::of_flow;
    }
    const bool has_begun_lately = saw_opening && now < flow.first_seen + tuple_reuse_delay;
    if (has_begun_lately && !is_of_flow(packet.sequence, flow.opening_sequence))
    {
        return flow_relation::of_earlier_flow;
    }
    switch (flow.stage)
    {
    case flow_stage::opening:
    case flow_stage::unknown:
        return flow_relation::of_flow;
    case flow_stage::open:
        return claim.form == tag_form::plain && continues_flow(flow, packet)
                   ? flow_relation::of_flow
                   : flow_relation::of_later_flow;
    case flow_stage::closed:
        break;
    }
    return flow_relation::of_later_flow;
}

flow_location locate_flow(const router_state& state, const known_route& known, const flow_key& key,
                          const tagged_packet& packet, const tag_claim& claim, millis now)
{
    const known_contested_flow* entry =
        find_contested_flow(state.contested, key, state.settings.max_flow_age, now);
    if (entry != nullptr && is_entry_of_flow(state, known, *entry, packet, claim))
    {
        return {find_recorded_backend(state, known, entry->tag), true, std::nullopt,
                is_listed(state, entry->tag & tag_identity_mask)};
    }
    if (claim.form != tag_form::opening)
    {
        return {claim.backend, false, std::nullopt,
                !claim.backend && names_listed(state, packet.tag)};
    }
    return claim.opening_sequence ? flow_location{claim.backend, false, lookup_need::confirmation}
                                  : flow_location{std::nullopt, false, lookup_need::location, true};
}

} // namespace briarbarrow

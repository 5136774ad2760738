// The table of flows that a host knows.
//
// An entry is either a *record*, kept by a host that is or was a keeper of the flow, or a *hint*,
// a short-lived copy at a host that merely passes the flow's packets on. Both sit in one table,
// so a packet costs one lookup.
//
// The table is cut into segments by the key. Each segment is an open-addressing array with linear
// probing that grows on its own, so growth pauses the packet path for one segment only. Expiry
// visits a few segments at each tick.
//
// Invariants: an entry's key maps to its segment; no segment is more than three quarters full;
// between an entry and its ideal place there is no free place.
#ifndef BRIARBARROW_CORE_FLOWS_FLOW_TABLE_HPP
#define BRIARBARROW_CORE_FLOWS_FLOW_TABLE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/clock.hpp"
#include "core/flows/flow_key.hpp"

namespace briarbarrow
{

// What an entry is.
enum class flow_role : std::uint8_t
{
    vacant,
    hint,
    record
};

// How far a flow has come, as seen from the caller's side; the answers take another way.
enum class flow_phase : std::uint8_t
{
    open,
    closing,
    ended
};

// How sure it is that an entry names the flow's backend server. When hosts hold different entries
// for one flow, the higher rank stays. Provisional ones were chosen without a grant.
enum class flow_rank : std::uint8_t
{
    // Chosen; it is not known whether a packet was sent by it.
    provisional_choice,
    choice,
    // The opening packet went to the backend server.
    provisional_opened,
    opened,
    // The caller went on after the opening, so it has the backend server's answer.
    provisional_established,
    established
};

constexpr bool is_provisional(flow_rank rank)
{
    return static_cast<std::uint8_t>(rank) % 2 == 0;
}

// Chosen, opened or established, with or without a grant.
constexpr int certainty(flow_rank rank)
{
    return static_cast<int>(rank) / 2;
}

// The rank for a new degree of certainty; a choice without a grant stays one.
constexpr flow_rank raise_rank(flow_rank rank, flow_rank certain)
{
    const auto wanted = static_cast<std::uint8_t>(certain);
    const auto raised = static_cast<flow_rank>(is_provisional(rank) ? wanted - 1 : wanted);
    return raised > rank ? raised : rank;
}

// Largest number of passes that is counted.
constexpr std::uint8_t max_slow_path_packets = 7;

// A flow as one host knows it. Slots are this host's own small numbers for services, backend
// servers and hosts. Times are the low 32 bits of the host's clock, in milliseconds.
struct flow_entry
{
    flow_key key;
    std::uint32_t service_slot = 0;
    std::uint32_t backend_slot = 0;
    std::uint32_t last_seen = 0;
    std::uint32_t refreshed = 0;
    // When the newest opening packet passed.
    std::uint32_t created = 0;
    std::uint16_t partner_slot = 0;
    flow_role role : 2 = flow_role::vacant;
    flow_phase phase : 2 = flow_phase::open;
    flow_rank rank : 3 = flow_rank::choice;
    // True once the other keeper is known to have the record.
    bool confirmed : 1 = false;
    // For a provisional choice: the cut during which it was made, modulo 16.
    std::uint8_t cut : 4 = 0;
    // Packets that took the long way, up to max_passes.
    std::uint8_t passes : 3 = 0;
    // True for a flow that must not be placed, since its record may be lost. Has no backend server.
    bool blocked : 1 = false;
};

// What an entry is worth now: that of a flow which is over gives way to any other.
inline flow_rank effective_rank(const flow_entry& entry)
{
    return entry.phase == flow_phase::ended ? flow_rank::provisional_choice : entry.rank;
}

// Time since a stamp that was cut to 32 bits. Right for spans below 24 days.
inline millis since(std::uint32_t stamp, millis now)
{
    const auto low = static_cast<std::uint32_t>(now.count);
    return millis{static_cast<std::int32_t>(low - stamp)};
}

// The low 32 bits of a clock reading.
inline std::uint32_t stamp_of(millis now)
{
    return static_cast<std::uint32_t>(now.count);
}

// A table of flow entries. References that it hands out hold until the next insert or erase.
class flow_table
{
public:
    static constexpr std::size_t segment_count = 1024;

    // Returns the entry with this key, or null.
    flow_entry* find(const flow_key& key);

    // Adds an entry for a key that is not in the table and returns it.
    flow_entry& insert(const flow_key& key);

    // Removes the entry with this key, if there is one.
    void erase(const flow_key& key);

    // Number of entries of any role.
    std::size_t size() const;

    // Memory held by the segments. Unit: bytes.
    std::size_t memory_bytes() const;

    // Calls visit(entry) for each entry of one segment and erases those for which it returns true.
    template <typename Visit>
    void sweep_segment(std::size_t index, Visit visit);

private:
    struct segment
    {
        std::vector<flow_entry> places;
        std::size_t used = 0;
    };

    segment& segment_of(const flow_key& key);
    static std::size_t ideal_place(const segment& part, const flow_key& key);
    static flow_entry* find_in(segment& part, const flow_key& key);
    static flow_entry& place_in(segment& part, const flow_key& key);
    static void grow(segment& part);
    static void erase_at(segment& part, std::size_t place);

    std::array<segment, segment_count> segments;
    std::size_t entry_count = 0;
};

template <typename Visit>
void flow_table::sweep_segment(std::size_t index, Visit visit)
{
    segment& part = this->segments[index % segment_count];
    std::size_t place = 0;
    while (place < part.places.size())
    {
        flow_entry& entry = part.places[place];
        if (entry.role != flow_role::vacant && visit(entry))
        {
            // Another entry may have moved into this place: look at it again.
            erase_at(part, place);
            --this->entry_count;
            continue;
        }
        ++place;
    }
}

} // namespace briarbarrow

#endif

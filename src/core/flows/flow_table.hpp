// The hash table of the flows that a host knows.
//
// An entry is either a *record*, held by a current or former record owner of the flow, or a *hint*,
// a short-lived copy on a host that only forwards the flow's packets. Both are in one table, so a
// packet costs one lookup.
//
// The table is divided into segments by the key. Each segment is an open-addressing hash table with
// linear probing that grows independently, so growth delays the packet path for one segment only.
// The sweep visits a few segments at each tick.
//
// Invariants: an entry's key maps to its segment; no segment is more than three quarters full;
// there is no vacant cell between an entry's home cell and the cell that holds it.
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

// The kind of an entry.
enum class flow_role : std::uint8_t
{
    vacant,
    hint,
    record
};

// The phase of a flow's connection, as seen in the caller's packets only: the responses bypass the
// hosts.
enum class flow_phase : std::uint8_t
{
    open,
    closing,
    ended
};

// How certain it is that an entry names the flow's backend server. When hosts have different
// entries for one flow, the one of higher rank stays. Provisional ones were chosen without a quorum
// lease.
enum class flow_rank : std::uint8_t
{
    // Chosen; it is unknown whether a packet was sent to the backend server.
    provisional_choice,
    choice,
    // The opening packet was sent to the backend server.
    provisional_opened,
    opened,
    // The caller sent further packets, so it has received the backend server's response.
    provisional_established,
    established
};

constexpr bool is_provisional(flow_rank rank)
{
    return static_cast<std::uint8_t>(rank) % 2 == 0;
}

// The rank without regard to the quorum lease: 0 chosen, 1 opened, 2 established.
constexpr int certainty(flow_rank rank)
{
    return static_cast<int>(rank) / 2;
}

// Raises a rank to at least `certain`. A provisional rank stays provisional.
constexpr flow_rank raise_rank(flow_rank rank, flow_rank certain)
{
    const auto wanted = static_cast<std::uint8_t>(certain);
    const auto raised = static_cast<flow_rank>(is_provisional(rank) ? wanted - 1 : wanted);
    return raised > rank ? raised : rank;
}

// Largest value of flow_entry::slow_path_packets.
constexpr std::uint8_t max_slow_path_packets = 7;

// One host's entry for a flow. Slots are this host's own indices of services, backend servers and
// hosts. Times are the low 32 bits of the host's clock, in milliseconds.
struct flow_entry
{
    flow_key key;
    std::uint32_t service_slot = 0;
    std::uint32_t backend_slot = 0;
    std::uint32_t last_seen = 0;
    std::uint32_t refreshed_at = 0;
    // When the flow's newest opening packet was handled; for a hint, when the entry was added.
    std::uint32_t opened_at = 0;
    // Slot of the host whose confirmation set `confirmed`.
    std::uint16_t confirmed_by_slot = 0;
    flow_role role : 2 = flow_role::vacant;
    flow_phase phase : 2 = flow_phase::open;
    flow_rank rank : 3 = flow_rank::choice;
    // True once the other owner is known to have the record.
    bool confirmed : 1 = false;
    // For a provisional choice: the number of the partition in which it was made, modulo 16.
    std::uint8_t partition_epoch : 4 = 0;
    // Number of packets that took the slow path, at most max_slow_path_packets.
    std::uint8_t slow_path_packets : 3 = 0;
    // True for a flow that must not be placed, since its record may be lost. It has no backend
    // server.
    bool blocked : 1 = false;
};

// The rank for comparison with other entries: an ended flow has the lowest.
inline flow_rank effective_rank(const flow_entry& entry)
{
    return entry.phase == flow_phase::ended ? flow_rank::provisional_choice : entry.rank;
}

// Time elapsed since a stamp truncated to 32 bits. Correct for durations below 24 days.
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

// A hash table of flow entries. Returned references are valid until the next insert or erase.
class flow_table
{
public:
    static constexpr std::size_t segment_count = 1024;

    // Returns the entry with this key, or null.
    flow_entry* find(const flow_key& key);

    // Adds an entry for a key, which must not be in the table, and returns it.
    flow_entry& insert(const flow_key& key);

    // Removes the entry with this key, if any.
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
        std::vector<flow_entry> cells;
        std::size_t used = 0;
    };

    segment& segment_of(const flow_key& key);
    static std::size_t home_cell(const segment& target, const flow_key& key);
    static flow_entry* find_in_segment(segment& target, const flow_key& key);
    static flow_entry& insert_into_segment(segment& target, const flow_key& key);
    static void grow(segment& target);
    static void erase_at(segment& target, std::size_t cell);

    std::array<segment, segment_count> segments;
    std::size_t entry_count = 0;
};

template <typename Visit>
void flow_table::sweep_segment(std::size_t index, Visit visit)
{
    segment& target = this->segments[index % segment_count];
    std::size_t cell = 0;
    while (cell < target.cells.size())
    {
        flow_entry& entry = target.cells[cell];
        if (entry.role != flow_role::vacant && visit(entry))
        {
            // Another entry may have moved into this cell, so visit it again.
            erase_at(target, cell);
            --this->entry_count;
            continue;
        }
        ++cell;
    }
}

} // namespace briarbarrow

#endif

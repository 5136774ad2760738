// A position in the history of a key-value store.
#ifndef BRIARBARROW_FOLLOW_STORE_POSITION_HPP
#define BRIARBARROW_FOLLOW_STORE_POSITION_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace briarbarrow
{

// The store's revision rises with each change. When the store comes back from an older copy, its
// revision goes back, revisions are given out again, and its era rises. So revisions are comparable
// only within an era, and any position of a later era is later.
struct store_position
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    friend auto operator<=>(const store_position&, const store_position&) = default;
};

// Formats a position as "era.revision".
inline std::string to_string(const store_position& position)
{
    return std::to_string(position.era) + "." + std::to_string(position.revision);
}

} // namespace briarbarrow

#endif

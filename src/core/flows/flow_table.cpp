#include "core/flows/flow_table.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::size_t initial_segment_cells = 4;

std::size_t next_cell(std::size_t cell, std::size_t cells)
{
    return (cell + 1) & (cells - 1);
}

} // namespace

flow_table::segment& flow_table::segment_of(const flow_key& key)
{
    return this->segments[key.high % segment_count];
}

std::size_t flow_table::home_cell(const segment& target, const flow_key& key)
{
    return key.low & (target.cells.size() - 1);
}

flow_entry* flow_table::find_in_segment(segment& target, const flow_key& key)
{
    if (target.cells.empty())
    {
        return nullptr;
    }
    std::size_t cell = home_cell(target, key);
    while (target.cells[cell].role != flow_role::vacant)
    {
        if (target.cells[cell].key == key)
        {
            return &target.cells[cell];
        }
        cell = next_cell(cell, target.cells.size());
    }
    return nullptr;
}

flow_entry& flow_table::insert_into_segment(segment& target, const flow_key& key)
{
    std::size_t cell = home_cell(target, key);
    while (target.cells[cell].role != flow_role::vacant)
    {
        cell = next_cell(cell, target.cells.size());
    }
    flow_entry& entry = target.cells[cell];
    entry = flow_entry{};
    entry.key = key;
    entry.role = flow_role::hint;
    return entry;
}

void flow_table::grow(segment& target)
{
    segment larger;
    const std::size_t cells =
        target.cells.empty() ? initial_segment_cells : target.cells.size() * 2;
    larger.cells.resize(cells);
    for (const flow_entry& entry : target.cells)
    {
        if (entry.role != flow_role::vacant)
        {
            insert_into_segment(larger, entry.key) = entry;
        }
    }
    target.cells = std::move(larger.cells);
}

void flow_table::erase_at(segment& target, std::size_t cell)
{
    const std::size_t cells = target.cells.size();
    std::size_t hole = cell;
    std::size_t probe = next_cell(hole, cells);
    while (target.cells[probe].role != flow_role::vacant)
    {
        const std::size_t home = home_cell(target, target.cells[probe].key);
        const std::size_t distance_to_hole = (hole - home) & (cells - 1);
        const std::size_t distance_to_probe = (probe - home) & (cells - 1);
        if (distance_to_hole < distance_to_probe)
        {
            target.cells[hole] = target.cells[probe];
            hole = probe;
        }
        probe = next_cell(probe, cells);
    }
    target.cells[hole] = flow_entry{};
    --target.used;
}

flow_entry* flow_table::find(const flow_key& key)
{
    return find_in_segment(this->segment_of(key), key);
}

flow_entry& flow_table::insert(const flow_key& key)
{
    segment& target = this->segment_of(key);
    if ((target.used + 1) * 4 > target.cells.size() * 3)
    {
        grow(target);
    }
    ++target.used;
    ++this->entry_count;
    return insert_into_segment(target, key);
}

void flow_table::erase(const flow_key& key)
{
    segment& target = this->segment_of(key);
    const flow_entry* entry = find_in_segment(target, key);
    if (entry == nullptr)
    {
        return;
    }
    erase_at(target, static_cast<std::size_t>(entry - target.cells.data()));
    --this->entry_count;
}

std::size_t flow_table::size() const
{
    return this->entry_count;
}

std::size_t flow_table::memory_bytes() const
{
    std::size_t bytes = sizeof(*this);
    for (const segment& target : this->segments)
    {
        bytes += target.cells.capacity() * sizeof(flow_entry);
    }
    return bytes;
}

} // namespace briarbarrow

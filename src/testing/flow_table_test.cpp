#include <doctest/doctest.h>

#include <map>
#include <random>

#include "core/flows/flow_table.hpp"

using namespace briarbarrow;

TEST_CASE("the flow table behaves like a std::map under random operations")
{
    std::mt19937_64 random(7);
    flow_table table;
    std::map<flow_key, std::uint32_t> reference;
    // Few distinct keys in three segments, so that probe sequences collide.
    const auto random_key = [&random]
    {
        return flow_key{random() % 3, random() % 400};
    };
    for (int i = 0; i < 200'000; ++i)
    {
        const flow_key key = random_key();
        const bool known = reference.contains(key);
        REQUIRE((table.find(key) != nullptr) == known);
        if (known)
        {
            REQUIRE(table.find(key)->backend_slot == reference.at(key));
        }
        const bool add = random() % 2 == 0;
        if (add && !known)
        {
            const auto value = static_cast<std::uint32_t>(random());
            table.insert(key).backend_slot = value;
            reference[key] = value;
        }
        if (!add)
        {
            table.erase(key);
            reference.erase(key);
        }
        REQUIRE(table.size() == reference.size());
    }
}

TEST_CASE("a sweep visits every entry and erases those that the visitor selects")
{
    std::mt19937_64 random(8);
    flow_table table;
    for (std::uint64_t i = 0; i < 20'000; ++i)
    {
        table.insert(flow_key{random(), i}).backend_slot = static_cast<std::uint32_t>(i);
    }
    std::size_t odd = 0;
    for (std::size_t segment = 0; segment < flow_table::segment_count; ++segment)
    {
        const auto is_even = [&odd](const flow_entry& entry)
        {
            const bool even = entry.backend_slot % 2 == 0;
            odd += even ? 0 : 1;
            return even;
        };
        table.sweep_segment(segment, is_even);
    }
    CHECK(odd >= 10'000);
    CHECK(table.size() == 10'000);
}

TEST_CASE("a flow entry takes at most 40 bytes")
{
    CHECK(sizeof(flow_entry) <= 40);
}

TEST_CASE("the time since a truncated stamp is right across the 32-bit wraparound")
{
    const millis before{0xffffff00};
    const millis after{0x100000100};
    CHECK(since(stamp_of(before), after) == millis{0x200});
}

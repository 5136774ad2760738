// Seeded corruption of valid messages, for fuzz tests of decoders.
#ifndef BRIARBARROW_TESTING_JUNK_HPP
#define BRIARBARROW_TESTING_JUNK_HPP

#include <cstdint>
#include <random>
#include <vector>

namespace briarbarrow
{

// Randomly overwrites up to three bytes, truncates the message or appends bytes. May change
// nothing.
inline std::vector<std::uint8_t> corrupt_randomly(std::vector<std::uint8_t> bytes,
                                                  std::mt19937_64& random)
{
    const auto random_below = [&random](std::size_t limit)
    {
        return static_cast<std::size_t>(random() % (limit == 0 ? 1 : limit));
    };
    const std::size_t changes = random_below(4);
    for (std::size_t i = 0; i < changes && !bytes.empty(); ++i)
    {
        bytes[random_below(bytes.size())] = static_cast<std::uint8_t>(random());
    }
    if (random_below(4) == 0)
    {
        bytes.resize(random_below(bytes.size() + 1));
    }
    if (random_below(8) == 0)
    {
        const std::size_t added = random_below(64);
        bytes.resize(bytes.size() + added, static_cast<std::uint8_t>(random()));
    }
    return bytes;
}

} // namespace briarbarrow

#endif

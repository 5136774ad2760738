// Seeded junk for decoders: whole messages with a few bytes changed, cut or added.
#ifndef BRIARBARROW_TESTING_JUNK_HPP
#define BRIARBARROW_TESTING_JUNK_HPP

#include <cstdint>
#include <random>
#include <vector>

namespace briarbarrow
{

// Changes a message at random. Sometimes leaves it as it is.
inline std::vector<std::uint8_t> corrupt_randomly(std::vector<std::uint8_t> bytes,
                                                  std::mt19937_64& random)
{
    const auto below = [&random](std::size_t limit)
    {
        return static_cast<std::size_t>(random() % (limit == 0 ? 1 : limit));
    };
    const std::size_t changes = below(4);
    for (std::size_t i = 0; i < changes && !bytes.empty(); ++i)
    {
        bytes[below(bytes.size())] = static_cast<std::uint8_t>(random());
    }
    if (below(4) == 0)
    {
        bytes.resize(below(bytes.size() + 1));
    }
    if (below(8) == 0)
    {
        bytes.resize(bytes.size() + below(64), static_cast<std::uint8_t>(random()));
    }
    return bytes;
}

} // namespace briarbarrow

#endif

#include "tagged/tag_form.hpp"

#include "core/ids.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::uint32_t opening_mark = 0x90000000;
constexpr std::uint32_t open_mark = 0x60000000;
// Keeps the tag of an open flow apart from a plain one with the same first bits.
constexpr std::uint32_t open_scramble = 0x05a3c96e;

std::uint32_t opening_scramble(std::uint32_t opening_sequence)
{
    constexpr std::uint64_t seed = 0x6f70656e696e67;
    return static_cast<std::uint32_t>(mix(seed, opening_sequence)) & tag_identity_mask;
}

} // namespace

std::uint32_t make_opening_tag(std::uint32_t plain_tag, std::uint32_t opening_sequence)
{
    return opening_mark | ((plain_tag & tag_identity_mask) ^ opening_scramble(opening_sequence));
}

std::uint32_t make_open_tag(std::uint32_t plain_tag)
{
    return open_mark | ((plain_tag & tag_identity_mask) ^ open_scramble);
}

bool is_opening_tag(std::uint32_t tag)
{
    return (tag & ~tag_identity_mask) == opening_mark;
}

std::optional<std::uint32_t> read_opening_tag(std::uint32_t tag, std::uint32_t opening_sequence)
{
    return is_opening_tag(tag)
               ? std::optional((tag & tag_identity_mask) ^ opening_scramble(opening_sequence))
               : std::nullopt;
}

std::optional<std::uint32_t> read_open_tag(std::uint32_t tag)
{
    return (tag & ~tag_identity_mask) == open_mark
               ? std::optional((tag & tag_identity_mask) ^ open_scramble)
               : std::nullopt;
}

} // namespace briarbarrow

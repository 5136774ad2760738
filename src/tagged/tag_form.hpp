// The forms of a tag. Both ends of a flow repeat the tag that they received last, so its form tells
// what its writer knew of the flow.
//
//  - The tag of an opening packet names the backend server that may answer it, and is bound to the
//    packet's sequence number. More than one backend server may get an opening packet, and each
//    repeats its answer for seconds, so an idle caller may repeat the tag of one that lost. But
//    where the flow is open, answers carry another form. A tag of this form on any packet that
//    doesn't begin the caller's stream is therefore that of a backend server that lost.
//  - The tag of a packet of an open flow has been at the backend server that holds the flow.
//  - Daemons of earlier versions wrote the plain tag into all packets. It says neither.
#ifndef BRIARBARROW_TAGGED_TAG_FORM_HPP
#define BRIARBARROW_TAGGED_TAG_FORM_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace briarbarrow
{

enum class tag_form : std::uint8_t
{
    plain,
    opening,
    open
};

constexpr std::array<std::string_view, 3> tag_form_names{"plain", "opening", "open"};

// Bits of a backend server's tag that all forms hold. Within a service they are unique.
constexpr std::uint32_t tag_identity_mask = 0x0fffffff;

// Makes the tags of an opening packet and of a packet of an open flow.
std::uint32_t make_opening_tag(std::uint32_t plain_tag, std::uint32_t opening_sequence);
std::uint32_t make_open_tag(std::uint32_t plain_tag);

// True when a tag is marked as that of an opening packet. A plain tag may look the same.
bool is_opening_tag(std::uint32_t tag);

// The identity in the tag of an opening packet with this sequence number, or in that of a packet of
// an open flow; no value if the tag isn't marked as such.
std::optional<std::uint32_t> read_opening_tag(std::uint32_t tag, std::uint32_t opening_sequence);
std::optional<std::uint32_t> read_open_tag(std::uint32_t tag);

} // namespace briarbarrow

#endif

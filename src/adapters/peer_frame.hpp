// Frames of the peer link: length (4 bytes, big-endian, of what follows), version (1), type (1),
// msgpack body. The decoder takes bytes as they come and fails for good at the first fault.
#ifndef BRIARBARROW_ADAPTERS_PEER_FRAME_HPP
#define BRIARBARROW_ADAPTERS_PEER_FRAME_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "core/result.hpp"
#include "wire/messages.hpp"

namespace briarbarrow
{

constexpr std::uint8_t peer_frame_version = 1;

// Largest frame, for a configuration of the size that the platform can hold. Unit: bytes.
constexpr std::size_t max_peer_frame_bytes = 2'097'152;

using peer_message = std::variant<hello, host_list, configuration_request, configuration_reply>;

// Why a peer's bytes were not taken.
enum class peer_frame_error : std::uint8_t
{
    bad_length,
    wrong_version,
    unknown_type,
    bad_body
};

constexpr std::array<std::string_view, 4> peer_frame_error_names{"bad_length", "wrong_version",
                                                                 "unknown_type", "bad_body"};

// Writes a frame.
message_bytes encode_peer_frame(const peer_message& message);

// Bytes of one connection that are not yet a whole frame.
struct peer_frame_buffer
{
    std::vector<std::uint8_t> bytes;
};

// Adds bytes to the buffer.
void append_bytes(peer_frame_buffer& buffer, std::span<const std::uint8_t> bytes);

// Takes the next whole frame out of the buffer; nothing when there is none yet.
result<std::optional<peer_message>, peer_frame_error> pop_message(peer_frame_buffer& buffer);

} // namespace briarbarrow

#endif

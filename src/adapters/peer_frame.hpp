// Frames of the peer link: length (4 bytes, big-endian, of what follows), version (1), type (1),
// msgpack body. The decoder is incremental; the connection must be closed after its first error.
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

// Upper bound of a frame's length field: a configuration of the largest size that the platform can
// hold fits. Unit: bytes.
constexpr std::size_t max_peer_frame_bytes = 2'097'152;

using peer_message = std::variant<hello, host_list, configuration_request, configuration_response>;

// Why a frame from a peer was rejected.
enum class peer_frame_error : std::uint8_t
{
    bad_length,
    wrong_version,
    unknown_type,
    bad_body
};

constexpr std::array<std::string_view, 4> peer_frame_error_names{"bad_length", "wrong_version",
                                                                 "unknown_type", "bad_body"};

// Encodes a message as a frame.
message_bytes encode_peer_frame(const peer_message& message);

// Received bytes of one connection that have not been decoded yet.
struct peer_frame_buffer
{
    std::vector<std::uint8_t> bytes;
};

// Appends received bytes.
void append_bytes(peer_frame_buffer& buffer, std::span<const std::uint8_t> bytes);

// Removes and decodes the next complete frame; an empty optional when more bytes are needed.
result<std::optional<peer_message>, peer_frame_error> pop_message(peer_frame_buffer& buffer);

} // namespace briarbarrow

#endif

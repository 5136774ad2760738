// The frames that hosts exchange with the fabric, with backend servers and with each other. Each
// frame is the payload of one UDP datagram.
//
// Every frame begins with the four bytes of Generic UDP Encapsulation, variant 0
// (draft-ietf-intarea-gue): a control bit, the length of the extension in 32-bit words, and the
// protocol of the payload. A frame without an extension carries a bare IP packet, which a backend
// server's kernel can decapsulate. Between hosts, an IP packet is preceded by a relay extension,
// which says what the receiver should do with it. A control frame carries a msgpack body.
//
// Relay extension, big-endian: format (1 byte), kind (1), flags and hops (1), path length (1),
// ingress host (8), coordinator (8), service (8), backend server (8), its address (16), its port
// (2), number of hints and their ranks (1), rank (1), age in milliseconds (4), path (8 per host),
// hints (24 each).
//
// Hints tell the receiver which backend servers other flows go to. They are piggybacked on packets
// that are sent to the receiver anyway, so that they need no datagrams of their own.
#ifndef BRIARBARROW_WIRE_ENCAPSULATION_HPP
#define BRIARBARROW_WIRE_ENCAPSULATION_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include <boost/container/static_vector.hpp>

#include "core/address.hpp"
#include "core/flows/flow_key.hpp"
#include "core/flows/flow_table.hpp"
#include "core/ids.hpp"
#include "core/result.hpp"

namespace briarbarrow
{

// What the receiver of a relayed packet should do with it.
enum class relay_kind : std::uint8_t
{
    // Act as the flow's coordinator: find its record or create one.
    forward,
    // Store the record that the header holds, and send the packet on.
    replicate,
    // Send the packet on if its flow is known here, else relay it to the next host of the path.
    search,
    // No host of the path knows the flow.
    not_found
};

constexpr std::array<std::string_view, 4> relay_kind_names{"forward", "deposit", "search",
                                                           "absent"};

// Most hosts in the path of a relay header.
constexpr std::size_t max_path_hosts = 7;

// Most hints in one relay header.
constexpr std::size_t max_piggybacked_hints = 2;

// The backend server that the packets of a flow go to.
struct hint
{
    flow_key key;
    backend_id backend = backend_id::none;
    flow_rank rank = flow_rank::opened;

    friend bool operator==(const hint&, const hint&) = default;
};

using hint_list = boost::container::static_vector<hint, max_piggybacked_hints>;

using host_path = boost::container::static_vector<host_id, max_path_hosts>;

// The extension that precedes an IP packet between two hosts.
struct relay_header
{
    relay_kind kind = relay_kind::forward;
    // How often the packet was relayed between hosts; a limit on it ends loops.
    std::uint8_t hops = 0;
    // The coordinator needs to be told which backend server the packet was sent to.
    bool wants_confirmation = false;
    // How certain the sender is of the backend server.
    flow_rank rank = flow_rank::choice;
    // Time since the flow was opened, according to the sender's record.
    millis age;
    // The path holds every host that could know the flow.
    bool is_path_complete = false;
    host_id ingress = host_id::none;
    host_id coordinator = host_id::none;
    service_id service = service_id::none;
    backend_id backend = backend_id::none;
    endpoint backend_packet_endpoint;
    host_path path;
    hint_list hints;

    friend bool operator==(const relay_header&, const relay_header&) = default;
};

// Kinds of control frames.
enum class control_kind : std::uint8_t
{
    heartbeat = 1,
    hints = 2,
    records = 3,
    records_taken = 4
};

// A decoded frame. `body` refers to the decoded bytes, which must outlive it.
struct frame
{
    std::optional<control_kind> control;
    std::optional<relay_header> relay;
    std::span<const std::uint8_t> body;
};

// Why a frame was rejected.
enum class frame_error : std::uint8_t
{
    truncated,
    wrong_variant,
    wrong_format,
    unknown_kind,
    bad_length
};

constexpr std::array<std::string_view, 5> frame_error_names{
    "truncated", "wrong_variant", "wrong_format", "unknown_kind", "bad_length"};

// Capacity for the largest header or control frame. Unit: bytes.
constexpr std::size_t wire_buffer_bytes = 1400;

using wire_buffer = boost::container::static_vector<std::uint8_t, wire_buffer_bytes>;

// Returns how many hints fit into a header with a path of this length.
std::size_t hint_capacity(std::size_t path_length);

// Decodes a frame.
result<frame, frame_error> decode_frame(std::span<const std::uint8_t> bytes);

// Encodes the header that precedes a bare IP packet.
void encode_plain_header(wire_buffer& out, std::span<const std::uint8_t> packet);

// Encodes the header that precedes an IP packet between hosts.
void encode_relay_header(wire_buffer& out, const relay_header& header,
                         std::span<const std::uint8_t> packet);

// Encodes a whole control frame.
void encode_control_frame(wire_buffer& out, control_kind kind, std::span<const std::uint8_t> body);

} // namespace briarbarrow

#endif

// The frames that hosts exchange with the fabric, with backend servers and with each other, all
// carried in UDP datagrams.
//
// Every frame begins with the four bytes of Generic UDP Encapsulation, variant 0
// (draft-ietf-intarea-gue): a control bit, the length of the extension in 32-bit words, and the
// protocol of what follows. Frames without an extension carry a bare IP packet; a backend
// server's kernel reads them as they are. Between hosts an IP packet has a relay extension, which
// says what the receiver is asked to do. Control frames carry a msgpack body and no packet.
//
// Relay extension, big-endian: format (1 byte), kind (1), flags and hops (1), path length (1),
// ingress host (8), coordinator (8), service (8), backend server (8), its address (16), its port
// (2), number of hints and their ranks (1), rank (1), age in milliseconds
// (4), path (8 for each host), hints (24 each).
//
// Hints tell the receiver where the packets of other flows go. They ride on packets that go its
// way anyhow, so that they cost no datagrams.
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

// What a host asks another one to do with a packet.
enum class relay_kind : std::uint8_t
{
    // Coordinate: find or make the record.
    forward,
    // Take the record that the header names, and pass the packet on.
    replicate,
    // Pass the packet on if you know its flow, else ask the next host of the path.
    search,
    // No host of the path knew the flow.
    not_found
};

constexpr std::array<std::string_view, 4> relay_kind_names{"forward", "deposit", "search",
                                                           "absent"};

// Longest path of hosts in one relay header.
constexpr std::size_t max_path_hosts = 7;

// Most hints that ride on one packet.
constexpr std::size_t max_piggybacked_hints = 2;

// Where the packets of a flow go.
struct hint
{
    flow_key key;
    backend_id backend = backend_id::none;
    flow_rank rank = flow_rank::opened;

    friend bool operator==(const hint&, const hint&) = default;
};

using hint_list = boost::container::static_vector<hint, max_piggybacked_hints>;

using host_path = boost::container::static_vector<host_id, max_path_hosts>;

// The extension that goes before a packet between two hosts.
struct relay_header
{
    relay_kind kind = relay_kind::forward;
    // Times the packet was passed on between hosts, to end loops.
    std::uint8_t hops = 0;
    // The coordinator wants to be told where the packet ended.
    bool wants_confirmation = false;
    // How sure the sender is of the backend server.
    flow_rank rank = flow_rank::choice;
    // Time since the flow's opening, by the sender's record.
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

// A frame that was read whole. Spans refer to the bytes that were read.
struct frame
{
    std::optional<control_kind> control;
    std::optional<relay_header> relay;
    std::span<const std::uint8_t> body;
};

// Why a frame was not taken.
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

// Room for the largest header or control frame. Unit: bytes.
constexpr std::size_t wire_buffer_bytes = 1400;

using wire_buffer = boost::container::static_vector<std::uint8_t, wire_buffer_bytes>;

// How many hints a header with a path of this length has room for.
std::size_t hint_capacity(std::size_t path_length);

// Reads a frame.
result<frame, frame_error> decode_frame(std::span<const std::uint8_t> bytes);

// Writes the header that goes before a bare IP packet.
void encode_plain_header(wire_buffer& out, std::span<const std::uint8_t> packet);

// Writes the header that goes before an IP packet between hosts.
void encode_relay_header(wire_buffer& out, const relay_header& header,
                         std::span<const std::uint8_t> packet);

// Writes a control frame.
void encode_control_frame(wire_buffer& out, control_kind kind, std::span<const std::uint8_t> body);

} // namespace briarbarrow

#endif

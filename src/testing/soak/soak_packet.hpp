// Encoding and decoding of the packets that callers and backend servers of the soak exchange, in
// the format of the "echo" forwarding setting.
#ifndef BRIARBARROW_TESTING_SOAK_SOAK_PACKET_HPP
#define BRIARBARROW_TESTING_SOAK_SOAK_PACKET_HPP

#include <cstdint>
#include <cstring>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace briarbarrow
{

constexpr std::uint8_t soak_fin = 1;
constexpr std::uint8_t soak_syn = 2;
constexpr std::uint8_t soak_ack = 8;
constexpr std::uint8_t soak_rst = 128;

// Packet header. The wire format is little-endian without gaps, so on a little-endian machine the
// struct is copied as it is.
struct soak_header
{
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint32_t source = 0;
    std::uint32_t destination = 0;
    std::uint16_t destination_port = 0;
    std::uint16_t source_port = 0;
    // Not 0 in packets from callers and backend servers; resets that a daemon sends itself carry 0.
    std::uint32_t checksum = 1;
    std::uint8_t flags = 0;
    std::uint8_t padding = 0;
    std::uint16_t length = 0;
    std::uint32_t tag = 0;
};

static_assert(sizeof(soak_header) == 32);

// Sets the header's length field to the size of the data.
inline std::vector<std::uint8_t> encode_soak_packet(soak_header header, const std::string& data)
{
    header.length = static_cast<std::uint16_t>(data.size());
    std::vector<std::uint8_t> bytes(sizeof(header) + data.size());
    std::memcpy(bytes.data(), &header, sizeof(header));
    std::memcpy(bytes.data() + sizeof(header), data.data(), data.size());
    return bytes;
}

inline std::optional<soak_header> decode_soak_header(std::span<const std::uint8_t> bytes)
{
    soak_header header;
    if (bytes.size() < sizeof(header))
    {
        return std::nullopt;
    }
    std::memcpy(&header, bytes.data(), sizeof(header));
    return header;
}

// The packet must hold at least a header.
inline std::string decode_soak_payload(std::span<const std::uint8_t> bytes)
{
    return std::string(reinterpret_cast<const char*>(bytes.data()) + sizeof(soak_header),
                       bytes.size() - sizeof(soak_header));
}

} // namespace briarbarrow

#endif

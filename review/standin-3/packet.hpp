// The packets that callers and backend servers exchange, as the platform's page
// describes them.
#ifndef REVIEW_STANDIN_3_PACKET_HPP
#define REVIEW_STANDIN_3_PACKET_HPP

#include <cstdint>
#include <cstring>
#include <string>

namespace review
{

constexpr std::uint8_t fin_flag = 1;
constexpr std::uint8_t syn_flag = 2;
constexpr std::uint8_t ack_flag = 8;
constexpr std::uint8_t rst_flag = 128;

// The header is little-endian without gaps, so on a little-endian machine it is
// copied as it is.
struct packet_header
{
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint32_t source = 0;
    std::uint32_t destination = 0;
    std::uint16_t destination_port = 0;
    std::uint16_t source_port = 0;
    // Not 0 in packets of callers and backend servers; 0 in resets of a daemon.
    std::uint32_t checksum = 1;
    std::uint8_t flags = 0;
    std::uint8_t padding = 0;
    std::uint16_t length = 0;
    std::uint32_t echo = 0;
};

static_assert(sizeof(packet_header) == 32);

inline std::string encode_packet(packet_header header, const std::string& data)
{
    header.length = static_cast<std::uint16_t>(data.size());
    std::string bytes(sizeof(header), '\0');
    std::memcpy(bytes.data(), &header, sizeof(header));
    return bytes + data;
}

// Returns false if the datagram is no packet.
inline bool decode_packet(const std::string& bytes, packet_header& header, std::string& data)
{
    if (bytes.size() < sizeof(header))
    {
        return false;
    }
    std::memcpy(&header, bytes.data(), sizeof(header));
    data = bytes.substr(sizeof(header));
    return data.size() == header.length;
}

} // namespace review

#endif

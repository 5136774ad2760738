// The protocol between callers and backend servers of the stand-ins. It makes truncated,
// duplicated and mismatched answers detectable.
//
// A request is one line: "REQUEST id bytes". An answer is one line, "ANSWER id service backend
// bytes checksum", followed by that many bytes, which are computed from the id. A datagram holds
// exactly one request or answer. A backend server sends a receipt to the fabric's report port for
// every request that it accepts, and the number of its open connections several times a second.
#ifndef BRIARBARROW_STANDIN_EXCHANGE_HPP
#define BRIARBARROW_STANDIN_EXCHANGE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarbarrow
{

// A request. Ids are unique within a run.
struct request_line
{
    std::uint64_t id = 0;
    std::uint64_t bytes = 0;
};

// The first line of an answer; the checksum covers the bytes after it.
struct answer_line
{
    std::uint64_t id = 0;
    std::string service;
    std::string backend;
    std::uint64_t bytes = 0;
    std::uint64_t checksum = 0;
};

// A report that a backend server sends to the fabric.
struct report_line
{
    enum class kind : std::uint8_t
    {
        // A request was accepted; the value is its id.
        receipt,
        // The value is the number of open connections.
        load,
        // A packet arrived for an address that the backend server doesn't have.
        misrouted
    };

    kind type = kind::receipt;
    std::string service;
    std::string backend;
    std::uint64_t value = 0;
};

// Each format function writes one line; its parse function returns nothing for a malformed line.
std::string format_request_line(const request_line& request);
std::optional<request_line> parse_request_line(std::string_view line);

std::string format_answer_line(const answer_line& answer);
std::optional<answer_line> parse_answer_line(std::string_view line);

std::string format_report_line(const report_line& report);
std::optional<report_line> parse_report_line(std::string_view line);

// Returns the byte at `offset` of the answer to the request `id`.
inline char answer_byte(std::uint64_t id, std::uint64_t offset)
{
    const std::uint64_t mixed = (id + offset / 8) * 0x9e3779b97f4a7c15ULL;
    return static_cast<char>('a' + ((mixed >> (8 * (offset % 8))) & 0xffU) % 26);
}

// Adds one byte to a running FNV-1a checksum that starts at 0.
inline std::uint64_t update_checksum(std::uint64_t checksum, char byte)
{
    constexpr std::uint64_t prime = 1099511628211ULL;
    return (checksum ^ static_cast<unsigned char>(byte)) * prime;
}

// Returns the checksum of the complete answer to the request `id`.
std::uint64_t answer_checksum(std::uint64_t id, std::uint64_t bytes);

} // namespace briarbarrow

#endif

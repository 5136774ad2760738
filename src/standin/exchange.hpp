// What callers and backend servers of the stand-ins say to each other, so that a cut, a doubled and
// a mixed-up answer is noticed.
//
// A request is one line: "REQUEST id bytes". An answer is one line, "ANSWER id service backend
// bytes checksum", and then so many bytes, which follow from the id. A datagram holds exactly one
// of them. For every request that it runs, a backend server sends a receipt to the fabric's report
// port, and several times a second the number of its open connections.
#ifndef BRIARBARROW_STANDIN_EXCHANGE_HPP
#define BRIARBARROW_STANDIN_EXCHANGE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarbarrow
{

// A request. Ids are unique in a run.
struct request_line
{
    std::uint64_t id = 0;
    std::uint64_t bytes = 0;
};

// The first line of an answer.
struct answer_line
{
    std::uint64_t id = 0;
    std::string service;
    std::string backend;
    std::uint64_t bytes = 0;
    std::uint64_t checksum = 0;
};

// What a backend server tells the fabric.
struct report_line
{
    enum class kind : std::uint8_t
    {
        // A request was run.
        receipt,
        // Number of open connections.
        load,
        // A packet for an address that is not its own.
        misrouted
    };

    kind type = kind::receipt;
    std::string service;
    std::string backend;
    std::uint64_t value = 0;
};

std::string format_request_line(const request_line& request);
std::optional<request_line> parse_request_line(std::string_view line);

std::string format_answer_line(const answer_line& answer);
std::optional<answer_line> parse_answer_line(std::string_view line);

std::string format_report_line(const report_line& report);
std::optional<report_line> parse_report_line(std::string_view line);

// The byte at one offset of the answer to a request.
inline char answer_byte(std::uint64_t id, std::uint64_t offset)
{
    const std::uint64_t mixed = (id + offset / 8) * 0x9e3779b97f4a7c15ULL;
    return static_cast<char>('a' + ((mixed >> (8 * (offset % 8))) & 0xffU) % 26);
}

// Adds one byte to a running checksum.
inline std::uint64_t update_checksum(std::uint64_t checksum, char byte)
{
    constexpr std::uint64_t prime = 1099511628211ULL;
    return (checksum ^ static_cast<unsigned char>(byte)) * prime;
}

// Checksum of a whole answer.
std::uint64_t answer_checksum(std::uint64_t id, std::uint64_t bytes);

} // namespace briarbarrow

#endif

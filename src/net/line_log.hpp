// Structured log lines on a descriptor whose reader may be slow or stopped. Lines are queued in a
// bounded buffer and written as far as the descriptor accepts them without blocking. Lines that
// don't fit into the buffer or exceed the rate limit are omitted and counted. Essential lines have
// a rate limit and a part of the buffer of their own, so that a flood of others doesn't displace
// them.
#ifndef BRIARBARROW_NET_LINE_LOG_HPP
#define BRIARBARROW_NET_LINE_LOG_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/clock.hpp"

namespace briarbarrow
{

// Limits of a log.
struct line_log_limits
{
    // Unit: bytes.
    std::size_t buffer_bytes = 65'536;
    // Lines that may be written each second. Allows three lines for each of the hundred requests
    // per second that a daemon sees.
    std::uint32_t lines_per_second = 300;
    // The same for essential lines, and the part of the buffer that is reserved for them. Unit:
    // lines, bytes.
    std::uint32_t essential_lines_per_second = 300;
    std::size_t essential_buffer_bytes = 24'576;
};

enum class line_importance : std::uint8_t
{
    ordinary,
    // Explains why a caller was refused or cut off.
    essential
};

// A line of key=value pairs. Values with spaces, quotes or control characters are quoted, and
// unsafe characters in them are replaced, so that a value can't forge pairs or lines.
class log_line
{
public:
    explicit log_line(std::string_view event);

    log_line& add(std::string_view key, std::string_view value);
    log_line& add(std::string_view key, std::int64_t value);
    // Appends text that is already a list of key=value pairs.
    log_line& append(std::string_view pairs);

    const std::string& text() const;

private:
    std::string line;
};

// Writes a log to an open descriptor, which it does not own.
class line_log
{
public:
    explicit line_log(int descriptor, line_log_limits limits = {});

    // Queues a line. `at` is the wall clock time to print, and `now` the monotonic time for the
    // rate limit.
    void write(const log_line& line, millis at, millis now,
               line_importance importance = line_importance::ordinary);

    // Writes as much of the queue as the descriptor accepts without blocking.
    void flush();

    // Returns the number of lines omitted so far.
    std::uint64_t omitted() const;

private:
    void refill_allowance(millis at, millis now);
    bool append(const std::string& text, millis at, std::size_t buffer_bytes);

    int descriptor;
    line_log_limits limits;
    std::string buffer;
    std::int64_t allowance;
    std::int64_t essential_allowance;
    millis last_refill;
    std::uint64_t omitted_lines = 0;
    std::uint64_t reported_omitted = 0;
};

} // namespace briarbarrow

#endif

#include "net/line_log.hpp"

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace briarbarrow
{

namespace
{

constexpr std::int64_t milliseconds_per_second = 1000;

bool is_plain_character(char character)
{
    return static_cast<unsigned char>(character) > ' ' && character != '"' && character != 127;
}

// True when a write of up to PIPE_BUF bytes to a pipe or file would not block.
bool can_write(int descriptor)
{
    pollfd waiting{descriptor, POLLOUT, 0};
    return poll(&waiting, 1, 0) == 1 && (waiting.revents & POLLOUT) != 0;
}

} // namespace

log_line::log_line(std::string_view event) : line("event=")
{
    this->line.append(event);
}

log_line& log_line::add(std::string_view key, std::string_view value)
{
    this->line.append(1, ' ').append(key).append(1, '=');
    const bool is_plain_value =
        std::all_of(value.begin(), value.end(), is_plain_character) && !value.empty();
    if (is_plain_value)
    {
        this->line.append(value);
        return *this;
    }
    this->line.append(1, '"');
    for (const char character : value)
    {
        this->line.append(1, is_plain_character(character) || character == ' ' ? character : '?');
    }
    this->line.append(1, '"');
    return *this;
}

log_line& log_line::add(std::string_view key, std::int64_t value)
{
    this->line.append(1, ' ').append(key).append(1, '=').append(std::to_string(value));
    return *this;
}

log_line& log_line::append(std::string_view pairs)
{
    if (!pairs.empty())
    {
        this->line.append(1, ' ').append(pairs);
    }
    return *this;
}

const std::string& log_line::text() const
{
    return this->line;
}

line_log::line_log(int descriptor, line_log_limits limits)
    : descriptor(descriptor), limits(limits), allowance(limits.lines_per_second),
      essential_allowance(limits.essential_lines_per_second)
{
}

void line_log::write(const log_line& line, millis at, millis now, line_importance importance)
{
    this->refill_allowance(at, now);
    const bool is_essential = importance == line_importance::essential;
    std::int64_t& remaining = is_essential ? this->essential_allowance : this->allowance;
    const std::size_t usable_bytes =
        is_essential ? this->limits.buffer_bytes
                     : this->limits.buffer_bytes -
                           std::min(this->limits.buffer_bytes, this->limits.essential_buffer_bytes);
    if (remaining <= 0 || !this->append(line.text(), at, usable_bytes))
    {
        ++this->omitted_lines;
        return;
    }
    --remaining;
}

void line_log::flush()
{
    std::size_t written_bytes = 0;
    while (written_bytes < this->buffer.size() && can_write(this->descriptor))
    {
        const std::size_t chunk_bytes =
            std::min<std::size_t>(this->buffer.size() - written_bytes, PIPE_BUF);
        const ssize_t written =
            ::write(this->descriptor, this->buffer.data() + written_bytes, chunk_bytes);
        if (written <= 0)
        {
            break;
        }
        written_bytes += static_cast<std::size_t>(written);
    }
    this->buffer.erase(0, written_bytes);
}

std::uint64_t line_log::omitted() const
{
    return this->omitted_lines;
}

void line_log::refill_allowance(millis at, millis now)
{
    if (now < this->last_refill + millis{milliseconds_per_second})
    {
        return;
    }
    this->last_refill = now;
    this->allowance = this->limits.lines_per_second;
    this->essential_allowance = this->limits.essential_lines_per_second;
    const std::uint64_t unreported = this->omitted_lines - this->reported_omitted;
    log_line line("lines_omitted");
    line.add("lines", static_cast<std::int64_t>(unreported));
    if (unreported > 0 && this->append(line.text(), at, this->limits.buffer_bytes))
    {
        this->reported_omitted = this->omitted_lines;
    }
}

bool line_log::append(const std::string& text, millis at, std::size_t buffer_bytes)
{
    const std::string time = "time_ms=" + std::to_string(at.count) + " ";
    if (this->buffer.size() + time.size() + text.size() + 1 > buffer_bytes)
    {
        return false;
    }
    this->buffer.append(time).append(text).append(1, '\n');
    return true;
}

} // namespace briarbarrow

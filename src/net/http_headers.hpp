// Collects the headers of an HTTP message from the callbacks of http_parser, which passes names and
// values in pieces.
#ifndef BRIARBARROW_NET_HTTP_HEADERS_HPP
#define BRIARBARROW_NET_HTTP_HEADERS_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarbarrow
{

// Largest size of a message's headers that is accepted. Unit: bytes.
constexpr std::size_t max_http_header_bytes = 4'096;

struct http_header
{
    std::string name;
    std::string value;
};

// The headers received so far. Starts a new header when a name follows a value.
struct http_headers
{
    std::vector<http_header> entries;
    bool is_reading_value = false;
    std::size_t received_bytes = 0;
};

// Add a piece of a header's name or value. False once the headers are too large.
bool add_header_name(http_headers& headers, std::string_view piece);
bool add_header_value(http_headers& headers, std::string_view piece);

// True when two characters of a header's name are the same but for their case.
bool equals_ignoring_case(char left, char right);

// Returns the value of a header, whose name is compared without regard to case.
std::optional<std::string> find_header(const http_headers& headers, std::string_view name);

} // namespace briarbarrow

#endif

#include "net/http_headers.hpp"

#include <algorithm>
#include <cctype>

namespace briarbarrow
{

bool equals_ignoring_case(char left, char right)
{
    return std::tolower(static_cast<unsigned char>(left)) ==
           std::tolower(static_cast<unsigned char>(right));
}

bool add_header_name(http_headers& headers, std::string_view piece)
{
    if (headers.entries.empty() || headers.is_reading_value)
    {
        headers.entries.emplace_back();
        headers.is_reading_value = false;
    }
    headers.entries.back().name.append(piece);
    headers.received_bytes += piece.size();
    return headers.received_bytes <= max_http_header_bytes;
}

bool add_header_value(http_headers& headers, std::string_view piece)
{
    if (headers.entries.empty())
    {
        return false;
    }
    headers.is_reading_value = true;
    headers.entries.back().value.append(piece);
    headers.received_bytes += piece.size();
    return headers.received_bytes <= max_http_header_bytes;
}

std::optional<std::string> find_header(const http_headers& headers, std::string_view name)
{
    const auto found =
        std::find_if(headers.entries.begin(), headers.entries.end(),
                     [name](const http_header& header)
                     {
                         return std::equal(header.name.begin(), header.name.end(), name.begin(),
                                           name.end(), equals_ignoring_case);
                     });
    return found == headers.entries.end() ? std::nullopt : std::optional(found->value);
}

} // namespace briarbarrow

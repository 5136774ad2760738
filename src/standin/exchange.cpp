#include "standin/exchange.hpp"

#include <array>
#include <sstream>

namespace briarbarrow
{

namespace
{

constexpr std::array<std::string_view, 3> report_kind_names{"RECEIPT", "LOAD", "MISROUTED"};

} // namespace

std::string format_request_line(const request_line& request)
{
    return "REQUEST " + std::to_string(request.id) + ' ' + std::to_string(request.bytes) + '\n';
}

std::optional<request_line> parse_request_line(std::string_view line)
{
    std::istringstream in{std::string(line)};
    std::string keyword;
    request_line request;
    if (!(in >> keyword >> request.id >> request.bytes) || keyword != "REQUEST")
    {
        return std::nullopt;
    }
    return request;
}

std::string format_answer_line(const answer_line& answer)
{
    return "ANSWER " + std::to_string(answer.id) + ' ' + answer.service + ' ' + answer.backend +
           ' ' + std::to_string(answer.bytes) + ' ' + std::to_string(answer.checksum) + '\n';
}

std::optional<answer_line> parse_answer_line(std::string_view line)
{
    std::istringstream in{std::string(line)};
    std::string keyword;
    answer_line answer;
    in >> keyword >> answer.id >> answer.service >> answer.backend >> answer.bytes >>
        answer.checksum;
    if (!in || keyword != "ANSWER")
    {
        return std::nullopt;
    }
    return answer;
}

std::string format_report_line(const report_line& report)
{
    const auto type = static_cast<std::size_t>(report.type);
    return std::string(report_kind_names[type]) + ' ' + report.service + ' ' + report.backend +
           ' ' + std::to_string(report.value);
}

std::optional<report_line> parse_report_line(std::string_view line)
{
    std::istringstream in{std::string(line)};
    std::string keyword;
    report_line report;
    if (!(in >> keyword >> report.service >> report.backend >> report.value))
    {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < report_kind_names.size(); ++i)
    {
        if (report_kind_names[i] == keyword)
        {
            report.type = static_cast<report_line::kind>(i);
            return report;
        }
    }
    return std::nullopt;
}

std::uint64_t answer_checksum(std::uint64_t id, std::uint64_t bytes)
{
    std::uint64_t checksum = 0;
    for (std::uint64_t offset = 0; offset < bytes; ++offset)
    {
        checksum = update_checksum(checksum, answer_byte(id, offset));
    }
    return checksum;
}

} // namespace briarbarrow

#include "standin/exchange.hpp"

#include <array>
#include <sstream>

namespace briarbarrow
{

namespace
{

constexpr std::array<std::string_view, 3> report_names{"RECEIPT", "LOAD", "MISROUTED"};

} // namespace

std::string write_request(const request_line& request)
{
    return "REQUEST " + std::to_string(request.id) + ' ' + std::to_string(request.bytes) + '\n';
}

std::optional<request_line> read_request(std::string_view line)
{
    std::istringstream in{std::string(line)};
    std::string word;
    request_line request;
    if (!(in >> word >> request.id >> request.bytes) || word != "REQUEST")
    {
        return std::nullopt;
    }
    return request;
}

std::string write_answer(const answer_line& answer)
{
    return "ANSWER " + std::to_string(answer.id) + ' ' + answer.service + ' ' + answer.backend +
           ' ' + std::to_string(answer.bytes) + ' ' + std::to_string(answer.checksum) + '\n';
}

std::optional<answer_line> read_answer(std::string_view line)
{
    std::istringstream in{std::string(line)};
    std::string word;
    answer_line answer;
    in >> word >> answer.id >> answer.service >> answer.backend >> answer.bytes >> answer.checksum;
    if (!in || word != "ANSWER")
    {
        return std::nullopt;
    }
    return answer;
}

std::string write_report(const report_line& report)
{
    const auto what = static_cast<std::size_t>(report.what);
    return std::string(report_names[what]) + ' ' + report.service + ' ' + report.backend + ' ' +
           std::to_string(report.value);
}

std::optional<report_line> read_report(std::string_view line)
{
    std::istringstream in{std::string(line)};
    std::string word;
    report_line report;
    if (!(in >> word >> report.service >> report.backend >> report.value))
    {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < report_names.size(); ++i)
    {
        if (report_names[i] == word)
        {
            report.what = static_cast<report_line::kind>(i);
            return report;
        }
    }
    return std::nullopt;
}

std::uint64_t answer_checksum(std::uint64_t id, std::uint64_t bytes)
{
    std::uint64_t checksum = 0;
    for (std::uint64_t place = 0; place < bytes; ++place)
    {
        checksum = add_to_checksum(checksum, answer_byte(id, place));
    }
    return checksum;
}

} // namespace briarbarrow

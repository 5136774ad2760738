// What a run showed, and the summary that a person reads.
#ifndef BRIARBARROW_STANDIN_RUN_REPORT_HPP
#define BRIARBARROW_STANDIN_RUN_REPORT_HPP

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "standin/callers.hpp"
#include "standin/exchange.hpp"

namespace briarbarrow
{

// What backend servers have reported.
struct backend_reports
{
    // Backend servers that ran a request, by request.
    std::map<std::uint64_t, std::vector<std::string>> receipts;
    std::uint64_t misrouted = 0;
    // Open connections by service and backend server.
    std::map<std::string, std::map<std::string, std::uint64_t>> load;
    // Busiest divided by mean, by service, one value a sample.
    std::map<std::string, std::vector<double>> imbalance;
};

// Control traffic of one host over the run.
struct host_control_traffic
{
    std::string host;
    double bytes_per_second = 0;
    std::string error;
};

// Takes note of a report line.
void add_report(backend_reports& reports, const report_line& line);

// Adds one sample of the imbalance of every service.
void sample_imbalance(backend_reports& reports);

// Requests that were run on two backend servers.
std::uint64_t count_duplicated_requests(const backend_reports& reports);

// Writes the summary. Returns true when every promise was kept.
bool write_summary(std::ostream& out, const caller_tally& tally, const backend_reports& reports,
                   const std::vector<host_control_traffic>& hosts);

} // namespace briarbarrow

#endif

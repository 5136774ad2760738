// The results of a run of standin_fabric, and the summary printed from them.
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

// The collected reports of all backend servers.
struct backend_reports
{
    // The backend servers that accepted a request, by request id.
    std::map<std::uint64_t, std::vector<std::string>> receipts;
    std::uint64_t misrouted = 0;
    // Last reported number of open connections, by service and backend server.
    std::map<std::string, std::map<std::string, std::uint64_t>> load;
    // Samples of the highest load divided by the mean load, by service.
    std::map<std::string, std::vector<double>> imbalance;
};

// Mean control traffic of one host over the run, or the reason why it is not known.
struct host_control_traffic
{
    std::string host;
    double bytes_per_second = 0;
    std::string error;
};

// Adds a report of a backend server to the collected ones.
void add_report(backend_reports& reports, const report_line& line);

// Adds one imbalance sample for every service with enough connections.
void sample_imbalance(backend_reports& reports);

// Returns the number of requests that more than one backend server accepted.
std::uint64_t count_duplicated_requests(const backend_reports& reports);

// Writes the summary. Returns true when at least one request was answered and no flow broke, was
// refused or misrouted, and no answer was mismatched and no request duplicated.
bool write_summary(std::ostream& out, const caller_tally& tally, const backend_reports& reports,
                   const std::vector<host_control_traffic>& hosts);

} // namespace briarbarrow

#endif

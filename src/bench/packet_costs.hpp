// What one packet costs the core, by kind and by the number of records, and what a record and a
// host of the domain cost. Slopes for docs/CAPACITY.md.
#ifndef BRIARBARROW_BENCH_PACKET_COSTS_HPP
#define BRIARBARROW_BENCH_PACKET_COSTS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace briarbarrow
{

// One measured figure.
struct cost_figure
{
    std::string name;
    // What it was measured at: records, or hosts of the domain.
    std::size_t size = 0;
    double value = 0;
    std::string unit;
};

// Cost of a packet by kind, with so many records in the table.
std::vector<cost_figure> measure_packets(std::size_t records);

// Cost of membership for one host in a domain of so many.
std::vector<cost_figure> measure_domain(std::size_t hosts);

} // namespace briarbarrow

#endif

// Measures the core's cost per packet, by kind of packet and number of records, the memory per
// record and the cost of membership per host. The figures of docs/CAPACITY.md come from here.
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
    // Number of records, or of hosts in the domain, at which it was measured.
    std::size_t size = 0;
    double value = 0;
    std::string unit;
};

// Measures the cost of a packet by kind, with so many records in the flow table.
std::vector<cost_figure> measure_packets(std::size_t records);

// Measures the cost of membership for one host in a domain of so many hosts.
std::vector<cost_figure> measure_domain(std::size_t hosts);

} // namespace briarbarrow

#endif

#include "adapters/metrics_page.hpp"

#include <sstream>

namespace briarbarrow
{

namespace
{

void write_counter(std::ostream& out, std::string_view name, std::uint64_t value)
{
    out << "# TYPE briarbarrow_" << name << "_total counter\n";
    out << "briarbarrow_" << name << "_total " << value << '\n';
}

void write_gauge(std::ostream& out, std::string_view name, double value)
{
    out << "# TYPE briarbarrow_" << name << " gauge\n";
    out << "briarbarrow_" << name << ' ' << value << '\n';
}

void write_summary(std::ostream& out, const adapter_summary& summary)
{
    out << "# HELP briarbarrow_" << summary.name << ' ' << summary.help << '\n';
    out << "# TYPE briarbarrow_" << summary.name << " summary\n";
    for (std::size_t i = 0; i < reported_quantiles.size(); ++i)
    {
        out << "briarbarrow_" << summary.name << "{quantile=\"" << reported_quantiles[i] << "\"} "
            << summary.values->quantile(i) << '\n';
    }
    out << "briarbarrow_" << summary.name << "_sum " << summary.values->sum() << '\n';
    out << "briarbarrow_" << summary.name << "_count " << summary.values->count() << '\n';
}

void write_backends(std::ostream& out, const core_state& state)
{
    out << "# TYPE briarbarrow_backend_in_flight gauge\n";
    for (const backend_runtime& backend : state.known.backends)
    {
        if (backend.id == backend_id::none)
        {
            continue;
        }
        const std::string& service = state.known.services[backend.service_slot].name;
        out << "briarbarrow_backend_in_flight{service=\"" << service << "\",backend=\""
            << backend.name << "\"} " << backend.in_flight << '\n';
    }
}

} // namespace

std::string make_metrics_page(const core_state& state, millis now,
                              const std::vector<adapter_metric>& counters,
                              const std::vector<adapter_summary>& summaries)
{
    std::ostringstream out;
    for (std::size_t i = 0; i < counter_names.size(); ++i)
    {
        write_counter(out, counter_names[i], state.counters.values[i]);
    }
    for (const adapter_metric& metric : counters)
    {
        write_counter(out, metric.name, metric.value);
    }
    write_gauge(out, "configuration_revision", static_cast<double>(state.revision));
    write_gauge(out, "flow_entries", static_cast<double>(state.flows.size()));
    write_gauge(out, "flow_table_bytes", static_cast<double>(state.flows.memory_bytes()));
    write_gauge(out, "granted", has_quorum_lease(state.hosts, now) ? 1 : 0);
    write_gauge(out, "records_to_move", static_cast<double>(state.sweep.unsynced_records));
    write_backends(out, state);
    for (const adapter_summary& summary : summaries)
    {
        write_summary(out, summary);
    }
    return out.str();
}

} // namespace briarbarrow

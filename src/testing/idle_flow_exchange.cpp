// What the daemons of the simulation of idle flows exchange with each other and with the store.
#include "testing/idle_flow_parts.hpp"

namespace briarbarrow
{

namespace
{

constexpr std::int64_t store_delay_ms = 4;
constexpr std::int64_t store_retry_ms = 200;
// Records are written in batches.
constexpr std::int64_t record_delay_ms = 500;

} // namespace

bool idle_flow_fleet::are_peers(std::size_t left, std::size_t right) const
{
    const std::vector<std::size_t>& isolated = this->options.isolated_daemons;
    return left != right && std::find(isolated.begin(), isolated.end(), left) == isolated.end() &&
           std::find(isolated.begin(), isolated.end(), right) == isolated.end();
}

// Contested flows are reported to the daemons of the own zone and to two others.
bool idle_flow_fleet::is_informed_by(std::size_t reporter, std::size_t recipient) const
{
    const std::size_t home = this->options.daemons;
    const bool is_same_zone = (reporter < home) == (recipient < home);
    const bool is_keeper = recipient < home ? recipient < 2 : recipient < home + 2;
    return this->are_peers(reporter, recipient) && (is_same_zone || is_keeper);
}

void idle_flow_fleet::report_contested(std::size_t to, const std::vector<contested_flow>& flows)
{
    simulated_daemon& daemon = this->daemons[to];
    if (daemon.is_paused)
    {
        daemon.waiting_reports.insert(daemon.waiting_reports.end(), flows.begin(), flows.end());
    }
    else if (daemon.is_up)
    {
        handle_contested_flows(daemon.router, flows, this->now());
    }
}

// The daemon asks others when it starts.
void idle_flow_fleet::ask_for_contested(std::size_t index)
{
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
    {
        simulated_daemon& source = this->daemons[i];
        const bool is_asked = this->is_informed_by(index, i);
        if (is_asked && source.is_paused)
        {
            source.waiting_requests.push_back(index);
        }
        else if (is_asked && source.is_up)
        {
            this->report_contested(index, known_contested_flows(source.router, this->now()));
        }
    }
}

// Asks the other daemons about the flows that are looked up.
void idle_flow_fleet::ask_peers(std::size_t index)
{
    std::vector<contested_flow> questions;
    questions.swap(this->daemons[index].router.lookups.peer_questions);
    for (std::size_t i = 0; i < this->daemons.size() && !questions.empty(); ++i)
    {
        if (!this->are_peers(index, i))
        {
            continue;
        }
        this->after(network_delay_ms,
                    [this, index, i, questions]()
                    {
                        simulated_daemon& asked = this->daemons[i];
                        if (asked.is_paused || !asked.is_up)
                        {
                            return;
                        }
                        const std::vector<contested_flow> answers =
                            handle_contested_flows(asked.router, questions, this->now());
                        this->after(network_delay_ms, [this, index, answers]()
                                    { this->report_contested(index, answers); });
                    });
    }
}

bool idle_flow_fleet::is_store_down() const
{
    return std::any_of(this->options.store_outages.begin(), this->options.store_outages.end(),
                       [this](const process_window& outage)
                       { return outage.begin <= this->now_ms && this->now_ms < outage.end; });
}

void idle_flow_fleet::record_in_store(const std::vector<contested_flow>& flows)
{
    this->after(record_delay_ms,
                [this, flows]()
                {
                    if (this->is_store_down())
                    {
                        this->after(store_retry_ms,
                                    [this, flows]() { this->record_in_store(flows); });
                        return;
                    }
                    for (const contested_flow& flow : flows)
                    {
                        if (flow.tag != no_tag)
                        {
                            this->recorded.insert_or_assign(flow.key, flow);
                        }
                    }
                });
}

void idle_flow_fleet::ask_store(std::size_t index)
{
    std::vector<flow_lookup_request> requests;
    requests.swap(this->daemons[index].router.lookups.store_requests);
    for (const flow_lookup_request& request : requests)
    {
        this->after(store_delay_ms,
                    [this, index, request]()
                    {
                        simulated_daemon& daemon = this->daemons[index];
                        if (daemon.is_paused || !daemon.is_up)
                        {
                            return;
                        }
                        const auto found = this->recorded.find(request.key);
                        const bool is_recorded = found != this->recorded.end();
                        const lookup_outcome outcome = this->is_store_down()
                                                           ? lookup_outcome::no_answer
                                                       : is_recorded ? lookup_outcome::recorded
                                                                     : lookup_outcome::not_recorded;
                        handle_lookup_result(daemon.router, request.key, outcome,
                                             outcome == lookup_outcome::recorded
                                                 ? std::optional(found->second)
                                                 : std::nullopt,
                                             this->now());
                        this->release_held(index);
                    });
    }
}

// Routes the packets again whose flows are no longer looked up.
void idle_flow_fleet::release_held(std::size_t index)
{
    std::deque<arrived_packet> held;
    held.swap(this->daemons[index].held);
    for (const arrived_packet& arrived : held)
    {
        if (is_looked_up(this->daemons[index].router.lookups, flow_key_of(arrived.packet.tuple)))
        {
            this->daemons[index].held.push_back(arrived);
        }
        else
        {
            this->route(index, arrived);
        }
    }
}

} // namespace briarbarrow

// The fabric of the virtual network: the hosts that it lists, the baseline policies that replace a
// host's core, and the trace of one flow.
#include <algorithm>

#include "testing/virtual_addresses.hpp"
#include "testing/virtual_net.hpp"

namespace briarbarrow
{

namespace
{

constexpr millis fabric_interval{100};
// The fabric lists or unlists a host this long after the host's state changed.
constexpr millis fabric_update_delay{700};

} // namespace

// Sends a packet on as a baseline policy would; each host decides on its own.
void virtual_net::handle_with_baseline(std::size_t index, const packet_bytes& bytes)
{
    virtual_host& host = *this->hosts[index];
    if (host.paused)
    {
        return;
    }
    const auto read = decode_frame(bytes);
    const auto packet = parse_packet(read.value().body);
    const flow_key key = flow_key_of(packet.value().tuple);
    const auto service_index =
        static_cast<std::size_t>(packet.value().tuple.destination.bytes[15] - 1);
    if (host.received.services.size() <= service_index)
    {
        return;
    }
    std::vector<endpoint> active;
    for (const backend_config& backend : host.received.services[service_index].backends)
    {
        if (backend.state == backend_state::active)
        {
            active.push_back(backend.packets);
        }
    }
    int chosen = this->backend_by_endpoint.at(active[key.low % active.size()]);
    if (this->settings.policy == flow_policy::local_table)
    {
        const auto known = host.local_flow_table.find(key);
        const auto score = [&key, this](const endpoint& backend)
        {
            return mix(key.low, static_cast<std::uint64_t>(this->backend_by_endpoint.at(backend)));
        };
        const auto best = std::max_element(active.begin(), active.end(),
                                           [score](const endpoint& left, const endpoint& right)
                                           { return score(left) < score(right); });
        chosen = known == host.local_flow_table.end() ? this->backend_by_endpoint.at(*best)
                                                      : known->second;
        host.local_flow_table[key] = chosen;
    }
    this->send_datagram(host.info.packets, backend_endpoint(static_cast<std::size_t>(chosen)),
                        bytes);
}

void virtual_net::update_fabric()
{
    for (std::size_t i = 0; i < this->hosts.size(); ++i)
    {
        const virtual_host& host = *this->hosts[i];
        bool declared_absent = false;
        for (const auto& other : this->hosts)
        {
            const auto& known = other->core.hosts.others;
            const auto found = known.find(host.info.id);
            const bool gone = found != known.end() && found->second.state >= host_state::leaving;
            declared_absent = declared_absent || (other->alive && gone);
        }
        const bool live = host.core.hosts.state == host_state::live;
        const bool should_be_listed = live && !declared_absent;
        if (should_be_listed == this->listed[i])
        {
            this->listing_stable_since[i] = this->clock;
        }
        else if (this->clock - this->listing_stable_since[i] >= fabric_update_delay)
        {
            this->listed[i] = should_be_listed;
        }
    }
    this->schedule(fabric_interval, [this] { this->update_fabric(); });
}

void virtual_net::trace_flow(std::size_t flow)
{
    this->traced_flow = flow;
}

void virtual_net::trace_packet(const endpoint& from, const endpoint& to, const packet_bytes& bytes)
{
    const auto read = decode_frame(bytes);
    if (!read || read.value().control)
    {
        return;
    }
    const auto packet = parse_packet(read.value().body);
    const auto flow =
        packet ? this->flow_by_tuple.find(packet.value().tuple) : this->flow_by_tuple.end();
    if (flow == this->flow_by_tuple.end() || flow->second != this->traced_flow)
    {
        return;
    }
    constexpr std::array<std::string_view, 3> roles{"opening", "middle", "closing"};
    std::string text = std::to_string(this->clock.count) + " " + to_string(from) + " -> " +
                       to_string(to) + " " +
                       std::string(roles[static_cast<std::size_t>(packet.value().role)]);
    if (const auto& relay = read.value().relay)
    {
        text += " " + std::string(relay_kind_names[static_cast<std::size_t>(relay->kind)]) +
                " to " + to_string(relay->backend_packet_endpoint) + " hops " +
                std::to_string(relay->hops) + " path " + std::to_string(relay->path.size()) +
                " rank " + std::to_string(static_cast<int>(relay->rank)) + " age " +
                std::to_string(relay->age.count);
    }
    const auto host = this->host_by_endpoint.find(to);
    const flow_key key = flow_key_of(packet.value().tuple);
    flow_entry* entry = host == this->host_by_endpoint.end()
                            ? nullptr
                            : this->hosts[host->second]->core.flows.find(key);
    if (entry != nullptr)
    {
        const auto& backends = this->hosts[host->second]->core.known.backends;
        text += entry->role == flow_role::record ? "; has a record of " : "; has a hint of ";
        text += backends[entry->backend_slot].name;
        text += " rank " + std::to_string(static_cast<int>(entry->rank));
        text += entry->confirmed ? " confirmed" : "";
        text += " phase " + std::to_string(static_cast<int>(entry->phase));
    }
    this->event_lines.push_back(text);
}

} // namespace briarbarrow

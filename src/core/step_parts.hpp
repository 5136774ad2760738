// Internal functions of step(), for the core's own source files only.
#ifndef BRIARBARROW_CORE_STEP_PARTS_HPP
#define BRIARBARROW_CORE_STEP_PARTS_HPP

#include <optional>

#include "core/core.hpp"

namespace briarbarrow
{

// Two hosts' measurements of the same age may differ by this much, because of packet delay.
constexpr millis age_tolerance{250};

// The context of one call of step().
struct step_context
{
    core_state& state;
    millis now;
    actions& out;
};

// A packet that this host routes, with its service and the contents of its relay header.
struct routed_packet
{
    const packet_view& packet;
    flow_key key;
    std::uint32_t service_slot = 0;
    host_id ingress = host_id::none;
    // The host to which the packet's destination is reported in a hint; none if no host asked.
    host_id coordinator = host_id::none;
    std::uint8_t hops = 0;
};

// fast_path.cpp: parses a packet and counts a malformed one by its fault.
std::optional<packet_view> parse_and_count(step_context& step, std::span<const std::uint8_t> bytes);

// fast_path.cpp: handles a packet from the fabric.
void handle_fabric_packet(step_context& step, std::span<const std::uint8_t> bytes);

// coordinator.cpp: routes a packet with this host as its coordinator.
void coordinate(step_context& step, const routed_packet& routed);

// coordinator.cpp: handles a packet with a relay header from another host.
void handle_relayed_packet(step_context& step, const relay_header& header,
                           std::span<const std::uint8_t> bytes);

// hints.cpp: handles a hint from another host.
void handle_hint(step_context& step, host_id sender, const hint& received);

// hints.cpp: queues a hint that reports a flow's backend server to a host with the next packet to
// it.
void queue_hint(step_context& step, host_id to, const flow_entry& entry);

// hints.cpp: moves queued hints for a host into the header of a packet to it.
void attach_hints(core_state& state, host_id to, relay_header& header);

// hints.cpp: sends queued hints in separate datagrams, within their bandwidth limit.
void send_queued_hints(step_context& step);

// sweep.cpp: visits some segments of the flow table, expires entries and syncs records.
void sweep_flows(step_context& step);

// sweep.cpp: handles a batch of records from another host, and the acknowledgement of a batch that
// this host sent.
void handle_records(step_context& step, host_id sender, const record_batch& batch);
void handle_records_ack(step_context& step, host_id sender, const record_batch_ack& ack);

// records.cpp: returns the record owners of a service in the newest view.
owner_pair current_owners(core_state& state, std::uint32_t service_slot);

// records.cpp: true when the other current owner is known to have the record.
bool is_replicated(core_state& state, const flow_entry& entry);

// The slot of host_id::none.
constexpr std::uint16_t no_host_slot = 0;

// records.cpp: returns this host's slot for another host, and adds one if needed.
std::uint16_t host_slot(core_state& state, host_id host);

// records.cpp: writes a new record, replacing any entry with the same key, and counts the flow as
// in flight.
flow_entry& add_record(step_context& step, const flow_key& key, std::uint32_t service_slot,
                       std::uint32_t backend_slot);

// records.cpp: changes the backend server of an entry and updates the in-flight counts.
void change_backend(core_state& state, flow_entry& entry, std::uint32_t backend_slot);

// records.cpp: changes the phase of an entry and updates the in-flight counts.
void change_phase(core_state& state, flow_entry& entry, flow_phase phase);

// records.cpp: how long a hint is retained. For a UDP service with at-most-once requests a hint
// outlasts `hint_lifetime`, during which it is followed, as evidence of where requests were sent.
millis hint_retention(const core_state& state, const flow_entry& entry);

// records.cpp: turns a hint into a record, when no other host has one.
void promote_hint(core_state& state, flow_entry& entry);

// records.cpp: turns a record into a hint, which does not count as in flight.
void demote_record(core_state& state, flow_entry& entry);

// records.cpp: updates the last-seen time and the phase of an entry from a packet of its flow.
void observe_packet(step_context& step, flow_entry& entry, const packet_view& packet);

// records.cpp: raises the rank to established when a packet shows that the caller continued with
// the entry's backend server. Only for a packet whose record needs no reconciliation.
void observe_progress(flow_entry& entry, const packet_view& packet);

// paths.cpp: returns the hosts that a packet visits before its backend server: the current owners
// and the reachable owners of views superseded within the horizon, which other hosts may still use.
// With a horizon beyond `view_overlap_window`, it adds all reachable hosts of a small domain.
host_path make_replication_path(step_context& step, std::uint32_t service_slot, millis horizon);

// paths.cpp: returns the reachable hosts that may have a record of a flow unknown to its
// coordinator.
host_path make_search_path(step_context& step, std::uint32_t service_slot, millis horizon);

// paths.cpp: true when a search can reach every host that may have a record: no host is suspected
// without having been declared gone, and this host has a quorum lease.
bool is_search_complete(const step_context& step);

// paths.cpp: true when both owners of some view, which may have held the only records of a service,
// are lost.
bool lost_both_owners(const step_context& step, std::uint32_t service_slot);

// paths.cpp: sends a packet to the first host on the header's path, unless it has reached the hop
// limit.
void forward_along_path(step_context& step, relay_header header, const routed_packet& routed);

// paths.cpp: makes the relay header for forwarding a packet to another host.
relay_header make_relay_header(const step_context& step, const routed_packet& routed,
                               relay_kind kind);

// replication.cpp: sends a packet to its backend server through the other owners, which store the
// record.
void send_through_owners(step_context& step, const routed_packet& routed, flow_entry& entry);

// replication.cpp: stores the record from a packet's relay header and forwards the packet.
void handle_replication(step_context& step, routed_packet& routed, const relay_header& header);

// Another host's record of a flow, as far as it decides which of two records stays.
struct record_claim
{
    flow_rank rank = flow_rank::choice;
    millis age;
    backend_id backend = backend_id::none;
};

// records.cpp: true when another host's record, with another backend server, replaces this one.
// Between two records that are only choices, every host prefers the same one regardless of order.
bool is_outranked(const step_context& step, const flow_entry& entry, const record_claim& claim);

// records.cpp: true for an entry whose choice was made during the current partition, and so may be
// followed until it ends.
bool is_from_current_partition(const core_state& state, const flow_entry& entry);

// replication.cpp: true when another host may have a record of the flow that outranks this one.
bool needs_reconciliation(const core_state& state, const flow_entry& entry,
                          const packet_view& packet, millis now);

// What to do with an opening packet whose flow already has a record: keep the backend server,
// replace the record by a new choice, or drop the packet.
enum class reuse_decision : std::uint8_t
{
    keep,
    replace,
    drop
};

// replication.cpp: decides what to do with an opening packet whose flow already has a record.
reuse_decision decide_reuse(const step_context& step, const routed_packet& routed,
                            const flow_entry& entry);

// replication.cpp: returns the record of a flow, or null.
flow_entry* find_record(core_state& state, const flow_key& key);

// send.cpp: sends a packet to a backend server.
void send_to_backend(step_context& step, std::uint32_t backend_slot, const packet_view& packet);

// send.cpp: sends a packet with a relay header to a host. Returns false if the host is unknown.
bool send_relay(step_context& step, host_id to, relay_header header, const packet_view& packet);

// send.cpp: sends a TCP reset to the caller of a packet.
void send_reset(step_context& step, const packet_view& packet);

// send.cpp: sends a control message to a host, if it is known, and counts its bytes.
void send_control(step_context& step, host_id to, control_kind kind, const message_bytes& body);

// send.cpp: returns the packet endpoint of a host, or null if the host is unknown.
const endpoint* packet_endpoint_of(const core_state& state, host_id host);

} // namespace briarbarrow

#endif

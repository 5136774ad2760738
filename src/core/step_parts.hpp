// The parts of step(), for the core's own files only.
#ifndef BRIARBARROW_CORE_STEP_PARTS_HPP
#define BRIARBARROW_CORE_STEP_PARTS_HPP

#include <optional>

#include "core/core.hpp"

namespace briarbarrow
{

// Two hosts' measures of one span may differ by this much, for a packet takes its time.
constexpr millis clock_tolerance{250};

// One step in progress.
struct step_context
{
    core_state& state;
    millis now;
    actions& out;
};

// A packet on its way through this host, with the service that it is for.
struct packet_in_hand
{
    const packet_view& packet;
    flow_key key;
    std::uint32_t service_slot = 0;
    host_id ingress = host_id::none;
    // Who is to be told where the packet ended; none when nobody asked.
    host_id coordinator = host_id::none;
    std::uint8_t hops = 0;
};

// fast_path.cpp: reads a packet and counts why it can't be read.
std::optional<packet_view> parse_counted(step_context& step, std::span<const std::uint8_t> bytes);

// fast_path.cpp: a packet from the fabric.
void take_fabric_packet(step_context& step, std::span<const std::uint8_t> bytes);

// coordinator.cpp: makes this host the coordinator of the packet.
void coordinate(step_context& step, const packet_in_hand& hand);

// coordinator.cpp: a packet with a relay header from another host.
void take_relay(step_context& step, const relay_header& header,
                std::span<const std::uint8_t> bytes);

// hints.cpp: a hint from another host.
void take_hint(step_context& step, host_id sender, const hint& told);

// hints.cpp: tells a host where the packets of a flow go, on the next packet to it.
void queue_hint(step_context& step, host_id to, const flow_entry& entry);

// hints.cpp: moves waiting hints for a host into the header of a packet to it.
void load_hints(core_state& state, host_id to, relay_header& header);

// hints.cpp: sends hints that found no packet, within their budget.
void send_waiting_hints(step_context& step);

// sweep.cpp: visits a part of the flow table, expires entries and moves records.
void sweep_flows(step_context& step);

// sweep.cpp: records that another keeper has sent, and the answer to ours.
void take_records(step_context& step, host_id sender, const record_batch& batch);
void take_records_taken(step_context& step, host_id sender, const record_batch_ack& answer);

// records.cpp: the keepers of a service in the newest view.
keeper_pair current_keepers(core_state& state, std::uint32_t service_slot);

// records.cpp: true when the other keeper of today is known to have the record.
bool is_confirmed(core_state& state, const flow_entry& entry);

// The slot of host_id::none.
constexpr std::uint16_t no_host_slot = 0;

// records.cpp: this host's slot for another host.
std::uint16_t host_slot(core_state& state, host_id host);

// records.cpp: writes a new record. Counts the flow as in flight.
flow_entry& add_record(step_context& step, const flow_key& key, std::uint32_t service_slot,
                       std::uint32_t backend_slot);

// records.cpp: gives a record another backend server and keeps the counts right.
void change_backend(core_state& state, flow_entry& entry, std::uint32_t backend_slot);

// records.cpp: moves a record to a phase and keeps the counts right.
void change_phase(core_state& state, flow_entry& entry, flow_phase phase);

// records.cpp: how long a hint is remembered. For a service whose requests run at most once it is
// evidence of where they were sent, beyond the time in which it is followed.
millis hint_memory(const core_state& state, const flow_entry& entry);

// records.cpp: makes a hint a record again, when nobody else has one.
void promote_hint(core_state& state, flow_entry& entry);

// records.cpp: makes a record a hint, which is no longer counted.
void demote_record(core_state& state, flow_entry& entry);

// records.cpp: notes on a record what a packet says about its flow.
void note_packet(step_context& step, flow_entry& entry, const packet_view& packet);

// records.cpp: notes that the caller went on with the backend server of a record. Only for a packet
// whose record needs no settling any more.
void note_progress(flow_entry& entry, const packet_view& packet);

// paths.cpp: hosts that a packet visits before its backend server: the keepers of today, and
// those of views that hosts may still have, or had within the horizon.
host_path chain_of(step_context& step, std::uint32_t service_slot, millis horizon);

// paths.cpp: the hosts that may know a flow which its coordinator does not.
host_path search_path_of(step_context& step, std::uint32_t service_slot, millis horizon);

// paths.cpp: true when no host that could know a flow is out of reach without being counted out.
bool is_search_complete(const step_context& step);

// paths.cpp: true when two keepers that may have held records of a service are both lost.
bool lost_both_keepers(const step_context& step, std::uint32_t service_slot);

// paths.cpp: sends a packet to the first host of a header's path.
void pass_along(step_context& step, relay_header header, const packet_in_hand& hand);

// paths.cpp: the header for passing a packet on to another host.
relay_header make_header(const step_context& step, const packet_in_hand& hand, relay_kind kind);

// deposit.cpp: sends a packet to a backend server through the other keepers.
void send_through_keepers(step_context& step, const packet_in_hand& hand, flow_entry& entry);

// deposit.cpp: takes the record that a packet carries, and passes the packet on.
void take_deposit(step_context& step, packet_in_hand& hand, const relay_header& header);

// What another host says of a flow.
struct record_claim
{
    flow_rank rank = flow_rank::choice;
    millis age;
    backend_id backend = backend_id::none;
};

// records.cpp: true when a record has to give way to another host's, with another backend server.
// Of two mere choices every host prefers the same one, whichever it saw first.
bool is_outranked(const step_context& step, const flow_entry& entry, const record_claim& claim);

// records.cpp: true for a choice that was made during this very cut, and so may be followed in it.
bool is_of_this_cut(const core_state& state, const flow_entry& entry);

// deposit.cpp: true when another host may hold a better record of a flow than this one.
bool needs_settling(const core_state& state, const flow_entry& entry, const packet_view& packet,
                    millis now);

// What is to become of an opening packet whose flow has a record already.
enum class reuse : std::uint8_t
{
    keep,
    replace,
    drop
};

// deposit.cpp: judges an opening packet whose flow has a record.
reuse judge_reuse(const step_context& step, const packet_in_hand& hand, const flow_entry& entry);

// deposit.cpp: the record of a flow, or null.
flow_entry* find_record(core_state& state, const flow_key& key);

// send.cpp: sends a packet to a backend server.
void send_to_backend(step_context& step, std::uint32_t backend_slot, const packet_view& packet);

// send.cpp: sends a packet with a relay header to a host. False when the host is not known.
bool send_relay(step_context& step, host_id to, relay_header header, const packet_view& packet);

// send.cpp: sends a TCP reset to the caller of a packet.
void send_reset(step_context& step, const packet_view& packet);

// send.cpp: sends a control message to a host and counts its bytes.
void send_control(step_context& step, host_id to, control_kind kind, const message_bytes& body);

// send.cpp: the packet endpoint of a host, or null.
const endpoint* packets_of(const core_state& state, host_id host);

} // namespace briarbarrow

#endif

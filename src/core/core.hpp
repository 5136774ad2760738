// The complete logic of a host as a deterministic state machine: no input or output, no threads and
// no clock of its own.
//
// An adapter passes events to step() and carries out the actions that step() returns. There is no
// other interface, so two cores that receive the same events at the same times do the same.
//
// How a packet is routed
//
// The fabric may deliver any packet to any host, which is then the packet's *ingress*.
//
//  1. Fast path (fast_path.cpp): if the ingress has a usable entry for the flow and the packet
//     neither opens nor closes the flow, the packet goes straight to the backend server.
//  2. Otherwise the packet goes to the service's primary, its *coordinator* (coordinator.cpp). For
//     a packet that opens a flow, the coordinator chooses a backend server and writes a record.
//  3. The coordinator sends the packet to the backend server *through* the other record owners
//     (replication.cpp). Each of them stores the record from the packet's relay header before it
//     forwards the packet, so a backend server never receives a packet of a flow that only one host
//     has a record of.
//  4. An owner whose record names another backend server writes its own into the header: an
//     existing record takes precedence over a new choice. The last owner reports the packet's
//     destination to the coordinator and the ingress in a hint, so that later packets take path 1.
//  5. A packet of a flow that its coordinator does not know visits the hosts that may have its
//     record. The first one that has it continues with 3. If none has, the caller gets a TCP
//     reset, unless a host that may have a record is unreachable: then the packet is dropped, and
//     the caller's retransmission starts a new search.
//
// Closing packets never take path 1, so that the owners' in-flight counts stay right. An entry that
// was not refreshed for `hint_lifetime` is no longer used for path 1.
//
// Invariants, checked by the tests after every step:
//  - all packets of a flow reach the same backend server, which belongs to the flow's service;
//  - a backend server receives a packet only after every owner on the path has the record;
//  - an opening packet is refused (by a reset) only if no packet of its flow was sent to a backend
//    server;
//  - the configuration revision in force never decreases.
#ifndef BRIARBARROW_CORE_CORE_HPP
#define BRIARBARROW_CORE_CORE_HPP

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "core/configuration.hpp"
#include "core/counters.hpp"
#include "core/flows/flow_table.hpp"
#include "core/members/membership.hpp"
#include "core/placement/record_owners.hpp"
#include "core/placement/registry.hpp"
#include "wire/encapsulation.hpp"
#include "wire/messages.hpp"

namespace briarbarrow
{

// An entry that the record owners have not confirmed for this long is not used for the fast path.
constexpr millis hint_lifetime{8'000};
// A flow ends when its caller has sent FIN and then nothing for this long.
constexpr millis closing_timeout{1'000};
// An ended flow's 5-tuple stays bound to its backend server for this long, because hints to that
// server may still exist.
constexpr millis quarantine_duration{30'000};
// A record younger than this may conflict with a choice made concurrently on another host.
constexpr millis concurrent_choice_window{5'000};
// A former owner keeps a surplus record at least this long if it does not receive heartbeats from
// all hosts, and so cannot tell that all of them have synced their records.
constexpr millis surplus_record_lifetime{30'000};
// A leaving host keeps forwarding packets for at least this long.
constexpr millis min_leave_duration{5'000};
// After a partition, records made without a quorum lease are reconciled with the owners of views up
// to this old, which may hold records made with a lease.
constexpr millis reconciliation_window{120'000};
// Limit on the searches that a host starts. Unit: searches per second.
constexpr std::int64_t searches_per_second = 2'000;
// Rate of the token bucket for record batches. Unit: bytes per second.
constexpr std::int64_t record_bytes_per_second = 650;
// Rate of the token bucket for hints sent in separate datagrams. Unit: bytes per second.
constexpr std::int64_t hint_bytes_per_second = 300;

// A datagram arrived at the packet port.
struct datagram_event
{
    endpoint from;
    std::span<const std::uint8_t> bytes;
};

// A bare IP packet arrived from the fabric, for example through a TUN device.
struct packet_event
{
    std::span<const std::uint8_t> bytes;
};

// Time has advanced. The adapter sends one every `tick_interval`.
struct tick_event
{
};

// A decoded configuration arrived from the platform or from another host. step() validates it.
struct configuration_event
{
    configuration value;
    std::uint32_t digest = 0;
};

// Hosts were listed by the platform, by the settings or over a peer link.
struct hosts_event
{
    std::vector<reported_host> hosts;
};

// The host begins a planned leave.
struct leave_event
{
};

using event = std::variant<datagram_event, packet_event, tick_event, configuration_event,
                           hosts_event, leave_event>;

// Interval between tick events.
constexpr millis tick_interval{25};

// A datagram to send: `head`, then `body`. The body refers to the event's bytes and is valid only
// as long as they are.
struct outgoing
{
    endpoint to;
    // True for an IP packet to the caller, which goes out unencapsulated; `to` is then unset.
    bool to_caller = false;
    wire_buffer head;
    std::span<const std::uint8_t> body;
};

// A list of hosts to send over the peer link.
struct outgoing_host_list
{
    endpoint to;
    host_list list;
};

// What the adapter has to do after a step. Reused between steps so that the packet path does not
// allocate.
struct actions
{
    std::vector<outgoing> datagrams;
    std::vector<outgoing_host_list> lists;
    // Peer endpoints of hosts that have a newer configuration, to fetch it from.
    std::vector<endpoint> configuration_sources;
    // State changes as text, for the log and the event trace.
    std::vector<std::string> events;
    // True once a leaving host is drained and may stop.
    bool may_stop = false;
};

// Settings that are fixed for the lifetime of a core.
struct core_settings
{
    host_info self;
    // Addresses of the fabric, from which encapsulated bare packets are accepted.
    std::set<ip_address> fabric;
    std::uint64_t seed = 1;
};

// Limit on the queued hints for one host; beyond it the oldest is dropped.
constexpr std::size_t max_queued_hints = 32;

// Hints that wait for a packet to their receiver, on which they are piggybacked.
struct hint_queue
{
    std::vector<hint> queued;
};

// A batch of records that is being filled for another owner, or was sent and not acknowledged yet.
struct pending_batch
{
    host_id to = host_id::none;
    // 0 until the batch is sent for the first time.
    std::uint32_t number = 0;
    // When it was last sent; until then, when it was created.
    millis sent;
    std::vector<transferred_record> entries;
};

// State of the background sweep of the flow table, and of the record batches that it sends.
struct sweep_state
{
    std::size_t next_segment = 0;
    // Records found so far in this round that are not at both owners.
    std::size_t round_unsynced_records = 0;
    // The same for the last complete round; not 0 until a round has completed.
    std::size_t unsynced_records = 1;
    // Complete rounds since the newest view.
    std::uint64_t rounds = 0;
    std::int64_t record_tokens = 0;
    millis record_tokens_refilled_at;
    std::uint32_t next_batch = 1;
    std::vector<pending_batch> pending_batches;
    // Digest of the newest view, if the last round found every record of this host at both owners;
    // 0 otherwise.
    std::uint32_t synced_view = 0;
    // True while all other hosts report their records as synced in the newest view.
    bool others_synced = false;
};

// Another host with the incarnation of one of its starts.
struct host_instance
{
    host_id id = host_id::none;
    std::uint64_t incarnation = 0;
};

// All state of a host.
struct core_state
{
    core_settings settings;
    membership hosts;
    view_history views;
    registry known;
    flow_table flows;
    counter_set counters;
    sweep_state sweep;
    // Revision and digest of the configuration in force.
    std::uint64_t revision = 0;
    std::uint32_t digest = 0;
    // Source addresses whose refusal was logged already.
    std::set<ip_address> refused_sources;
    // By the hash of the packet endpoint.
    std::unordered_map<std::uint64_t, host_id> host_by_packet_endpoint;
    std::int64_t search_tokens = searches_per_second;
    millis search_tokens_refilled_at;
    // Hosts by slot. A restarted host gets a new slot, since it has lost its records.
    std::vector<host_instance> host_slots;
    std::unordered_map<host_id, std::uint16_t> slot_of_host;
    std::size_t reused_host_slots = 0;
    // Indexed by host slot.
    std::vector<hint_queue> hint_queues;
    std::int64_t hint_tokens = 0;
    millis hint_tokens_refilled_at;
    bool left_announced = false;
};

// Initializes the state of a host that knows no other hosts and has no configuration.
void start_core(core_state& state, const core_settings& settings, millis now);

// Processes one event and appends the resulting actions to `out`. `now` must not decrease.
void step(core_state& state, const event& input, millis now, actions& out);

// Clears the actions for the next step and keeps their memory.
void clear_actions(actions& out);

// True when this host has the revision in force or a newer one.
bool has_configuration(const core_state& state, std::uint64_t revision);

} // namespace briarbarrow

#endif

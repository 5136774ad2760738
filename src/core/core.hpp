// The whole of a host's behaviour, without input or output, threads or a clock of its own.
//
// An adapter feeds events to step() and carries out the actions that it returns. Nothing else goes
// in or out; two cores that are fed the same events at the same times do the same.
//
// The way of a packet
//
// The fabric hands any packet to any host, which is then its *ingress*.
//
//  1. The ingress has the flow's entry and the packet neither opens nor closes the flow: it goes
//     straight to the backend server (fast_path.cpp).
//  2. Otherwise it goes to the service's primary, its *coordinator* (coordinator.cpp). A packet
//     that opens a flow makes the coordinator choose a backend server and write a record.
//  3. The coordinator sends the packet to the backend server *through* the other keepers. Each of
//     them takes the record out of the packet's relay header before it passes the packet on, so
//     that a backend server never has a packet of a flow that only one host knows.
//  4. A keeper that has a record with another backend server changes the header to its own: the
//     record goes before the choice. The last keeper tells the coordinator and the ingress where
//     the packet went (a hint), so that later packets take way 1.
//  5. A packet of a flow that its coordinator does not know visits the hosts that may know it.
//     The first one that does goes on with step 3. If none does, the caller gets a TCP reset,
//     unless a host that could know is out of reach; then the packet is dropped and the caller's
//     own retransmission asks again.
//
// Closing packets always take way 2, so that the keepers' counts are right. Entries without
// refresh lose way 1 after `hint_lifetime`.
//
// Invariants, checked by the tests after every step:
//  - packets of one flow reach one backend server, and one of the flow's own service;
//  - a backend server gets a packet only after every keeper of the chain has the record;
//  - a refusal (a reset to an opening packet) is sent only when nothing of the flow was sent on;
//  - the revision in force never falls.
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
#include "core/placement/keepers.hpp"
#include "core/placement/registry.hpp"
#include "wire/encapsulation.hpp"
#include "wire/messages.hpp"

namespace briarbarrow
{

// An entry that was not confirmed by the keepers for longer is not used for way 1.
constexpr millis hint_lifetime{8'000};
// A flow whose caller has sent FIN and then nothing for this long has ended.
constexpr millis closing_span{1'000};
// An ended flow's five values keep their backend server for this long, while hints may be left.
constexpr millis quarantine_span{30'000};
// A record this young may come from a choice made at the same time elsewhere.
constexpr millis racing_span{5'000};
// A host that is no keeper of a flow any more keeps its record at least this long where it does
// not hear from all hosts that theirs are settled.
constexpr millis spare_span{30'000};
// A leaving host passes packets on for at least this long.
constexpr millis leave_linger{5'000};
// After a cut, records made without a grant look this far back for ones made with a grant.
constexpr millis settling_span{120'000};
// Searches that a host starts. Unit: searches per second.
constexpr std::int64_t searches_per_second = 2'000;
// Bytes of record batches that a host sends. Unit: bytes per second.
constexpr std::int64_t record_bytes_per_second = 650;
// Bytes of hints that a host sends in datagrams of their own. Unit: bytes per second.
constexpr std::int64_t hint_bytes_per_second = 300;

// A datagram arrived at the packet port.
struct datagram_event
{
    endpoint from;
    std::span<const std::uint8_t> bytes;
};

// A bare IP packet arrived from the fabric, such as from a TUN device.
struct packet_event
{
    std::span<const std::uint8_t> bytes;
};

// Time has moved on. Wanted every `tick_interval`.
struct tick_event
{
};

// A checked configuration has come from the platform or from another host.
struct configuration_event
{
    configuration value;
    std::uint32_t digest = 0;
};

// Hosts were named by the platform, by settings or over a peer link.
struct hosts_event
{
    std::vector<reported_host> hosts;
};

// The host is to leave by plan.
struct leave_event
{
};

using event = std::variant<datagram_event, packet_event, tick_event, configuration_event,
                           hosts_event, leave_event>;

constexpr millis tick_interval{25};

// A datagram to send: `head`, then `body`. The body refers to the event's bytes.
struct outgoing
{
    endpoint to;
    // True for an IP packet to the caller, which has no endpoint of its own.
    bool to_caller = false;
    wire_buffer head;
    std::span<const std::uint8_t> body;
};

// A list of hosts to send over the peer link.
struct outgoing_list
{
    endpoint to;
    host_list list;
};

// What step() wants done. Reused from step to step so that the packet path does not allocate.
struct actions
{
    std::vector<outgoing> datagrams;
    std::vector<outgoing_list> lists;
    // Peer endpoints of hosts that hold a newer configuration than this one.
    std::vector<endpoint> configuration_sources;
    // Changes of state, in words.
    std::vector<std::string> events;
    // A leaving host has nothing left to do.
    bool may_stop = false;
};

// What a core is told once.
struct core_settings
{
    host_info self;
    // Addresses that bare packets may come from in encapsulated form.
    std::set<ip_address> fabric;
    std::uint64_t seed = 1;
};

// Most hints that wait for one host; beyond it the oldest is dropped.
constexpr std::size_t max_waiting_hints = 32;

// Hints that wait for a packet that goes to their receiver.
struct hint_queue
{
    std::vector<hint> waiting;
};

// A batch of records on its way to another keeper.
struct moving_batch
{
    host_id to = host_id::none;
    std::uint32_t number = 0;
    millis sent;
    std::vector<transferred_record> entries;
};

// State of the background visit of the flow table.
struct sweep_state
{
    std::size_t next_segment = 0;
    std::size_t unmoved = 0;
    std::size_t unmoved_before = 1;
    // Whole rounds since the newest view.
    std::uint64_t rounds = 0;
    std::int64_t record_tokens = 0;
    millis tokens_since;
    std::uint32_t next_batch = 1;
    std::vector<moving_batch> moving;
    // The newest view in which every record of this host was found with both keepers; 0 for none.
    std::uint32_t synced_view = 0;
    bool others_settled = false;
};

// One start of another host.
struct host_slot_entry
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
    std::uint64_t revision = 0;
    std::uint32_t digest = 0;
    std::set<ip_address> refused_sources;
    std::unordered_map<std::uint64_t, host_id> host_by_packets;
    std::int64_t search_tokens = searches_per_second;
    millis search_tokens_since;
    // Hosts by slot. A host that was started again has a new slot: it has lost its records.
    std::vector<host_slot_entry> host_slots;
    std::unordered_map<host_id, std::uint16_t> slot_of_host;
    std::size_t reused_host_slots = 0;
    // By host slot.
    std::vector<hint_queue> hint_queues;
    std::int64_t hint_tokens = 0;
    millis hint_tokens_since;
    bool stopping_said = false;
};

// Begins a host that knows nobody and nothing.
void start_core(core_state& state, const core_settings& settings, millis now);

// Takes one event and adds to the actions what is to be done. `now` never falls.
void step(core_state& state, const event& happened, millis now, actions& out);

// Empties the actions for the next step, keeping their memory.
void clear_actions(actions& out);

// True when this host has the revision in force or a newer one.
bool has_configuration(const core_state& state, std::uint64_t revision);

} // namespace briarbarrow

#endif

// Look-ups of where a flow is open, for packets whose tag doesn't show it. They are rare: the
// caller's tag has the form of an opening packet, and this daemon hasn't seen the flow. The packets
// of such a flow are held meanwhile.
//
// The store is asked, where each contested flow is recorded, and other daemons if the store doesn't
// answer. When neither knows the flow as contested, a packet that may be the first of its flow
// follows its tag, since only one backend server has answered. Any other one is dropped: its tag is
// known to be wrong, and a guess would reset an open flow.
#ifndef BRIARBARROW_TAGGED_FLOW_LOOKUPS_HPP
#define BRIARBARROW_TAGGED_FLOW_LOOKUPS_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "spread/contested_flow.hpp"
#include "tagged/flow_memory.hpp"

namespace briarbarrow
{

// Look-ups that are in progress or finished lately, which bounds their rate: made-up packets must
// not load the store. Beyond it packets are treated as if nobody knew their flow.
constexpr std::size_t max_flow_lookups = 400;
// The store's answer takes milliseconds, or a quarter of a second when it is slow. A caller sends a
// packet again after 200 ms and then after 400 ms.
constexpr millis flow_lookup_timeout{400};
// Other daemons answer within a round trip between zones or regions.
constexpr millis peer_lookup_timeout{100};
// A flow that nobody knew is looked up again for packets after this time.
constexpr millis flow_lookup_repeat_interval{200};
// A finished look-up is forgotten after this long.
constexpr millis flow_lookup_retention{2'000};

// What is looked up.
enum class lookup_need : std::uint8_t
{
    // Whether another backend server than that of the tag holds the flow.
    confirmation,
    // Where the flow is open. The tag names a backend server at which it isn't.
    location
};

constexpr std::array<std::string_view, 2> lookup_need_names{"confirmation", "location"};

enum class lookup_stage : std::uint8_t
{
    store_asked,
    peers_asked,
    finished
};

// The look-up of a flow.
struct flow_lookup
{
    lookup_need need = lookup_need::confirmation;
    lookup_stage stage = lookup_stage::store_asked;
    // Sequence number of the packet, or of the opening packet if that is known.
    std::uint32_t sequence = 0;
    millis begun;
    millis stage_since;
};

// A flow that the store is to be asked for.
struct flow_lookup_request
{
    flow_key key;
    lookup_need need = lookup_need::confirmation;
};

// How the store answered.
enum class lookup_outcome : std::uint8_t
{
    recorded,
    not_recorded,
    no_answer
};

constexpr std::array<std::string_view, 3> lookup_outcome_names{"recorded", "not_recorded",
                                                               "no_answer"};

// All look-ups, and the questions that they raise until an adapter takes them.
struct flow_lookups
{
    std::unordered_map<flow_key, flow_lookup, flow_key_hash> flows;
    std::vector<flow_lookup_request> store_requests;
    std::vector<contested_flow> peer_questions;
    // By outcome.
    std::array<std::uint64_t, lookup_outcome_names.size()> outcomes{};
};

// What to do with a packet of a flow in doubt.
enum class lookup_verdict : std::uint8_t
{
    hold,
    // Nobody knows the flow as contested.
    unknown
};

// Begins a look-up, or continues the one in progress.
lookup_verdict look_up(flow_lookups& lookups, const flow_key& key, lookup_need need,
                       std::uint32_t sequence, millis now);

// True while packets of the flow are to be held.
bool is_looked_up(const flow_lookups& lookups, const flow_key& key);

// Handles the store's answer.
void handle_store_lookup(flow_lookups& lookups, const flow_key& key, lookup_outcome outcome,
                         millis now);

// Ends the look-up of a flow that another daemon knows.
void finish_lookup(flow_lookups& lookups, const flow_key& key, millis now);

// Ends look-ups that have lasted too long, and forgets finished ones.
void expire_lookups(flow_lookups& lookups, millis now);

} // namespace briarbarrow

#endif

// Follows all items of a key-value store: reads them once, then waits for changes from that
// revision on. Decides what to ask next and what an answer means; an adapter carries the calls.
//
// A watch that is waiting and one whose connection has gone silent look the same, so a watch asks
// for an answer within `watch_wait` even when nothing changed, and is given up a little later. A
// history that the store has dropped, or an answer that makes no sense, leads to a new reading.
// What is absent is known only at the end of a reading; one that
// breaks off goes on where it was, so that many daemons which start at once before a busy store do
// not read the same pages again and again.
#ifndef BRIARBARROW_FOLLOW_STORE_FOLLOWER_HPP
#define BRIARBARROW_FOLLOW_STORE_FOLLOWER_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"

namespace briarbarrow
{

// Pace and patience of a follower.
struct follower_limits
{
    // Longest silence that a live watch may show. A third of the three seconds within which a
    // drain or a configuration has to be in force.
    millis watch_wait{1'000};
    // What the store may take beyond that; it may be slow by 60 times its usual 4 ms.
    millis watch_slack{600};
    // What a reading may take.
    millis read_timeout{1'000};
    // Changes within this span are fetched by one call; each call has its price.
    millis watch_batch_delay{100};
    // Pause after a failed call, and its bound; doubled each time.
    millis first_retry_delay{50};
    millis max_retry_delay{400};
};

// An item of the store, or the deletion of one.
struct store_item
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool is_deleted = false;
};

enum class store_outcome : std::uint8_t
{
    answered,
    // The store has dropped the history that was asked for.
    history_compacted,
    // The store refused for now.
    refused,
    // No answer in time, or the connection broke.
    unreachable,
    // An answer that can't be read.
    malformed
};

constexpr std::array<std::string_view, 5> store_outcome_names{"answered", "history_gone", "refused",
                                                              "unreachable", "garbled"};

// The answer to a reading or a watch.
struct store_response
{
    store_outcome outcome = store_outcome::unreachable;
    std::vector<store_item> items;
    // Revision of the store when it answered.
    std::uint64_t store_revision = 0;
    // A reading has further items.
    bool has_more = false;
};

enum class store_call_kind : std::uint8_t
{
    read,
    watch
};

// A call to make.
struct store_call
{
    store_call_kind kind = store_call_kind::read;
    // A reading begins behind this key.
    std::string after_key;
    // A watch begins behind this revision.
    std::uint64_t after_revision = 0;
    // How long the store may hold a watch.
    millis wait;
    // How long to wait for the answer.
    millis timeout;
};

// What the follower has learned from an answer.
struct store_updates
{
    std::vector<store_item> changes;
    // All keys that are there, in order, at the end of a reading.
    std::optional<std::set<std::string>> listed;
    // All items are known as of now, up to this revision.
    bool is_complete = false;
    std::uint64_t revision = 0;
};

// State of a follower.
struct store_follower
{
    follower_limits limits;
    bool is_reading = true;
    bool is_calling = false;
    millis next_call;
    std::uint32_t failures = 0;
    std::string read_after;
    // Revision of a reading's first page: pages are no snapshot, so changes are asked for from
    // there.
    std::uint64_t read_revision = 0;
    std::uint64_t watched_revision = 0;
    // Watches from this revision on or before have no history any more.
    std::uint64_t unwatchable_revision = 0;
    std::set<std::string> read_keys;
};

// Everything up to this revision was learned elsewhere: a watch can begin there, unless the store
// has lost the history that it would need.
void skip_read(store_follower& follower, std::uint64_t revision);

// The next call, when one is due and none is under way.
std::optional<store_call> next_store_call(store_follower& follower, millis now);

// Takes the answer to the call under way.
void handle_store_response(store_follower& follower, const store_response& response, millis now,
                           store_updates& updates);

} // namespace briarbarrow

#endif

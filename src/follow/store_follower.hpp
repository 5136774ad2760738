// Follows all items of a key-value store: reads them once, page by page, then watches for changes
// from that position on. Decides the next call and interprets its response; an adapter makes the
// calls.
//
// An idle watch and one on a dead connection look the same, so a watch asks for a response within
// `watch_wait` even when nothing changed, and times out `watch_slack` later. A response that has
// begun is received for as long as it makes progress (transfer_progress.hpp). The response to a
// watch holds each change since its position, also those that later ones replaced. If it is larger
// than the list, the list is read instead.
//
// When the store has compacted the history that a watch needs, or has come back from an older copy,
// all items are read again. The items of a read are passed on together at its end, when it is known
// which items no longer exist. A read that is interrupted continues where it stopped, so that many
// daemons that start at once on a busy store do not read the same pages again and again.
//
// A daemon that has no list yet can use what a read has brought so far, which is reported as early
// items. Only a list of several pages takes long: its second page starts at a key of the daemon's
// own, and the read goes on from there to the end and then up to there, so that daemons which start
// together begin with different items.
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
#include "follow/store_position.hpp"
#include "follow/transfer_progress.hpp"

namespace briarbarrow
{

// Timeouts and delays of a follower.
struct follower_limits
{
    // Time that the store may hold a watch without changes. A third of the three seconds within
    // which a drain or a configuration has to take effect.
    millis watch_wait{1'000};
    // Time allowed for the response beyond that. The store may be 60 times slower than its usual
    // 4 ms.
    millis watch_slack{600};
    // Time until the response to a call that reads a page begins.
    millis read_timeout{1'000};
    // A response that has begun makes progress in each interval of this length.
    millis progress_interval{1'000};
    // Largest value in the store, and the size from which on a page has no further items. Unit:
    // bytes.
    std::size_t max_value_bytes = 1'048'576;
    std::size_t page_bytes = 1'048'576;
    // Delay of the next watch after changes, so that one call fetches the changes of that time:
    // each call is priced.
    millis watch_batch_delay{100};
    // Exponential backoff after failed calls: doubled each time, up to the maximum.
    millis first_retry_delay{50};
    millis max_retry_delay{400};
};

// An item of the store, or the deletion of one.
struct store_item
{
    std::string key;
    std::string value;
    // Position of its latest change. In a response only the revision is set.
    store_position position;
    bool is_deleted = false;
};

// Outcome of a store call.
enum class store_outcome : std::uint8_t
{
    answered,
    // The store has compacted the history that the watch needs.
    history_compacted,
    // The store rejected the call for now.
    refused,
    // No response in time, or the connection broke.
    unreachable,
    // The response can't be decoded.
    malformed,
    // The response is larger than the call allows.
    too_large
};

// Label values of the metric store_calls_total.
constexpr std::array<std::string_view, 6> store_outcome_names{
    "answered", "history_gone", "refused", "unreachable", "garbled", "too_large"};

// The response to a read or a watch.
struct store_response
{
    store_outcome outcome = store_outcome::unreachable;
    std::vector<store_item> items;
    // Revision of the store when it responded.
    std::uint64_t store_revision = 0;
    // One higher each time that the store comes back from an older copy; unknown when it did not
    // say.
    std::optional<std::uint64_t> store_era;
    // A read has further pages, which start after this key.
    bool has_more = false;
    std::string last_key;
    // When the response began to arrive, if it took a while from then on.
    std::optional<millis> begun;
};

enum class store_call_kind : std::uint8_t
{
    read,
    watch
};

// The order in which a list of several pages is read.
struct read_order
{
    // Items with this prefix come before all others, and are used early from the first page on.
    std::string common_prefix;
    // Key after which the second page starts.
    std::string start_key;
};

enum class read_phase : std::uint8_t
{
    first_page,
    // From the start key to the end.
    tail,
    // From the end of the first page up to the start key.
    head
};

// A call to the store.
struct store_call
{
    store_call_kind kind = store_call_kind::read;
    // A read returns the items after this key.
    std::string after_key;
    // A watch returns the changes after this revision.
    std::uint64_t after_revision = 0;
    // How long the store may hold a watch without changes.
    millis wait;
    // How long to wait for the response, and how large it may be.
    transfer_limits limits;
};

// Updates from one response.
struct store_updates
{
    std::vector<store_item> changes;
    // Items of a read that is not finished. Some of them may be gone by its end.
    std::vector<store_item> early_items;
    // All current keys, at the end of a read.
    std::optional<std::set<std::string>> listed;
    // The follower has every change up to `position`, as of the begin of the response.
    bool is_complete = false;
    store_position position;
    millis as_of;
};

// State of a follower.
struct store_follower
{
    follower_limits limits;
    bool is_reading = true;
    bool is_calling = false;
    // The latest era that is known.
    std::uint64_t era = 0;
    millis next_call;
    std::uint32_t failures = 0;
    // The next watch doesn't wait for changes.
    bool wants_prompt_response = false;
    // Size of all current items as responses hold them. Unit: bytes.
    std::size_t list_bytes = 0;
    read_order order;
    read_phase phase = read_phase::first_page;
    // Where the next page starts, and where the first one ended.
    std::string read_after_key;
    std::string first_page_end;
    // Position of the first page of a read, once there is one. The pages are not a snapshot, so the
    // watch starts from there.
    std::optional<store_position> read_position;
    // Every change up to this position has been received.
    store_position watched_position;
    // The store has no history for watches that start at this position or earlier.
    store_position unwatchable_position;
    std::vector<store_item> read_items;
    std::size_t first_page_items = 0;
    // Items to report early once they are enough: half a page.
    std::vector<store_item> unreported_items;
};

// Size of items in responses, which encode bytes as text. `item_bytes` is that of all keys and
// values. Unit: bytes.
std::size_t encoded_size(std::size_t item_bytes, std::size_t items);

// Starts watching at a position up to which another daemon has supplied all changes, without a read
// of its own. Does nothing if the store no longer has the history for that.
void skip_read(store_follower& follower, const store_position& position);

// Makes the next watch return at once, to find out whether the list is up to date.
void request_prompt_response(store_follower& follower);

// Returns the next call if one is due and none is in progress.
std::optional<store_call> next_store_call(store_follower& follower, millis now);

// Processes the response to the call in progress.
void handle_store_response(store_follower& follower, const store_response& response, millis now,
                           store_updates& updates);

} // namespace briarbarrow

#endif

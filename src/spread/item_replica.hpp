// A daemon's replica of the items in the store, from which other daemons can request the changes
// since a position. Deleted items leave tombstones for a while; a requester whose position is older
// than the oldest tombstone gets the complete list.
//
// A replica may hold items beyond the position that it has reached: those of late pages of a read,
// or of a list that it is receiving. They are passed on, but they don't advance a requester's
// position, since changes before them may still be missing.
//
// A response fits a datagram, except that changes of one position stay together. An item that does
// not fit is sent in chunks; a request carries the position and the offset reached.
#ifndef BRIARBARROW_SPREAD_ITEM_REPLICA_HPP
#define BRIARBARROW_SPREAD_ITEM_REPLICA_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"
#include "follow/store_follower.hpp"
#include "follow/store_position.hpp"

namespace briarbarrow
{

// Maximum bytes of items in one response: the size of a datagram less its headers.
constexpr std::size_t max_response_bytes = 1'100;
// Maximum number of tombstones kept; the oldest are dropped first.
constexpr std::size_t max_tombstones = 4'000;

// Progress of a requester: it has everything up to `position`; beyond it, what its source held up
// to `ahead_position`; and the first `partial_bytes` of the item that was changed at
// `partial_position`. The latter are kept when the requester starts again or changes its source.
struct change_cursor
{
    store_position position;
    store_position ahead_position;
    store_position partial_position;
    std::uint64_t partial_bytes = 0;

    friend bool operator==(const change_cursor&, const change_cursor&) = default;
};

// A complete item, a chunk of one, or a deletion.
struct item_chunk
{
    std::string key;
    store_position position;
    bool is_deleted = false;
    // Position of `bytes` in the value.
    std::uint64_t offset = 0;
    // Size of the complete value.
    std::uint64_t value_bytes = 0;
    std::string bytes;

    friend bool operator==(const item_chunk&, const item_chunk&) = default;
};

// Requests the changes since a cursor.
struct change_request
{
    std::uint64_t number = 0;
    change_cursor cursor;

    friend bool operator==(const change_request&, const change_request&) = default;
};

// Response to a change request.
struct change_response
{
    // Number of the request.
    std::uint64_t number = 0;
    // The responder has a complete list, `list_age` old.
    bool has_list = false;
    millis list_age;
    // Tombstones before this position are gone: a requester behind it has to start again from 0.
    store_position oldest_position;
    // With this response applied, the requester has everything up to this position, and beyond it
    // what the responder holds up to `ahead_position`.
    store_position position;
    store_position ahead_position;
    // The responder has later changes, or the last item continues in the next response.
    bool has_more = false;
    std::vector<item_chunk> items;

    friend bool operator==(const change_response&, const change_response&) = default;
};

// A current item.
struct replica_item
{
    std::string value;
    store_position position;
};

// The deletion of an item.
struct tombstone
{
    std::string key;
    store_position position;
};

// All items and the latest deletions.
struct item_replica
{
    std::map<std::string, replica_item> items;
    // Keys by the position of their latest change.
    std::multimap<store_position, std::string> by_position;
    // Size of all keys and values. Unit: bytes.
    std::size_t item_bytes = 0;
    // Ordered by position.
    std::deque<tombstone> tombstones;
    // Every change up to this position is applied.
    store_position position;
    // Deletions before this position have no tombstones.
    store_position oldest_position;
    // The list is complete, as of `confirmed_at`.
    bool has_list = false;
    millis confirmed_at;
};

// What applying a change did.
enum class change_effect : std::uint8_t
{
    applied,
    // The replica holds this change of the item, or has no item to delete.
    already_known,
    // The replica holds a later change of the item, or has deleted it since.
    outdated,
    // The replica holds another value at the same position.
    conflicting
};

constexpr std::array<std::string_view, 4> change_effect_names{"applied", "already_known",
                                                              "outdated", "conflicting"};

// Applies a change unless the replica already has this one or a later one of the same item.
change_effect apply_change(item_replica& replica, const store_item& change);

// Removes the items that a complete list as of a position does not hold, and returns their keys.
// They leave no tombstones, since their deletions' positions are unknown, so a requester behind the
// position has to get the complete list.
std::vector<std::string> remove_unlisted(item_replica& replica, const std::set<std::string>& listed,
                                         const store_position& position);

// Records that every change up to the position is applied, as of `confirmed_at`.
void confirm_replica(item_replica& replica, const store_position& position, millis confirmed_at);

// Makes the response to a change request.
change_response make_change_response(const item_replica& replica, const change_request& request,
                                     millis now);

// State of a daemon that requests changes.
struct change_requester
{
    change_cursor cursor;
    // The chunks received so far of the item at the cursor's partial position, and its key.
    std::string partial_key;
    std::string partial_value;
    // Number of the latest request; raised once its response is accepted.
    std::uint64_t number = 0;
    // A complete list is being received: its changes so far, and the responder's `oldest_position`.
    bool is_listing = true;
    std::vector<store_item> list;
    std::optional<store_position> oldest_position;
};

// Updates from one response. A complete list is passed on together, at its end.
struct response_updates
{
    std::vector<store_item> changes;
    // All current keys, at the end of a complete list.
    std::optional<std::set<std::string>> listed;
    // Everything up to `position` has been received; it was current `list_age` ago.
    bool is_complete = false;
    store_position position;
    millis list_age;
    // The next request should follow at once.
    bool needs_request = false;
};

// Resets the requester to what a replica already holds.
void start_requests(change_requester& requester, const item_replica& replica);

// Moves the requester behind the changes that the replica got from elsewhere, unless a complete
// list is being received.
void skip_known_changes(change_requester& requester, const item_replica& replica);

// Makes the next request.
change_request next_change_request(change_requester& requester);

// Returns the updates of a response, or nothing when it does not match the outstanding request or
// its sender has no complete list.
std::optional<response_updates> apply_change_response(change_requester& requester,
                                                      const change_response& response);

} // namespace briarbarrow

#endif

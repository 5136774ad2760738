// The items of the store as a daemon knows them, kept so that other daemons can ask for what has
// changed since a revision. Deleted items leave a mark for a while; who asks for older changes than
// the marks reach back is given everything.
//
// Answers fit a datagram, but for changes of one revision, which stay together. An item that does
// not fit is told in parts; a question names the revision and the part that it has come to.
#ifndef BRIARBARROW_SPREAD_ITEM_REPLICA_HPP
#define BRIARBARROW_SPREAD_ITEM_REPLICA_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "follow/store_follower.hpp"

namespace briarbarrow
{

// Room for items in one answer, with the header of a datagram taken off. Unit: bytes.
constexpr std::size_t max_response_bytes = 1'100;
// Marks of deletions that are kept.
constexpr std::size_t max_tombstones = 4'000;

// Where a question has come to: everything up to `revision` is known, and of the next item so many
// bytes.
struct change_cursor
{
    std::uint64_t revision = 0;
    std::uint64_t partial_revision = 0;
    std::uint64_t partial_bytes = 0;

    friend bool operator==(const change_cursor&, const change_cursor&) = default;
};

// An item or a part of one.
struct item_chunk
{
    std::string key;
    std::uint64_t revision = 0;
    bool is_deleted = false;
    std::uint64_t offset = 0;
    std::uint64_t value_bytes = 0;
    std::string bytes;

    friend bool operator==(const item_chunk&, const item_chunk&) = default;
};

// Question for changes.
struct change_request
{
    std::uint64_t number = 0;
    change_cursor cursor;

    friend bool operator==(const change_request&, const change_request&) = default;
};

// Answer to it.
struct change_response
{
    std::uint64_t number = 0;
    // The daemon that answers has a whole list, which is so old.
    bool has_list = false;
    millis list_age;
    // Changes before this revision can't be told one by one: the question has to begin at 0.
    std::uint64_t oldest_revision = 0;
    // Everything up to this revision has been told with this answer, unless there is more.
    std::uint64_t revision = 0;
    bool has_more = false;
    std::vector<item_chunk> items;

    friend bool operator==(const change_response&, const change_response&) = default;
};

// An item that is there.
struct replica_item
{
    std::string value;
    std::uint64_t revision = 0;
};

struct tombstone
{
    std::string key;
    std::uint64_t revision = 0;
};

// All items.
struct item_replica
{
    std::map<std::string, replica_item> items;
    // Keys by the revision of their newest change.
    std::multimap<std::uint64_t, std::string> by_revision;
    std::deque<tombstone> tombstones;
    // Revision up to which everything is known.
    std::uint64_t revision = 0;
    // Deletions before this one have no marks.
    std::uint64_t oldest_revision = 0;
    bool has_list = false;
    millis confirmed_at;
};

// Takes a change. False when it is no news, such as an old one of an item that was deleted since.
bool apply_change(item_replica& replica, const store_item& change);

// Only these keys were there at a revision. Returns what was dropped; who asks for changes before
// the revision has to be told everything, as no marks say when the dropped ones went.
std::vector<std::string> remove_unlisted(item_replica& replica, const std::set<std::string>& listed,
                                         std::uint64_t revision);

// Everything up to the revision is known, as of a moment.
void confirm_replica(item_replica& replica, std::uint64_t revision, millis confirmed_at);

// Answers a question for changes.
change_response make_change_response(const item_replica& replica, const change_request& request,
                                     millis now);

// An asker's own state.
struct change_requester
{
    change_cursor cursor;
    std::string partial_value;
    std::uint64_t number = 0;
    // A whole list is being told; keys seen so far, and what the teller said of its marks.
    bool is_listing = true;
    std::set<std::string> listed;
    std::optional<std::uint64_t> oldest_revision;
};

// What an asker learned.
struct response_updates
{
    std::vector<store_item> changes;
    // All keys that are there, at the end of a whole list.
    std::optional<std::set<std::string>> listed;
    // Everything up to `revision` is known, as of `list_age` ago.
    bool is_complete = false;
    std::uint64_t revision = 0;
    millis list_age;
    // The next question should follow at once.
    bool needs_request = false;
};

// Begins to ask from what a replica holds.
void start_requests(change_requester& requester, const item_replica& replica);

// The next question.
change_request next_change_request(change_requester& requester);

// Takes an answer. Nothing for one that was not asked for.
std::optional<response_updates> apply_change_response(change_requester& requester,
                                                      const change_response& response);

} // namespace briarbarrow

#endif

#include "spread/item_replica.hpp"

#include <algorithm>

namespace briarbarrow
{

namespace
{

// Bytes that an item takes in a response beside its key and value.
constexpr std::size_t item_overhead_bytes = 32;

// Removes a key from the index by position.
void unlink_position(item_replica& replica, const store_position& position, const std::string& key)
{
    const auto [begin, end] = replica.by_position.equal_range(position);
    for (auto entry = begin; entry != end; ++entry)
    {
        if (entry->second == key)
        {
            replica.by_position.erase(entry);
            return;
        }
    }
}

void add_tombstone(item_replica& replica, const std::string& key, const store_position& position)
{
    const auto place =
        std::lower_bound(replica.tombstones.begin(), replica.tombstones.end(), position,
                         [](const tombstone& deleted, const store_position& wanted)
                         { return deleted.position < wanted; });
    for (auto same = place; same != replica.tombstones.end() && same->position == position; ++same)
    {
        if (same->key == key)
        {
            return;
        }
    }
    replica.tombstones.insert(place, tombstone{key, position});
    while (replica.tombstones.size() > max_tombstones)
    {
        replica.oldest_position =
            std::max(replica.oldest_position, replica.tombstones.front().position);
        replica.tombstones.pop_front();
    }
}

// Iterates over items and tombstones in the order of their positions, starting after one.
struct change_iterator
{
    const item_replica& replica;
    std::multimap<store_position, std::string>::const_iterator item;
    std::deque<tombstone>::const_iterator deletion;

    change_iterator(const item_replica& replica, const store_position& after)
        : replica(replica), item(replica.by_position.upper_bound(after)),
          deletion(std::upper_bound(replica.tombstones.begin(), replica.tombstones.end(), after,
                                    [](const store_position& wanted, const tombstone& deleted)
                                    { return wanted < deleted.position; }))
    {
    }

    bool is_done() const
    {
        return this->item == this->replica.by_position.end() &&
               this->deletion == this->replica.tombstones.end();
    }

    bool is_deletion_next() const
    {
        return this->deletion != this->replica.tombstones.end() &&
               (this->item == this->replica.by_position.end() ||
                this->deletion->position <= this->item->first);
    }

    store_position position() const
    {
        return this->is_deletion_next() ? this->deletion->position : this->item->first;
    }

    std::string key() const
    {
        return this->is_deletion_next() ? this->deletion->key : this->item->second;
    }

    void advance()
    {
        if (this->is_deletion_next())
        {
            ++this->deletion;
            return;
        }
        ++this->item;
    }
};

item_chunk make_chunk(const change_iterator& change, std::uint64_t offset, std::size_t capacity)
{
    item_chunk chunk;
    chunk.key = change.key();
    chunk.position = change.position();
    chunk.is_deleted = change.is_deletion_next();
    if (chunk.is_deleted)
    {
        return chunk;
    }
    const std::string& value = change.replica.items.at(chunk.key).value;
    chunk.value_bytes = value.size();
    chunk.offset = std::min<std::uint64_t>(offset, value.size());
    chunk.bytes = value.substr(chunk.offset, capacity);
    return chunk;
}

bool is_last_chunk(const item_chunk& chunk)
{
    return chunk.offset + chunk.bytes.size() >= chunk.value_bytes;
}

void discard_partial(change_requester& requester)
{
    requester.partial_key.clear();
    requester.partial_value.clear();
    requester.cursor.partial_position = {};
    requester.cursor.partial_bytes = 0;
}

// True when the responder's tombstones no longer cover the requester's cursor, or when they were
// trimmed while a complete list was being received.
bool must_restart(const change_requester& requester, const change_response& response)
{
    if (requester.is_listing)
    {
        return requester.oldest_position && *requester.oldest_position != response.oldest_position;
    }
    return requester.cursor.position < response.oldest_position;
}

// True when a chunk starts an item or continues the partial value.
bool continues_partial(const change_requester& requester, const item_chunk& chunk)
{
    return chunk.offset == 0 || (chunk.offset == requester.partial_value.size() &&
                                 chunk.position == requester.cursor.partial_position &&
                                 chunk.key == requester.partial_key);
}

// Adds a chunk. Returns the item once it is complete. A complete item leaves the partial value of
// another item as it is, since that one may still come.
std::optional<store_item> add_chunk(change_requester& requester, const item_chunk& chunk)
{
    const bool is_whole = chunk.offset == 0 && (chunk.is_deleted || is_last_chunk(chunk));
    if (is_whole)
    {
        if (chunk.key == requester.partial_key)
        {
            discard_partial(requester);
        }
        return store_item{chunk.key, chunk.bytes, chunk.position, chunk.is_deleted};
    }
    if (chunk.offset == 0)
    {
        discard_partial(requester);
    }
    requester.partial_key = chunk.key;
    requester.partial_value += chunk.bytes;
    if (!is_last_chunk(chunk))
    {
        requester.cursor.partial_position = chunk.position;
        requester.cursor.partial_bytes = requester.partial_value.size();
        return std::nullopt;
    }
    store_item change{chunk.key, std::move(requester.partial_value), chunk.position, false};
    discard_partial(requester);
    return change;
}

// Starts again from a position. The partial value stays, as its position names the same bytes at
// every source.
void restart(change_requester& requester, const store_position& position, bool is_listing)
{
    change_requester restarted;
    restarted.number = requester.number;
    restarted.cursor.position = position;
    restarted.cursor.partial_position = requester.cursor.partial_position;
    restarted.cursor.partial_bytes = requester.cursor.partial_bytes;
    restarted.partial_key = std::move(requester.partial_key);
    restarted.partial_value = std::move(requester.partial_value);
    restarted.is_listing = is_listing;
    requester = std::move(restarted);
}

void finish_list(change_requester& requester, response_updates& updates)
{
    updates.listed.emplace();
    for (const store_item& change : requester.list)
    {
        if (!change.is_deleted)
        {
            updates.listed->insert(change.key);
        }
    }
    updates.changes = std::move(requester.list);
    requester.list.clear();
    requester.is_listing = false;
}

} // namespace

change_effect apply_change(item_replica& replica, const store_item& change)
{
    const auto found = replica.items.find(change.key);
    if (found == replica.items.end() && change.is_deleted)
    {
        // A requester may hold an item that this replica never held.
        if (change.position > replica.position)
        {
            add_tombstone(replica, change.key, change.position);
        }
        return change_effect::already_known;
    }
    if (found == replica.items.end() && replica.has_list && change.position <= replica.position)
    {
        return change_effect::outdated;
    }
    if (found != replica.items.end())
    {
        if (change.position < found->second.position)
        {
            return change_effect::outdated;
        }
        if (change.position == found->second.position)
        {
            return !change.is_deleted && change.value == found->second.value
                       ? change_effect::already_known
                       : change_effect::conflicting;
        }
        unlink_position(replica, found->second.position, change.key);
    }
    if (change.is_deleted)
    {
        replica.item_bytes -= change.key.size() + found->second.value.size();
        replica.items.erase(change.key);
        add_tombstone(replica, change.key, change.position);
        return change_effect::applied;
    }
    if (found != replica.items.end())
    {
        replica.item_bytes -= change.key.size() + found->second.value.size();
    }
    replica.item_bytes += change.key.size() + change.value.size();
    replica.items[change.key] = replica_item{change.value, change.position};
    replica.by_position.emplace(change.position, change.key);
    return change_effect::applied;
}

std::vector<std::string> remove_unlisted(item_replica& replica, const std::set<std::string>& listed,
                                         const store_position& position)
{
    std::vector<std::string> removed;
    for (const auto& [key, item] : replica.items)
    {
        if (listed.count(key) == 0 && item.position <= position)
        {
            removed.push_back(key);
        }
    }
    for (const std::string& key : removed)
    {
        const replica_item& item = replica.items[key];
        replica.item_bytes -= key.size() + item.value.size();
        unlink_position(replica, item.position, key);
        replica.items.erase(key);
    }
    // What the list lacks may have been an item at a requester, though not here.
    if (!removed.empty() || position > replica.position)
    {
        replica.oldest_position = std::max(replica.oldest_position, position);
    }
    return removed;
}

void confirm_replica(item_replica& replica, const store_position& position, millis confirmed_at)
{
    if (!replica.has_list)
    {
        replica.oldest_position = std::max(replica.oldest_position, position);
    }
    replica.has_list = true;
    replica.position = std::max(replica.position, position);
    replica.confirmed_at = std::max(replica.confirmed_at, confirmed_at);
}

change_response make_change_response(const item_replica& replica, const change_request& request,
                                     millis now)
{
    change_response response;
    response.number = request.number;
    response.has_list = replica.has_list;
    response.list_age = now - replica.confirmed_at;
    response.oldest_position = replica.oldest_position;
    const change_cursor& cursor = request.cursor;
    response.position = cursor.position;
    // Once this replica has reached a later position than the requester, changes before the items
    // that were sent ahead may have come.
    const bool continues_ahead =
        replica.position <= cursor.position && cursor.position < cursor.ahead_position;
    response.ahead_position = continues_ahead ? cursor.ahead_position : store_position{};
    std::size_t used_bytes = 0;
    for (change_iterator change(replica, continues_ahead ? cursor.ahead_position : cursor.position);
         !change.is_done(); change.advance())
    {
        const bool is_first = response.items.empty();
        const bool is_confirmed = change.position() <= replica.position;
        if (!is_confirmed)
        {
            // All changes up to this position precede it.
            response.position = std::max(response.position, replica.position);
        }
        const bool stays_together =
            !is_first && change.position() == response.items.back().position;
        const bool is_continuation = is_first && change.position() == cursor.partial_position;
        const std::size_t overhead_bytes = change.key().size() + item_overhead_bytes;
        item_chunk chunk =
            make_chunk(change, is_continuation ? cursor.partial_bytes : 0,
                       is_first ? max_response_bytes - std::min(max_response_bytes, overhead_bytes)
                                : std::string::npos);
        used_bytes += overhead_bytes + chunk.bytes.size();
        if (!is_first && !stays_together && used_bytes > max_response_bytes)
        {
            response.has_more = true;
            return response;
        }
        const bool ends_value = is_last_chunk(chunk);
        response.items.push_back(std::move(chunk));
        if (!ends_value)
        {
            response.has_more = true;
            return response;
        }
        (is_confirmed ? response.position : response.ahead_position) = change.position();
    }
    response.position = std::max(response.position, replica.position);
    return response;
}

void start_requests(change_requester& requester, const item_replica& replica)
{
    restart(requester, replica.has_list ? replica.position : store_position{}, !replica.has_list);
}

void skip_known_changes(change_requester& requester, const item_replica& replica)
{
    if (requester.is_listing || replica.position <= requester.cursor.position)
    {
        return;
    }
    requester.cursor.position = replica.position;
    if (requester.cursor.partial_position <= replica.position)
    {
        discard_partial(requester);
    }
}

change_request next_change_request(change_requester& requester)
{
    ++requester.number;
    return change_request{requester.number, requester.cursor};
}

std::optional<response_updates> apply_change_response(change_requester& requester,
                                                      const change_response& response)
{
    if (response.number != requester.number || !response.has_list)
    {
        return std::nullopt;
    }
    // A duplicate of this response no longer matches.
    ++requester.number;
    response_updates updates;
    if (must_restart(requester, response))
    {
        restart(requester, {}, true);
        updates.needs_request = true;
        return updates;
    }
    requester.oldest_position = response.oldest_position;
    for (const item_chunk& chunk : response.items)
    {
        if (!continues_partial(requester, chunk))
        {
            // The cursor stays, so the changes in this response are requested again.
            discard_partial(requester);
            updates.needs_request = true;
            return updates;
        }
        std::optional<store_item> change = add_chunk(requester, chunk);
        if (!change)
        {
            break;
        }
        std::vector<store_item>& received = requester.is_listing ? requester.list : updates.changes;
        received.push_back(std::move(*change));
    }
    requester.cursor.position = std::max(requester.cursor.position, response.position);
    requester.cursor.ahead_position = response.ahead_position;
    updates.needs_request = response.has_more;
    updates.is_complete = !response.has_more;
    updates.position = response.position;
    updates.list_age = response.list_age;
    if (updates.is_complete && requester.is_listing)
    {
        finish_list(requester, updates);
    }
    return updates;
}

} // namespace briarbarrow

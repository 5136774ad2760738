#include "follow/store_follower.hpp"

#include <algorithm>

namespace briarbarrow
{

namespace
{

// Items on a page: about 500.
constexpr std::size_t max_page_items = 1'000;
// Names and punctuation of an item's fields, and its numbers.
constexpr std::size_t item_field_bytes = 160;
// Base64 encodes three bytes as four.
constexpr std::size_t encoded_bytes = 4;
constexpr std::size_t plain_bytes = 3;

// A page ends with the item that exceeds its size. Its size is given as an approximate one, so
// double is accepted.
std::size_t max_page_size(const follower_limits& limits)
{
    return 2 * encoded_size(limits.page_bytes + limits.max_value_bytes, max_page_items);
}

void start_read(store_follower& follower)
{
    follower.is_reading = true;
    follower.phase = read_phase::first_page;
    follower.read_after_key.clear();
    follower.read_items.clear();
    follower.unreported_items.clear();
    follower.read_position.reset();
}

void schedule_retry(store_follower& follower, millis now)
{
    const std::int64_t doublings = std::min<std::int64_t>(follower.failures, 8);
    const millis delay = follower.limits.first_retry_delay * (std::int64_t{1} << doublings);
    follower.next_call = now + std::min(delay, follower.limits.max_retry_delay);
    ++follower.failures;
}

// Everything is read again, since no watch can continue from the position reached so far.
void handle_lost_history(store_follower& follower, millis now)
{
    follower.unwatchable_position =
        std::max(follower.unwatchable_position, follower.watched_position);
    start_read(follower);
    follower.next_call = now;
}

void finish_read(store_follower& follower, store_updates& updates)
{
    updates.listed.emplace();
    for (const store_item& item : follower.read_items)
    {
        updates.listed->insert(item.key);
    }
    updates.changes = std::move(follower.read_items);
    follower.read_items.clear();
    follower.unreported_items.clear();
    follower.is_reading = false;
    follower.watched_position = *follower.read_position;
    updates.is_complete = true;
    updates.position = *follower.read_position;
}

void append_items(const store_follower& follower, const store_response& response,
                  std::vector<store_item>& items)
{
    for (const store_item& item : response.items)
    {
        items.push_back(item);
        items.back().position.era = follower.era;
    }
}

// Moves on behind a page. Returns false after the last one.
bool advance_read(store_follower& follower, const store_response& response)
{
    const bool has_more = response.has_more && !response.last_key.empty();
    const std::string& start_key = follower.order.start_key;
    switch (follower.phase)
    {
    case read_phase::first_page:
        follower.phase = read_phase::tail;
        follower.first_page_end = response.last_key;
        follower.read_after_key = std::max(response.last_key, start_key);
        return has_more;
    case read_phase::tail:
        if (has_more)
        {
            follower.read_after_key = response.last_key;
            return true;
        }
        follower.phase = read_phase::head;
        follower.read_after_key = follower.first_page_end;
        return follower.first_page_end < start_key;
    case read_phase::head:
        follower.read_after_key = response.last_key;
        return has_more && response.last_key < start_key;
    }
    return false;
}

// Reports the items that can be used before the end of the read: those that all daemons need, and
// then about a page of others after the start key, and more with each further page.
void report_early_items(store_follower& follower, std::size_t page_begin, read_phase page_phase,
                        store_updates& updates)
{
    const std::vector<store_item>& items = follower.read_items;
    std::vector<store_item>& unreported = follower.unreported_items;
    if (page_phase == read_phase::first_page)
    {
        follower.first_page_items = items.size();
        for (const store_item& item : items)
        {
            if (item.key.starts_with(follower.order.common_prefix))
            {
                updates.early_items.push_back(item);
            }
            else if (item.key > follower.order.start_key)
            {
                unreported.push_back(item);
            }
        }
    }
    else
    {
        unreported.insert(unreported.end(), items.begin() + static_cast<std::ptrdiff_t>(page_begin),
                          items.end());
    }
    // After the last key the first page follows.
    const bool has_wrapped = page_phase == read_phase::tail && follower.phase == read_phase::head;
    for (std::size_t i = 0; has_wrapped && unreported.size() < follower.first_page_items &&
                            i < follower.first_page_items;
         ++i)
    {
        unreported.push_back(items[i]);
    }
    if (unreported.size() >= follower.first_page_items / 2)
    {
        updates.early_items.insert(updates.early_items.end(), unreported.begin(), unreported.end());
        unreported.clear();
    }
}

void apply_page(store_follower& follower, const store_response& response, store_updates& updates)
{
    if (!follower.read_position)
    {
        follower.read_position = {follower.era, response.store_revision};
    }
    const std::size_t page_begin = follower.read_items.size();
    append_items(follower, response, follower.read_items);
    const read_phase page_phase = follower.phase;
    if (!advance_read(follower, response))
    {
        finish_read(follower, updates);
        return;
    }
    report_early_items(follower, page_begin, page_phase, updates);
}

void apply_events(store_follower& follower, const store_response& response, store_updates& updates)
{
    append_items(follower, response, updates.changes);
    follower.watched_position =
        std::max(follower.watched_position, {follower.era, response.store_revision});
    updates.is_complete = true;
    updates.position = follower.watched_position;
}

// True when the response continues what the call asked for: the next pages of a read, or the
// changes since a position. After a restore the store holds another history.
bool is_of_same_history(const store_follower& follower)
{
    if (follower.is_reading)
    {
        return !follower.read_position || follower.read_position->era == follower.era;
    }
    return follower.watched_position.era == follower.era;
}

} // namespace

std::size_t encoded_size(std::size_t item_bytes, std::size_t items)
{
    return item_bytes / plain_bytes * encoded_bytes + items * item_field_bytes;
}

void skip_read(store_follower& follower, const store_position& position)
{
    if (follower.is_calling || position <= follower.unwatchable_position ||
        position.era < follower.era)
    {
        return;
    }
    follower.is_reading = false;
    follower.era = position.era;
    follower.watched_position = std::max(follower.watched_position, position);
}

void request_prompt_response(store_follower& follower)
{
    follower.wants_prompt_response = true;
}

std::optional<store_call> next_store_call(store_follower& follower, millis now)
{
    if (follower.is_calling || now < follower.next_call)
    {
        return std::nullopt;
    }
    follower.is_calling = true;
    store_call call;
    if (follower.is_reading)
    {
        call.kind = store_call_kind::read;
        call.after_key = follower.read_after_key;
        call.limits = {follower.limits.read_timeout, follower.limits.progress_interval,
                       max_page_size(follower.limits)};
        return call;
    }
    call.kind = store_call_kind::watch;
    call.after_revision = follower.watched_position.revision;
    call.wait = follower.wants_prompt_response ? millis{} : follower.limits.watch_wait;
    call.limits = {call.wait + follower.limits.watch_slack, follower.limits.progress_interval,
                   std::max(encoded_size(follower.limits.max_value_bytes, max_page_items),
                            follower.list_bytes)};
    follower.wants_prompt_response = false;
    return call;
}

void handle_store_response(store_follower& follower, const store_response& response, millis now,
                           store_updates& updates)
{
    follower.is_calling = false;
    if (response.store_era && *response.store_era < follower.era)
    {
        // Sent before the restore.
        schedule_retry(follower, now);
        return;
    }
    follower.era = response.store_era.value_or(follower.era);
    const bool can_not_watch =
        response.outcome == store_outcome::history_compacted ||
        (response.outcome == store_outcome::too_large && !follower.is_reading);
    if (can_not_watch || !is_of_same_history(follower))
    {
        handle_lost_history(follower, now);
        return;
    }
    // The store has gone back within an era.
    const bool went_back =
        !follower.is_reading && response.store_revision < follower.watched_position.revision;
    if (response.outcome == store_outcome::answered && went_back)
    {
        handle_lost_history(follower, now);
        schedule_retry(follower, now);
        return;
    }
    if (response.outcome != store_outcome::answered)
    {
        schedule_retry(follower, now);
        return;
    }
    follower.failures = 0;
    updates.as_of = response.begun.value_or(now);
    if (follower.is_reading)
    {
        apply_page(follower, response, updates);
        follower.next_call = now;
        return;
    }
    apply_events(follower, response, updates);
    follower.next_call = response.items.empty() ? now : now + follower.limits.watch_batch_delay;
}

} // namespace briarbarrow

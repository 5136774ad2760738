#include "follow/store_follower.hpp"

#include <algorithm>

namespace briarbarrow
{

namespace
{

void start_read(store_follower& follower)
{
    follower.is_reading = true;
    follower.read_after_key.clear();
    follower.read_keys.clear();
    follower.read_revision = 0;
}

void schedule_retry(store_follower& follower, millis now)
{
    const std::int64_t doublings = std::min<std::int64_t>(follower.failures, 8);
    const millis delay = follower.limits.first_retry_delay * (std::int64_t{1} << doublings);
    follower.next_call = now + std::min(delay, follower.limits.max_retry_delay);
    ++follower.failures;
}

void finish_read(store_follower& follower, store_updates& updates)
{
    updates.listed = std::move(follower.read_keys);
    follower.read_keys.clear();
    follower.is_reading = false;
    follower.watched_revision = follower.read_revision;
    updates.is_complete = true;
    updates.revision = follower.read_revision;
}

void apply_page(store_follower& follower, const store_response& response, store_updates& updates)
{
    if (follower.read_after_key.empty())
    {
        follower.read_revision = response.store_revision;
    }
    for (const store_item& item : response.items)
    {
        follower.read_keys.insert(item.key);
        updates.changes.push_back(item);
    }
    if (response.has_more && !response.items.empty())
    {
        follower.read_after_key = response.items.back().key;
        return;
    }
    finish_read(follower, updates);
}

void apply_events(store_follower& follower, const store_response& response, store_updates& updates)
{
    updates.changes = response.items;
    follower.watched_revision = std::max(follower.watched_revision, response.store_revision);
    updates.is_complete = true;
    updates.revision = follower.watched_revision;
}

} // namespace

void skip_read(store_follower& follower, std::uint64_t revision)
{
    if (follower.is_calling || revision <= follower.unwatchable_revision)
    {
        return;
    }
    follower.is_reading = false;
    follower.watched_revision = std::max(follower.watched_revision, revision);
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
        call.timeout = follower.limits.read_timeout;
        return call;
    }
    call.kind = store_call_kind::watch;
    call.after_revision = follower.watched_revision;
    call.wait = follower.limits.watch_wait;
    call.timeout = follower.limits.watch_wait + follower.limits.watch_slack;
    return call;
}

void handle_store_response(store_follower& follower, const store_response& response, millis now,
                           store_updates& updates)
{
    follower.is_calling = false;
    if (response.outcome == store_outcome::history_compacted)
    {
        follower.unwatchable_revision =
            std::max(follower.unwatchable_revision, follower.watched_revision);
        start_read(follower);
        follower.next_call = now;
        return;
    }
    // The store is back at an older revision than it had before.
    const bool went_back =
        !follower.is_reading && response.store_revision < follower.watched_revision;
    if (response.outcome == store_outcome::answered && went_back)
    {
        follower.unwatchable_revision = follower.watched_revision;
        start_read(follower);
        schedule_retry(follower, now);
        return;
    }
    if (response.outcome != store_outcome::answered)
    {
        schedule_retry(follower, now);
        return;
    }
    follower.failures = 0;
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

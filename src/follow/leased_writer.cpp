#include "follow/leased_writer.hpp"

#include <algorithm>

namespace briarbarrow
{

namespace
{

bool has_usable_lease(const leased_writer& writer, millis now)
{
    return writer.lease &&
           (writer.limits.renewal_interval || now < writer.lease_opened + writer.limits.lease_use);
}

// An entry that has waited for the duration of a lease would have ended by now.
void drop_old_entries(leased_writer& writer, millis now)
{
    const bool is_kept = writer.limits.renewal_interval.has_value();
    while (!writer.waiting.empty() && !is_kept &&
           now > writer.waiting.front().since + writer.limits.lease_duration)
    {
        writer.waiting.pop_front();
        ++writer.dropped_total;
    }
}

write_call make_call(const leased_writer& writer, write_kind kind)
{
    write_call call;
    call.kind = kind;
    call.lease = writer.lease.value_or(0);
    call.lease_duration = writer.limits.lease_duration;
    call.timeout = writer.limits.call_timeout;
    return call;
}

write_call make_put(const leased_writer& writer)
{
    write_call call = make_call(writer, write_kind::put);
    const std::size_t count = std::min(writer.waiting.size(), max_entries_per_write);
    for (std::size_t i = 0; i < count; ++i)
    {
        call.entries.push_back(writer.waiting[i].entry);
    }
    return call;
}

void handle_failure(leased_writer& writer, millis now)
{
    constexpr std::uint32_t max_doublings = 16;
    const millis delay{writer.limits.first_retry_delay.count
                       << std::min(writer.failures, max_doublings)};
    ++writer.failures;
    writer.next_call = now + std::min(delay, writer.limits.max_retry_delay);
}

void handle_lost_lease(leased_writer& writer, millis now)
{
    writer.lease.reset();
    if (writer.limits.renewal_interval)
    {
        writer.waiting.clear();
        for (const store_entry& entry : writer.kept)
        {
            writer.waiting.push_back({entry, now});
        }
    }
}

void handle_written(leased_writer& writer, const write_call& call, millis now)
{
    const std::size_t count = std::min(call.entries.size(), writer.waiting.size());
    writer.waiting.erase(writer.waiting.begin(),
                         writer.waiting.begin() + static_cast<std::ptrdiff_t>(count));
    writer.written_total += count;
    writer.next_call =
        now + (writer.waiting.size() >= max_entries_per_write ? writer.limits.full_batch_interval
                                                              : writer.limits.batch_interval);
}

} // namespace

void add_entry(leased_writer& writer, const store_entry& entry, millis now)
{
    if (writer.waiting.empty())
    {
        writer.next_call = std::max(writer.next_call, now + writer.limits.batch_delay);
    }
    writer.waiting.push_back({entry, now});
    if (writer.limits.renewal_interval)
    {
        writer.kept.push_back(entry);
    }
    // The entries of a call in progress come first, and stay until it is answered.
    while (writer.waiting.size() > max_waiting_entries)
    {
        const auto oldest =
            writer.waiting.begin() +
            (writer.is_calling ? static_cast<std::ptrdiff_t>(max_entries_per_write) : 0);
        writer.waiting.erase(oldest);
        ++writer.dropped_total;
    }
}

std::optional<write_call> next_write_call(leased_writer& writer, millis now)
{
    if (writer.is_calling || now < writer.next_call)
    {
        return std::nullopt;
    }
    drop_old_entries(writer, now);
    std::optional<write_call> call;
    const bool has_lease = has_usable_lease(writer, now);
    if (!writer.waiting.empty())
    {
        call = has_lease ? make_put(writer) : make_call(writer, write_kind::open_lease);
    }
    else if (has_lease && writer.limits.renewal_interval &&
             now >= writer.lease_renewed + *writer.limits.renewal_interval)
    {
        call = make_call(writer, write_kind::renew_lease);
    }
    writer.is_calling = call.has_value();
    return call;
}

void handle_write_response(leased_writer& writer, const write_call& call,
                           const write_response& response, millis now)
{
    writer.is_calling = false;
    if (response.is_lease_gone)
    {
        handle_lost_lease(writer, now);
    }
    if (response.outcome != store_outcome::answered)
    {
        handle_failure(writer, now);
        return;
    }
    writer.failures = 0;
    writer.next_call = now;
    switch (call.kind)
    {
    case write_kind::open_lease:
        writer.lease = response.lease;
        writer.lease_opened = now;
        writer.lease_renewed = now;
        break;
    case write_kind::put:
        handle_written(writer, call, now);
        break;
    case write_kind::renew_lease:
        writer.lease_renewed = now;
        break;
    }
}

} // namespace briarbarrow

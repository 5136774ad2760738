// Writes entries into a key-value store that removes them by itself when their lease ends. Decides
// the next call and interprets its response; an adapter makes the calls.
//
// A writer either renews its lease, so that its entries last for as long as its process, or takes a
// new one from time to time, so that each entry lasts for about the duration of a lease. Entries
// are written in batches: each call is priced, and wakes everybody who watches the store.
#ifndef BRIARBARROW_FOLLOW_LEASED_WRITER_HPP
#define BRIARBARROW_FOLLOW_LEASED_WRITER_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"
#include "follow/store_follower.hpp"

namespace briarbarrow
{

// The store accepts this many entries in one call.
constexpr std::size_t max_entries_per_write = 32;
// Entries that wait to be written. The oldest are dropped first.
constexpr std::size_t max_waiting_entries = 2'000;

// Durations and delays of a writer.
struct writer_limits
{
    millis lease_duration{120'000};
    // A lease that is renewed, and how often; otherwise a new one is taken after `lease_use`.
    std::optional<millis> renewal_interval;
    millis lease_use{120'000};
    // Delay from an entry to the batch that holds it, between two batches, and between two full
    // ones.
    millis batch_delay{500};
    millis batch_interval{1'000};
    millis full_batch_interval{50};
    // The store may be 60 times slower than its usual 4 ms.
    millis call_timeout{600};
    // Exponential backoff after failed calls: doubled each time, up to the maximum.
    millis first_retry_delay{100};
    millis max_retry_delay{3'200};
};

// An entry to write.
struct store_entry
{
    std::string key;
    std::string value;
};

enum class write_kind : std::uint8_t
{
    open_lease,
    put,
    renew_lease
};

constexpr std::array<std::string_view, 3> write_kind_names{"open_lease", "put", "renew_lease"};

// A call to the store.
struct write_call
{
    write_kind kind = write_kind::open_lease;
    std::uint64_t lease = 0;
    millis lease_duration;
    std::vector<store_entry> entries;
    millis timeout;
};

// Its response.
struct write_response
{
    store_outcome outcome = store_outcome::unreachable;
    // The lease that was opened.
    std::uint64_t lease = 0;
    // The call's lease has ended.
    bool is_lease_gone = false;
};

// An entry that waits to be written.
struct waiting_entry
{
    store_entry entry;
    millis since;
};

// State of a writer.
struct leased_writer
{
    writer_limits limits;
    std::optional<std::uint64_t> lease;
    millis lease_opened;
    millis lease_renewed;
    std::deque<waiting_entry> waiting;
    // Entries under a renewed lease, to be written again if it ends.
    std::vector<store_entry> kept;
    bool is_calling = false;
    millis next_call;
    std::uint32_t failures = 0;
    std::uint64_t written_total = 0;
    std::uint64_t dropped_total = 0;
};

// Adds an entry to be written.
void add_entry(leased_writer& writer, const store_entry& entry, millis now);

// Returns the next call if one is due and none is in progress.
std::optional<write_call> next_write_call(leased_writer& writer, millis now);

// Processes the response to the call in progress.
void handle_write_response(leased_writer& writer, const write_call& call,
                           const write_response& response, millis now);

} // namespace briarbarrow

#endif

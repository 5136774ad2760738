// The counters of a host. They never decrease, and appear in the metrics under these names.
#ifndef BRIARBARROW_CORE_COUNTERS_HPP
#define BRIARBARROW_CORE_COUNTERS_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace briarbarrow
{

// A counter. Groups whose order follows another enumeration (relay_kind, ip_packet_error,
// frame_error) are addressed with counter_after().
enum class counter : std::uint8_t
{
    packets_from_fabric,
    packets_from_hosts,
    packets_to_backends,
    packets_forwarded,
    packets_deposited,
    packets_searched,
    packets_absent,
    resets_to_callers,
    flows_opened,
    flows_ended,
    flows_expired,
    flows_reopened,
    flows_replaced,
    choices_overridden,
    hints_ridden,
    hints_sent,
    hints_taken,
    records_moved,
    records_taken,
    openings_refused,
    dropped_unknown_service,
    dropped_unknown_backend,
    dropped_no_keeper,
    dropped_no_grant,
    dropped_quarantine,
    dropped_uncertain,
    dropped_search_limit,
    dropped_incomplete_search,
    dropped_hops,
    refused_source,
    bad_packet_truncated,
    bad_packet_oversized,
    bad_packet_fragmented,
    bad_packet_wrong_version,
    bad_packet_bad_length,
    bad_packet_unsupported_protocol,
    bad_frame_truncated,
    bad_frame_wrong_variant,
    bad_frame_wrong_format,
    bad_frame_unknown_kind,
    bad_frame_bad_length,
    bad_message,
    control_bytes_heartbeat,
    control_bytes_hint,
    control_bytes_records,
    control_bytes_peer_link,
    configurations_taken,
    configurations_old,
    configurations_conflicting,
    configurations_bad
};

constexpr std::array<std::string_view, 50> counter_names{"packets_from_fabric",
                                                         "packets_from_hosts",
                                                         "packets_to_backends",
                                                         "packets_forwarded",
                                                         "packets_deposited",
                                                         "packets_searched",
                                                         "packets_absent",
                                                         "resets_to_callers",
                                                         "flows_opened",
                                                         "flows_ended",
                                                         "flows_expired",
                                                         "flows_reopened",
                                                         "flows_replaced",
                                                         "choices_overridden",
                                                         "hints_ridden",
                                                         "hints_sent",
                                                         "hints_taken",
                                                         "records_moved",
                                                         "records_taken",
                                                         "openings_refused",
                                                         "dropped_unknown_service",
                                                         "dropped_unknown_backend",
                                                         "dropped_no_keeper",
                                                         "dropped_no_grant",
                                                         "dropped_quarantine",
                                                         "dropped_uncertain",
                                                         "dropped_search_limit",
                                                         "dropped_incomplete_search",
                                                         "dropped_hops",
                                                         "refused_source",
                                                         "bad_packet_truncated",
                                                         "bad_packet_oversized",
                                                         "bad_packet_fragmented",
                                                         "bad_packet_wrong_version",
                                                         "bad_packet_bad_length",
                                                         "bad_packet_unsupported_protocol",
                                                         "bad_frame_truncated",
                                                         "bad_frame_wrong_variant",
                                                         "bad_frame_wrong_format",
                                                         "bad_frame_unknown_kind",
                                                         "bad_frame_bad_length",
                                                         "bad_message",
                                                         "control_bytes_heartbeat",
                                                         "control_bytes_hint",
                                                         "control_bytes_records",
                                                         "control_bytes_peer_link",
                                                         "configurations_taken",
                                                         "configurations_old",
                                                         "configurations_conflicting",
                                                         "configurations_bad"};

static_assert(counter_names.size() == static_cast<std::size_t>(counter::configurations_bad) + 1);

// One value for each counter.
struct counter_set
{
    std::array<std::uint64_t, counter_names.size()> values{};

    std::uint64_t& operator[](counter which)
    {
        return this->values[static_cast<std::size_t>(which)];
    }

    std::uint64_t operator[](counter which) const
    {
        return this->values[static_cast<std::size_t>(which)];
    }
};

// Returns the counter `offset` positions after `first`. It maps an enumeration, such as the fault
// of a packet, to a group of counters in the same order.
constexpr counter counter_after(counter first, std::size_t offset)
{
    return static_cast<counter>(static_cast<std::size_t>(first) + offset);
}

} // namespace briarbarrow

#endif

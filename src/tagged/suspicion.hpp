// Detects unresponsive backend servers and unreachable availability zones.
//
// The failure it is made for: a backend server, or all of another availability zone, stops
// responding from one packet to the next, while its entry in the store remains for seconds. With
// direct server return the answers don't pass through the daemon, so the evidence that a backend
// server responds comes from the caller's packets: the acknowledgement that follows an opening
// packet, and acknowledgements that advance. If an opening packet gets none for longer than answers
// usually take, its backend server becomes suspected. It gets no further flows while others can
// take them, and health checks over a connection of the daemon's own, which cost no caller
// anything, until it responds or its entry shows that it has restarted.
//
// A suspicion never expires: an opening packet that is sent to find out costs its caller the time
// until the retransmission.
#ifndef BRIARBARROW_TAGGED_SUSPICION_HPP
#define BRIARBARROW_TAGGED_SUSPICION_HPP

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tagged/backend_directory.hpp"

namespace briarbarrow
{

// Timeouts for answers to opening packets, and intervals of health checks.
struct suspicion_limits
{
    // Timeout until answer times have been measured, and its bounds afterwards.
    millis initial_answer_timeout{150};
    millis min_answer_timeout{30};
    millis max_answer_timeout{400};
    // Timeout as a multiple of the smoothed answer time.
    double answer_timeout_factor = 4;
    // The interval doubles with each failed check.
    millis min_check_interval{250};
    millis max_check_interval{1'000};
    // Consecutive failed checks after which a backend server is presumed dead. A check that times
    // out sooner than this after another one overlapped with it and shows nothing new.
    std::uint32_t failed_checks_to_presume_dead = 2;
    millis min_timeout_spacing{100};
    // Suspected backend servers from which on a zone may be unreachable.
    std::uint32_t min_suspected_for_zone = 2;
};

// Outcome of a health check.
enum class check_outcome : std::uint8_t
{
    answered,
    // The host refused the connection: no process is listening.
    refused,
    // Another instance answered at its address.
    replaced,
    // No connection within the timeout.
    timed_out,
    // The connection was accepted but the instance did not identify itself; it may be busy.
    unidentified
};

constexpr std::array<std::string_view, 5> check_outcome_names{"answered", "refused", "replaced",
                                                              "silent", "unidentified"};

// Status of an availability zone as a whole.
struct zone_status
{
    std::string zone;
    // Smoothed time to an answer to an opening packet. Unit: milliseconds; 0 before the first one.
    double answer_ms = 0;
    // Several of its backend servers are suspected and none has responded since the first
    // suspicion: the network path to it is interrupted.
    bool is_unreachable = false;
    millis next_check;
    std::uint32_t failed_checks = 0;
    // Where the search for the next backend server to check starts.
    std::uint32_t next_member = 0;
};

using zone_status_list = std::vector<zone_status>;

// The status of a zone, which is added if it is new.
zone_status& find_or_add_zone(zone_status_list& zones, std::string_view zone);

// True when a zone is unreachable as a whole.
bool is_unreachable(const zone_status_list& zones, std::string_view zone);

// The names of the unreachable zones.
std::vector<std::string> unreachable_zones(const zone_status_list& zones);

// Updates a zone's smoothed answer time.
void observe_answer_time(zone_status_list& zones, std::string_view zone, millis measured_time);

// How long to wait for an answer from a zone before its backend server becomes suspected.
millis answer_timeout_for(zone_status_list& zones, std::string_view zone,
                          const suspicion_limits& limits);

// Records evidence that a backend server responds. True when it ends a suspicion.
bool observe_response(known_backend& backend, millis now);

// Records that an opening packet sent at `sent` was not answered in time. True when the backend
// server becomes suspected.
bool observe_missing_response(known_backend& backend, millis sent, millis now);

// Requests a health check, because a request makes no progress or another daemon reports the
// backend server unresponsive. True when the check should be made: the backend server is not
// suspected yet and has not responded after `since`. A failed check makes it suspected.
bool request_check(known_backend& backend, millis since, millis now,
                   const suspicion_limits& limits);

// True when any backend server is suspected or any zone unreachable; otherwise no zone's status
// can change and no check is due.
bool has_suspicions(const backend_directory& directory, const zone_status_list& zones);

// Determines which zones are unreachable as a whole.
void update_zone_reachability(const backend_directory& directory, zone_status_list& zones,
                              std::string_view own_zone, const suspicion_limits& limits);

// Appends the backend servers whose health check is due to `due` and schedules their next one. In
// an unreachable zone, a suspected backend server is checked once; from then on only one backend
// server is checked at a time, each in turn.
void collect_due_checks(backend_directory& directory, zone_status_list& zones, millis now,
                        const suspicion_limits& limits, std::vector<backend_index>& due);

// Applies the outcome of a health check. True when it begins or ends a suspicion.
bool apply_check_outcome(known_backend& backend, zone_status& zone, check_outcome outcome,
                         const suspicion_limits& limits, millis now);

// True when a backend server has failed enough checks that a caller should be told to retry rather
// than wait: several of its own, or one of its own and several of its zone's.
bool is_presumed_dead(const known_backend& backend, const zone_status_list& zones,
                      const suspicion_limits& limits);

} // namespace briarbarrow

#endif

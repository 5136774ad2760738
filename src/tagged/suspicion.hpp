// Which backend servers are taken for silent.
//
// The load pattern it answers: a backend server, or all of another availability zone, falls silent
// between two packets, while its entry in the store stays for seconds. With direct server return
// nothing of an answer is seen here; the signs of life are the caller's own packets: the
// acknowledgement that follows an opening, and acknowledgements that advance. An opening without
// one for longer than such answers usually take makes the backend server suspected. It gets no
// further flows while others can take them, and is asked for its health by a connection of our own,
// which costs no caller anything, until it answers or its entry says that it has started again.
//
// Suspicion never ends on its own: an opening that is sent on trial costs its caller the time to
// the next copy.
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

// How long an answer to an opening may take, and how often a suspected backend server is checked.
struct suspicion_limits
{
    // Patience until answers were measured, and its bounds.
    millis initial_answer_timeout{150};
    millis min_answer_timeout{30};
    millis max_answer_timeout{400};
    // Patience in smoothed answer times.
    double answer_timeout_factor = 4;
    millis min_check_interval{250};
    millis max_check_interval{1'000};
    // Checks that fail in a row before a backend server is presumed dead.
    std::uint32_t failed_checks_to_presume_dead = 2;
    // Silent backend servers that make a zone doubtful.
    std::uint32_t min_suspected_for_zone = 2;
};

// Outcome of a check of our own.
enum class check_outcome : std::uint8_t
{
    answered,
    // Its host refuses: no process listens.
    refused,
    // Another instance answers at its address.
    replaced,
    // No connection in time.
    timed_out,
    // Something took the connection and did not say who it is; it may be busy.
    unidentified
};

constexpr std::array<std::string_view, 5> check_outcome_names{"answered", "refused", "replaced",
                                                              "silent", "unidentified"};

// What is known of an availability zone as a whole.
struct zone_status
{
    std::string zone;
    // How long answers to openings take from there. Unit: milliseconds; 0 for none yet.
    double answer_ms = 0;
    // Several of its backend servers are silent and none has answered since: the way there is cut.
    bool is_unreachable = false;
    millis next_check;
    std::uint32_t failed_checks = 0;
    std::uint32_t next_member = 0;
};

using zone_status_list = std::vector<zone_status>;

// The view of a zone, which is added when it is new.
zone_status& find_or_add_zone(zone_status_list& zones, std::string_view zone);

// True when a zone is out of reach as a whole.
bool is_unreachable(const zone_status_list& zones, std::string_view zone);

// Takes note of an answer to an opening.
void observe_answer_time(zone_status_list& zones, std::string_view zone, millis measured_time);

// How long to wait for an answer from a zone before its backend server is suspected.
millis answer_timeout_for(zone_status_list& zones, std::string_view zone,
                          const suspicion_limits& limits);

// Takes note of a sign of life. True when it ends a suspicion.
bool observe_response(known_backend& backend, millis now);

// An opening sent at `sent` has had no answer. True when the backend server becomes suspected.
bool observe_missing_response(known_backend& backend, millis sent, millis now);

// Takes note of a doubt: a request without progress, or word from another daemon. True when a check
// should be made; a check that fails makes the backend server suspected.
bool request_check(known_backend& backend, millis since, millis now,
                   const suspicion_limits& limits);

// True when any backend server or zone is doubtful; without that there is nothing to judge or
// check.
bool needs_reachability_check(const backend_directory& known, const zone_status_list& zones);

// Finds the zones that are out of reach as a whole.
void update_zone_reachability(const backend_directory& known, zone_status_list& zones,
                              std::string_view own_zone, const suspicion_limits& limits);

// Backend servers whose check is due; their next one is set. Of a zone that is out of reach one is
// asked for all, each in turn.
void collect_due_checks(backend_directory& known, zone_status_list& zones, millis now,
                        const suspicion_limits& limits, std::vector<backend_index>& due);

// Takes the outcome of a check. True when it begins or ends a suspicion.
bool apply_check_outcome(known_backend& backend, zone_status& zone, check_outcome outcome,
                         millis now);

// True when a backend server is so surely dead, or out of reach, that a caller is better off trying
// again.
bool is_presumed_dead(const known_backend& backend, const zone_status_list& zones,
                      const suspicion_limits& limits);

} // namespace briarbarrow

#endif

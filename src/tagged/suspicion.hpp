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
    millis first_patience{150};
    millis least_patience{30};
    millis most_patience{400};
    // Patience in smoothed answer times.
    double patience_factor = 4;
    millis first_check_pause{250};
    millis most_check_pause{1'000};
    // Checks that fail in a row before a backend server is presumed dead.
    std::uint32_t checks_to_presume = 2;
    // Silent backend servers that make a zone doubtful.
    std::uint32_t silent_for_zone = 2;
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
    silent,
    // Something took the connection and did not say who it is; it may be busy.
    unidentified
};

constexpr std::array<std::string_view, 5> check_outcome_names{"answered", "refused", "replaced",
                                                              "silent", "unidentified"};

// What is known of an availability zone as a whole.
struct zone_view
{
    std::string zone;
    // How long answers to openings take from there. Unit: milliseconds; 0 for none yet.
    double answer_ms = 0;
    // Several of its backend servers are silent and none has answered since: the way there is cut.
    bool is_out_of_reach = false;
    millis next_check;
    std::uint32_t failed_checks = 0;
    std::uint32_t next_member = 0;
};

using zone_views = std::vector<zone_view>;

// The view of a zone, which is added when it is new.
zone_view& view_of(zone_views& zones, std::string_view zone);

// True when a zone is out of reach as a whole.
bool is_out_of_reach(const zone_views& zones, std::string_view zone);

// Takes note of an answer to an opening.
void learn_answer_time(zone_views& zones, std::string_view zone, millis span);

// How long to wait for an answer from a zone before its backend server is suspected.
millis patience_for(zone_views& zones, std::string_view zone, const suspicion_limits& limits);

// Takes note of a sign of life. True when it ends a suspicion.
bool note_answer(known_backend& backend, millis now);

// An opening sent at `sent` has had no answer. True when the backend server becomes suspected.
bool note_silence(known_backend& backend, millis sent, millis now);

// Takes note of a doubt: a request without progress, or word from another daemon. True when a check
// should be made; a check that fails makes the backend server suspected.
bool note_doubt(known_backend& backend, millis since, millis now, const suspicion_limits& limits);

// True when any backend server or zone is doubtful; without that there is nothing to judge or
// check.
bool has_doubts(const backend_directory& known, const zone_views& zones);

// Finds the zones that are out of reach as a whole.
void judge_zones(const backend_directory& known, zone_views& zones, std::string_view own_zone,
                 const suspicion_limits& limits);

// Backend servers whose check is due; their next one is set. Of a zone that is out of reach one is
// asked for all, each in turn.
void collect_checks(backend_directory& known, zone_views& zones, millis now,
                    const suspicion_limits& limits, std::vector<backend_index>& due);

// Takes the outcome of a check. True when it begins or ends a suspicion.
bool note_check(known_backend& backend, zone_view& zone, check_outcome outcome, millis now);

// True when a backend server is so surely dead, or out of reach, that a caller is better off trying
// again.
bool is_presumed_dead(const known_backend& backend, const zone_views& zones,
                      const suspicion_limits& limits);

} // namespace briarbarrow

#endif

// The backend servers that a daemon knows from their entries in the platform's store, and the tags
// by which packets name them.
//
// A tag is the 32-bit hash of a backend server's name, so that all daemons agree on it without
// communication. Packets carry it in several forms (tag_form.hpp), which have its identity in
// common. It is looked up within the services of a route. Among all services only a form is looked
// up that a caller can't have made up or taken from another flow by accident. If two names of a
// service have the same identity, the lexicographically smaller name owns it and the other gets no
// flows.
//
// A draining backend server gets no new flows as soon as its entry says so, and none any more in
// this incarnation: the store may come back from a copy with an older entry. An entry that
// disappears may have expired while the store was unavailable: its backend server remains a last
// resort for `expiry_grace_period` and is not used for new flows after that. Its address stays
// known for the flows that it still holds.
#ifndef BRIARBARROW_TAGGED_BACKEND_DIRECTORY_HPP
#define BRIARBARROW_TAGGED_BACKEND_DIRECTORY_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/address.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/placement/zone_evacuation.hpp"
#include "tagged/answer_quality.hpp"
#include "tagged/backend_pace.hpp"
#include "tagged/warm_up_budget.hpp"

namespace briarbarrow
{

// Entries that expired while the store was unavailable are back within two seconds of its return,
// according to the platform's page on service discovery.
constexpr millis expiry_grace_period{2'000};
// An unlisted backend server is removed after this long: twice the longest lifetime of a flow.
constexpr millis unlisted_retention{120'000};

// A backend server's registration: its entry in the store.
struct backend_registration
{
    std::string name;
    // Number that identifies the backend server as the destination of a datagram.
    std::uint64_t wire_number = 0;
    std::string service;
    std::string zone;
    endpoint packets;
    // Requests that it processes concurrently.
    std::uint32_t slots = 1;
    bool is_draining = false;
    // Remaining time of its warm-up, during which it is slow.
    millis warm_up_remaining;
    // Start of this incarnation. Unit: milliseconds since the Unix epoch.
    std::int64_t start_time_ms = 0;
};

enum class backend_phase : std::uint8_t
{
    serving,
    draining,
    unlisted
};

constexpr std::array<std::string_view, 3> backend_phase_names{"serving", "draining", "unlisted"};

// What a daemon has observed of a backend server.
struct backend_evidence
{
    // When it last answered an opening packet or sent data, as the caller's acknowledgements show.
    millis last_response;
    // True while opening packets or health checks go unanswered and nothing shows that it responds.
    bool is_suspected = false;
    millis suspected_since;
    millis next_check;
    std::uint32_t failed_checks = 0;
    millis last_failed_check;
    // The last health check found its process gone.
    bool is_process_gone = false;
    // Smoothed time from the handshake to the caller's close. Unit: milliseconds; 0 before the
    // first flow.
    double flow_lifetime_ms = 0;
    // Flows that this daemon has placed there and that have not ended, and those of them whose
    // handshake is complete.
    std::uint32_t in_flight = 0;
    std::uint32_t open_flows = 0;
    // Open flows of all daemons that those of this one stand for.
    double fleet_flows = 0;
    // Mean of `in_flight` over the last seconds: what long flows bring, also between two requests.
    double smoothed_in_flight = 0;
    answer_record answers;
    pace_record pace;
    // Time of its requests relative to its service's, from `pace`; updated from time to time.
    double slowness_factor = 1;
};

// A backend server that a daemon knows.
struct known_backend
{
    backend_registration registration;
    service_id service = service_id::none;
    std::uint32_t tag = 0;
    backend_phase phase = backend_phase::serving;
    millis phase_since;
    millis warm_until;
    // The flows that were placed on it while it was cold, if its service limits them.
    cold_placements cold_placed;
    // Its zone is evacuated, so it gets no new flows.
    bool is_evacuated = false;
    backend_evidence evidence;
    // Remembered flows that are assigned to it.
    std::uint32_t remembered_flows = 0;
};

// Index of a backend server in the directory.
using backend_index = std::uint32_t;
constexpr backend_index no_backend = 0xffffffff;

// All known backend servers.
struct backend_directory
{
    std::vector<known_backend> entries;
    // Free indices in `entries`.
    std::vector<backend_index> unused;
    std::unordered_map<std::string, backend_index> by_name;
    // By service and identity of the tag.
    std::unordered_map<std::uint64_t, backend_index> by_tag;
    // By identity of the tag; backend servers of different services may have the same.
    std::unordered_multimap<std::uint32_t, backend_index> by_identity;
    // Identities of names whose entries can't be used: nothing is known of these backend servers.
    std::unordered_set<std::uint32_t> unusable_identities;
    std::unordered_map<service_id, std::vector<backend_index>> by_service;
    evacuated_zones evacuated;
};

// What applying a registration changed.
enum class registration_effect : std::uint8_t
{
    none,
    added,
    restarted,
    updated,
    drained
};

constexpr std::array<std::string_view, 5> registration_effect_names{"none", "added", "restarted",
                                                                    "updated", "drained"};

// The tag of a backend server's name. Never `no_tag`.
std::uint32_t tag_of(std::string_view name);

// Applies a backend server's registration.
registration_effect apply_registration(backend_directory& directory,
                                       const backend_registration& registration, millis now);

// Evacuates a zone, or takes the evacuation back. False when nothing changed.
bool set_zone_evacuated(backend_directory& directory, std::string_view zone, bool is_ordered);

// Flows that are in flight at the backend servers of a zone, as far as this daemon sees them.
std::uint32_t flows_in_zone(const backend_directory& directory, std::string_view zone);

// Marks a backend server whose entry is missing as unlisted. False when it was already, or is not
// known.
bool mark_unlisted(backend_directory& directory, const std::string& name, millis now);

// Removes backend servers that have been unlisted for `unlisted_retention` and that no remembered
// flow is assigned to.
void forget_unlisted(backend_directory& directory, millis now);

// The backend server of a service with this plain tag, and the one with this identity.
std::optional<backend_index> find_by_tag(const backend_directory& directory, service_id service,
                                         std::uint32_t tag);
std::optional<backend_index> find_by_tag_identity(const backend_directory& directory,
                                                  service_id service, std::uint32_t identity);

// The backend servers with an identity, whatever their service.
struct identity_owners
{
    // The only one, if there is just one.
    std::optional<backend_index> sole;
    bool are_several = false;
    // One of them has an entry in the store.
    bool is_any_listed = false;
};

identity_owners find_owners(const backend_directory& directory, std::uint32_t identity);

// Records whether the entry of a backend server is there but can't be used.
void set_entry_unusable(backend_directory& directory, const std::string& name, bool is_unusable);

// True when the entry of a backend server with this identity can't be used.
bool is_identity_unusable(const backend_directory& directory, std::uint32_t identity);

// The backend servers of a service, in the order in which they became known.
const std::vector<backend_index>& backends_of(const backend_directory& directory,
                                              service_id service);

} // namespace briarbarrow

#endif

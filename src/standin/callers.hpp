// Simulated callers that run on a real TCP/IP stack (lwIP): short lookups, terminals that stay
// connected, long downloads and datagram lookups. Every answer is checked byte for byte.
#ifndef BRIARBARROW_STANDIN_CALLERS_HPP
#define BRIARBARROW_STANDIN_CALLERS_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/address.hpp"
#include "core/clock.hpp"

namespace briarbarrow
{

// The traffic pattern of a caller.
enum class caller_kind : std::uint8_t
{
    // One request on each connection.
    lookup,
    // Many requests on one connection that stays open.
    terminal,
    // One request with a long answer on each connection.
    download,
    // One UDP request and its answer, with retransmission.
    datagram
};

// A group of callers of one service that share all settings.
struct caller_group
{
    caller_kind kind = caller_kind::lookup;
    std::string service;
    ip_address address;
    std::uint16_t port = 0;
    std::size_t count = 0;
    std::uint64_t answer_bytes = 0;
    millis think_time;
};

// Counts of what the callers of this process observed.
struct caller_tally
{
    std::uint64_t opened = 0;
    std::uint64_t answered = 0;
    // Connections that failed before they were established.
    std::uint64_t refused = 0;
    // Answers that carry the id of another request.
    std::uint64_t mismatched_answers = 0;
    // Answers that came from a backend server of another service.
    std::uint64_t misrouted = 0;
    std::uint64_t retried_datagrams = 0;
    std::uint64_t unanswered_datagrams = 0;
    // Failed flows by reason; refused connections are not among them.
    std::map<std::string, std::uint64_t> broken;
    std::vector<double> answer_ms;

    std::uint64_t broken_flow_count() const;
};

class caller;

// All callers of one process. The functions that touch the stack acquire its lock themselves.
class caller_set
{
public:
    caller_set();
    ~caller_set();
    caller_set(const caller_set&) = delete;
    caller_set& operator=(const caller_set&) = delete;

    // Adds the callers of a group.
    void add(const caller_group& group);

    // Starts flows, sends requests and checks timeouts that are due at `now`, the time since the
    // start of the run. To be called every few milliseconds.
    void tick(millis now);

    // Lets callers finish their current flows and start no new ones.
    void stop_new_flows();

    // Returns true when no caller has an open flow.
    bool is_idle() const;

    // Closes the flows that are still open and counts them as stalled.
    void abandon_open_flows();

    const caller_tally& tally() const;

private:
    std::vector<std::unique_ptr<caller>> callers;
    caller_tally counts;
    std::uint64_t next_request_id = 1;
};

} // namespace briarbarrow

#endif

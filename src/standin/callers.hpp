// Callers on a true TCP stack: short lookups, terminals that stay connected, long downloads and
// datagram lookups. Every answer is checked byte for byte.
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

// How a caller behaves.
enum class caller_kind : std::uint8_t
{
    // One request on each connection.
    lookup,
    // Many requests on one connection that stays open.
    terminal,
    // One long answer on each connection.
    download,
    // One datagram and its answer.
    datagram
};

// A group of equal callers of one service.
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

// What callers have seen.
struct caller_tally
{
    std::uint64_t opened = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t mismatched_answers = 0;
    std::uint64_t misrouted = 0;
    std::uint64_t retried_datagrams = 0;
    std::uint64_t unanswered_datagrams = 0;
    // Flows that broke after they were established, by what was seen.
    std::map<std::string, std::uint64_t> broken;
    std::vector<double> answer_ms;

    std::uint64_t broken_flow_count() const;
};

class caller;

// All callers of one process. Every function takes the stack's lock itself.
class caller_set
{
public:
    caller_set();
    ~caller_set();
    caller_set(const caller_set&) = delete;
    caller_set& operator=(const caller_set&) = delete;

    // Adds the callers of a group.
    void add(const caller_group& group);

    // Moves time on. Call often.
    void tick(millis now);

    // Callers finish what they have begun and begin nothing new.
    void stop_new_flows();

    // True when nothing is under way any more.
    bool is_idle() const;

    // Flows still under way are called stalled.
    void abandon_open_flows();

    const caller_tally& tally() const;

private:
    std::vector<std::unique_ptr<caller>> callers;
    caller_tally counts;
    std::uint64_t next_request_id = 1;
};

} // namespace briarbarrow

#endif

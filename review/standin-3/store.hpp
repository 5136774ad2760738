// The platform's metadata store: items, pages, watches, leases, and a history
// that ends after the time that the settings state. Nothing of it is lost, slow
// or refused.
#ifndef REVIEW_STANDIN_3_STORE_HPP
#define REVIEW_STANDIN_3_STORE_HPP

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "sockets.hpp"

namespace review
{

// The largest value, as in the settings of the daemons. Unit: bytes.
constexpr std::size_t max_value_bytes = 1'048'576;

class store
{
public:
    // Opens a port for a daemon, with a limit of the bytes that the daemon's link
    // takes per second; 0 means none. Returns false if that fails.
    bool open_port(const address& local, double bytes_per_s);

    // Writes and removes items in one revision.
    void change(const std::map<std::string, std::string>& puts,
                const std::vector<std::string>& removed);
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    // While quiet, watches hear nothing.
    void set_quiet(bool quiet);
    // Discards the history, so that a watch that needs a part of it is told that
    // it is gone.
    void drop_history();

    // Receives requests and sends responses.
    void run(std::int64_t now);

private:
    struct item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };

    struct event
    {
        std::int64_t at = 0;
        std::int64_t revision = 0;
        std::string key;
        // The item in JSON, or its deletion.
        std::string text;
    };

    struct connection
    {
        int socket = -1;
        std::size_t port = 0;
        std::string received;
        std::string unsent;
        bool is_waiting = false;
        std::int64_t waits_until = 0;
        std::int64_t after_revision = 0;
        std::string prefix;
        bool is_closed = false;
    };

    struct port
    {
        int listener = -1;
        double bytes_per_s = 0;
        double allowance = 0;
    };

    void handle(connection& from, const http_request& request);
    std::string read_key(const std::string& path) const;
    std::string read_range(const std::string& path) const;
    std::string write(const std::string& body);
    std::string open_lease(const std::string& body);
    std::string keep_lease(std::int64_t lease);
    void end_lease(std::int64_t lease);
    void begin_watch(connection& from, const std::string& path);
    void answer_watch(connection& from);
    void apply(const std::string& key, const std::string* value, std::int64_t lease);
    void send_unsent(connection& to);
    static std::string to_json(const std::string& key, const item& stored);

    std::int64_t now = 0;
    std::int64_t last_run = 0;
    std::int64_t revision = 1;
    std::int64_t dropped_revision = 0;
    bool is_quiet = false;
    std::int64_t next_lease = 1'000;
    std::map<std::string, item> items;
    std::deque<event> history;
    // Duration and end of each lease.
    std::map<std::int64_t, std::pair<std::int64_t, std::int64_t>> leases;
    std::vector<port> ports;
    std::list<connection> connections;
};

} // namespace review

#endif

// The platform's metadata store: revisions, pages and watches, as the platform's page on it says.
#ifndef BRIARBARROW_REVIEW_STORE_HPP
#define BRIARBARROW_REVIEW_STORE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "loop.hpp"

namespace review
{

// Limits of the page: items of one page, and the store's usual time to an answer.
constexpr std::size_t max_page_items = 500;
constexpr std::size_t max_page_bytes = 1'000'000;
constexpr std::int64_t usual_answer_ms = 4;

class kv_store
{
public:
    kv_store(event_loop& loop, case_record& record, const address& local);

    // Both return the revision of the change, which is acknowledged when they return.
    std::uint64_t put(const std::string& key, const std::string& value);
    std::uint64_t remove(const std::string& key);
    // Every answer takes so long from now on.
    void set_answer_time(std::int64_t answer_ms);
    // Discards the history up to now and cuts the watches that are waiting.
    void discard_history();
    // The connections that are open go silent for good, without a reset. New ones work.
    void silence_connections();
    std::uint64_t current_revision() const;
    std::uint64_t reads_total() const;

private:
    struct stored
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct change
    {
        std::string key;
        stored item;
        bool is_deleted = false;
        std::int64_t at = 0;
    };
    struct connection
    {
        int descriptor = -1;
        std::string received;
        std::string unsent;
        std::size_t answer_bytes = 0;
        // A watch that waits: its position and its end.
        bool is_watching = false;
        bool is_answering = false;
        bool is_silent = false;
        std::uint64_t after = 0;
        std::int64_t watch_end = 0;
    };
    using connection_handle = std::shared_ptr<connection>;

    void accept_one();
    void receive(const connection_handle& from);
    void handle(const connection_handle& from, const std::string& target);
    void answer_range(const connection_handle& to, const std::string& target);
    void begin_watch(const connection_handle& from, const std::string& target);
    void answer_watch(const connection_handle& to);
    void wake_watches();
    void respond(const connection_handle& to, int status, const std::string& body);
    void flush(const connection_handle& to);
    void close_connection(const connection_handle& closed);
    void record_change(const change& made);
    void trim_history();

    event_loop& loop;
    case_record& record;
    int listener;
    std::map<int, connection_handle> connections;
    std::map<std::string, stored> items;
    std::deque<change> history;
    std::uint64_t revision = 1;
    // Changes up to this revision are not in the history any more.
    std::uint64_t oldest = 1;
    std::int64_t answer_ms = usual_answer_ms;
    std::uint64_t reads = 0;
};

} // namespace review

#endif

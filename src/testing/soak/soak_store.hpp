// The users' store for the soak: its calls to read and watch, over the stand-ins' common memory.
#ifndef BRIARBARROW_TESTING_SOAK_SOAK_STORE_HPP
#define BRIARBARROW_TESTING_SOAK_SOAK_STORE_HPP

#include <memory>
#include <string>

#include "core/clock.hpp"
#include "net/http_responder.hpp"
#include "standin/kv_store.hpp"

namespace briarbarrow
{

class soak_store
{
public:
    explicit soak_store(const endpoint& local);

    // Writes or removes an item and wakes the watches.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    // Drops the history: watches from before have to read anew.
    void compact_history();
    // Refuses every call, or serves again.
    void set_busy(bool busy);
    // Ends watches whose time is over. Wanted every few milliseconds.
    void tick();

private:
    http_page handle_request(const http_query& query);
    http_page handle_watch(const http_query& query);

    kv_store data;
    std::int64_t compacted_revision = 0;
    bool is_busy = false;
    std::unique_ptr<http_responder> server;
};

} // namespace briarbarrow

#endif

// The platform's metadata store for the soak: serves list and watch requests over HTTP from the
// key-value memory that the stand-ins share.
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

    // Write or remove an item; pending watches see the change at the next tick().
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    // Writes an item unless the store holds this value.
    void put_if_lost(const std::string& key, const std::string& value);
    // Compacts the history: a watch that starts from an older revision gets status 410 and its
    // client has to list all items again.
    void compact_history();
    // Copies the store, and lets it come back from that copy: what was written since is gone, its
    // revisions are given out again, and the era that every response states rises.
    void copy();
    void restore_copy();
    // While busy, every request is answered with status 503.
    void set_busy(bool busy);
    // Completes pending watches that have events or whose wait is over. Call it every few
    // milliseconds.
    void tick();

private:
    http_page handle_request(const http_query& query);
    http_page handle_read(const http_query& query) const;
    http_page handle_watch(const http_query& query);
    http_page handle_key(const http_query& query) const;
    http_page handle_lease(const http_query& query);
    http_page handle_renewal(const http_query& query);
    http_page handle_write(const http_query& query);

    kv_store data;
    std::int64_t compacted_revision = 0;
    kv_store copied_data;
    std::int64_t copied_compacted_revision = 0;
    std::uint64_t era = 1;
    bool is_busy = false;
    std::unique_ptr<http_responder> server;
};

} // namespace briarbarrow

#endif

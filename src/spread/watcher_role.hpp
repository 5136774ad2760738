// Decides which daemons follow the store (the watchers) and from whom the others request changes.
//
// Calls to the store are counted and priced, and if every daemon watched it, each change of an
// entry would wake all of them. So in each availability zone only the daemons whose addresses rank
// first by hash follow the store, two or a few more; the others request changes from one of them.
// There is no election: while peer tables differ, a zone may have three watchers or one for a
// moment, which costs store calls or a little delay, but never yields a wrong list. A daemon whose
// replica becomes stale follows the store itself, whatever its role; one that can't reach the store
// requests changes from any daemon that can.
#ifndef BRIARBARROW_SPREAD_WATCHER_ROLE_HPP
#define BRIARBARROW_SPREAD_WATCHER_ROLE_HPP

#include <optional>

#include "spread/peer_table.hpp"

namespace briarbarrow
{

constexpr std::size_t min_watchers_per_zone = 2;
// In a large zone one watcher for this many daemons, since each of them requests every change from
// it.
constexpr std::size_t daemons_per_watcher = 16;
// A replica that is older than this is stale: its daemon has lost the store. A watch is confirmed
// each second, and other daemons fetch the result within a quarter of a second.
constexpr millis max_fresh_store_age{1'800};
// A daemon stays a watcher through a short outage; its responses carry the age of its list.
constexpr millis max_watcher_store_age{4'000};

// Sources that a daemon currently uses to update its replica.
struct watcher_role
{
    // Read and watch the store itself.
    bool follows_store = true;
    // A daemon to request changes from, as well or instead.
    std::optional<endpoint> source;

    friend bool operator==(const watcher_role&, const watcher_role&) = default;
};

// Decides from the peer table and the age of the own replica. `avoided` is a daemon that has not
// responded lately.
watcher_role decide_watcher_role(const peer_table& table, millis own_age,
                                 const std::optional<endpoint>& avoided, millis now);

} // namespace briarbarrow

#endif

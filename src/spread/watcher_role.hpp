// Which daemons follow the store, and whom the others ask.
//
// The load pattern it answers: many daemons before a store whose calls are counted and priced, of
// which each change of each entry would wake every one. In each availability zone the daemons whose
// addresses rank first by hash follow the store, two or a few more; the others ask one of them for
// changes. No vote is held: daemons that see different rosters may be three or one for a moment,
// which costs calls or a little time, never a wrong list. A daemon that nobody tells anything new
// in time follows the store itself, whoever has the duty; one that can't reach the store asks any
// daemon that can.
#ifndef BRIARBARROW_SPREAD_WATCHER_ROLE_HPP
#define BRIARBARROW_SPREAD_WATCHER_ROLE_HPP

#include <optional>

#include "spread/peer_table.hpp"

namespace briarbarrow
{

constexpr std::size_t min_watchers_per_zone = 2;
// In a large zone one daemon follows the store for so many, whom it tells of every change.
constexpr std::size_t daemons_per_watcher = 16;
// Word of the store that is older than this comes from a daemon that has lost it. A watch is
// confirmed each second, and told on within a quarter of one.
constexpr millis max_fresh_store_age{1'800};
// A daemon keeps the duty through a short trouble; those who ask it see the age of its word.
constexpr millis max_watcher_store_age{4'000};

// Whom to learn from now.
struct watcher_role
{
    // Follow the store.
    bool follows_store = true;
    // A daemon to ask for changes as well or instead.
    std::optional<endpoint> source;

    friend bool operator==(const watcher_role&, const watcher_role&) = default;
};

// Decides from the roster and from the age of what this daemon knows itself. `avoided` is a daemon
// that has not answered lately.
watcher_role decide_watcher_role(const peer_table& table, millis own_age,
                                 const std::optional<endpoint>& avoided, millis now);

} // namespace briarbarrow

#endif

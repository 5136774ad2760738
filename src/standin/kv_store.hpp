// The store inside the platform stand-in: keys with revisions, compare-and-swap, leases and
// watches, in memory. Only what the project uses of the published key-value interface.
#ifndef BRIARBARROW_STANDIN_KV_STORE_HPP
#define BRIARBARROW_STANDIN_KV_STORE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace briarbarrow
{

// A stored value.
struct stored_value
{
    std::string value;
    std::int64_t mod_revision = 0;
    std::int64_t lease = 0;
};

// A lease and when it ends.
struct stored_lease
{
    millis duration;
    millis expires_at;
};

// A change, for watchers.
struct store_change
{
    std::string key;
    // Of a deletion only the revision is set.
    stored_value value;
    bool deleted = false;
};

// The whole store. A copy of it is a snapshot.
struct kv_store
{
    std::map<std::string, stored_value> values;
    std::map<std::int64_t, stored_lease> leases;
    std::int64_t revision = 1;
    std::int64_t next_lease = 1000;
    std::vector<store_change> changes;
};

// Writes a key. A lease of 0 is none.
void put_value(kv_store& store, const std::string& key, const std::string& value,
               std::int64_t lease);

// Deletes a key, if it is there.
void delete_value(kv_store& store, const std::string& key);

// Grants a lease.
std::int64_t grant_lease(kv_store& store, millis duration, millis now);

// Prolongs a lease and returns its span; zero when there is no such lease.
millis renew_lease(kv_store& store, std::int64_t lease, millis now);

// Ends a lease and deletes its keys.
void revoke_lease(kv_store& store, std::int64_t lease);

// Ends the leases whose time is over.
void expire_leases(kv_store& store, millis now);

// True when a key lies in [begin, end); an empty end means the one key.
bool in_range(const std::string& key, const std::string& begin, const std::string& end);

} // namespace briarbarrow

#endif

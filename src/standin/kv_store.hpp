// The in-memory key-value store of the platform stand-in: keys with revisions, leases, and a list
// of changes for watches. It covers the part of etcd's interface that this project uses.
#ifndef BRIARBARROW_STANDIN_KV_STORE_HPP
#define BRIARBARROW_STANDIN_KV_STORE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace briarbarrow
{

// A stored value with the revision of its last change. A lease of 0 means none.
struct stored_value
{
    std::string value;
    std::int64_t mod_revision = 0;
    std::int64_t lease = 0;
};

// A lease with its duration and expiry time.
struct stored_lease
{
    millis duration;
    millis expires_at;
};

// A change of a key, to be sent to watches.
struct store_change
{
    std::string key;
    // For a deletion only the revision is set.
    stored_value value;
    bool deleted = false;
};

// The complete store. Copying it makes a snapshot.
struct kv_store
{
    std::map<std::string, stored_value> values;
    std::map<std::int64_t, stored_lease> leases;
    std::int64_t revision = 1;
    std::int64_t next_lease = 1000;
    // Changes that have not been sent to watches yet.
    std::vector<store_change> changes;
};

// Writes a key and binds it to a lease; a lease of 0 means none.
void put_value(kv_store& store, const std::string& key, const std::string& value,
               std::int64_t lease);

// Deletes a key. A key that doesn't exist leaves the revision as it is.
void delete_value(kv_store& store, const std::string& key);

// Creates a lease and returns its id.
std::int64_t grant_lease(kv_store& store, millis duration, millis now);

// Restarts a lease's duration and returns the duration, or zero when there is no such lease.
millis renew_lease(kv_store& store, std::int64_t lease, millis now);

// Removes a lease and deletes its keys, all in one revision.
void revoke_lease(kv_store& store, std::int64_t lease);

// Revokes the leases that have expired.
void expire_leases(kv_store& store, millis now);

// Returns true when a key lies in [begin, end); an empty end selects the key `begin` alone.
bool in_range(const std::string& key, const std::string& begin, const std::string& end);

} // namespace briarbarrow

#endif

#include "standin/kv_store.hpp"

namespace briarbarrow
{

void put_value(kv_store& store, const std::string& key, const std::string& value,
               std::int64_t lease)
{
    ++store.revision;
    const stored_value stored{value, store.revision, lease};
    store.values[key] = stored;
    store.changes.push_back(store_change{key, stored, false});
}

void delete_value(kv_store& store, const std::string& key)
{
    if (store.values.erase(key) > 0)
    {
        ++store.revision;
        store.changes.push_back(store_change{key, {"", store.revision, 0}, true});
    }
}

std::int64_t grant_lease(kv_store& store, millis duration, millis now)
{
    const std::int64_t lease = store.next_lease++;
    store.leases[lease] = stored_lease{duration, now + duration};
    return lease;
}

millis renew_lease(kv_store& store, std::int64_t lease, millis now)
{
    const auto found = store.leases.find(lease);
    if (found == store.leases.end())
    {
        return millis{0};
    }
    found->second.expires_at = now + found->second.duration;
    return found->second.duration;
}

void revoke_lease(kv_store& store, std::int64_t lease)
{
    if (store.leases.erase(lease) == 0)
    {
        return;
    }
    ++store.revision;
    for (auto entry = store.values.begin(); entry != store.values.end();)
    {
        if (entry->second.lease != lease)
        {
            ++entry;
            continue;
        }
        store.changes.push_back(store_change{entry->first, {"", store.revision, 0}, true});
        entry = store.values.erase(entry);
    }
}

void expire_leases(kv_store& store, millis now)
{
    std::vector<std::int64_t> expired;
    for (const auto& [lease, stored] : store.leases)
    {
        if (now >= stored.expires_at)
        {
            expired.push_back(lease);
        }
    }
    for (const std::int64_t lease : expired)
    {
        revoke_lease(store, lease);
    }
}

bool in_range(const std::string& key, const std::string& begin, const std::string& end)
{
    return end.empty() ? key == begin : key >= begin && key < end;
}

} // namespace briarbarrow

#include "tagged/backend_directory.hpp"

#include <algorithm>

#include "tagged/tag_form.hpp"
#include "tagged/tagged_packet.hpp"

namespace briarbarrow
{

namespace
{

std::uint64_t tag_key(service_id service, std::uint32_t tag)
{
    return mix(static_cast<std::uint64_t>(service), tag & tag_identity_mask);
}

void remove_from_indexes(backend_directory& directory, backend_index index)
{
    const known_backend& entry = directory.entries[index];
    std::vector<backend_index>& members = directory.by_service[entry.service];
    members.erase(std::remove(members.begin(), members.end(), index), members.end());
    const auto [begin, end] = directory.by_identity.equal_range(entry.tag & tag_identity_mask);
    const auto identity = std::find_if(
        begin, end, [index](const auto& candidate) { return candidate.second == index; });
    if (identity != end)
    {
        directory.by_identity.erase(identity);
    }
    const auto owner = directory.by_tag.find(tag_key(entry.service, entry.tag));
    if (owner != directory.by_tag.end() && owner->second == index)
    {
        directory.by_tag.erase(owner);
    }
}

// Adds a backend server to its service and gives it its tag unless one with a smaller name owns it.
void add_to_indexes(backend_directory& directory, backend_index index)
{
    const known_backend& entry = directory.entries[index];
    directory.by_service[entry.service].push_back(index);
    directory.by_identity.emplace(entry.tag & tag_identity_mask, index);
    const auto [owner, is_new] =
        directory.by_tag.try_emplace(tag_key(entry.service, entry.tag), index);
    if (!is_new && entry.registration.name < directory.entries[owner->second].registration.name)
    {
        owner->second = index;
    }
}

backend_index add_entry(backend_directory& directory, const std::string& name)
{
    backend_index index = static_cast<backend_index>(directory.entries.size());
    if (directory.unused.empty())
    {
        directory.entries.emplace_back();
    }
    else
    {
        index = directory.unused.back();
        directory.unused.pop_back();
        directory.entries[index] = known_backend{};
    }
    directory.by_name.emplace(name, index);
    return index;
}

void set_phase(known_backend& entry, backend_phase phase, millis now)
{
    if (entry.phase != phase)
    {
        entry.phase = phase;
        entry.phase_since = now;
    }
}

// True when a registration is of another incarnation, for which earlier evidence doesn't hold.
bool is_new_incarnation(const known_backend& entry, const backend_registration& registration)
{
    return entry.registration.start_time_ms != registration.start_time_ms ||
           entry.registration.packets != registration.packets ||
           entry.registration.service != registration.service;
}

} // namespace

std::uint32_t tag_of(std::string_view name)
{
    const auto hash = static_cast<std::uint32_t>(hash_name(name) >> 32);
    return hash == no_tag ? 1 : hash;
}

registration_effect apply_registration(backend_directory& directory,
                                       const backend_registration& registration, millis now)
{
    const auto found = directory.by_name.find(registration.name);
    const bool is_new = found == directory.by_name.end();
    const backend_index index = is_new ? add_entry(directory, registration.name) : found->second;
    known_backend& entry = directory.entries[index];
    if (!is_new && registration.start_time_ms < entry.registration.start_time_ms)
    {
        return registration_effect::none;
    }
    const bool is_restarted = !is_new && is_new_incarnation(entry, registration);
    const bool was_draining = !is_new && !is_restarted && entry.registration.is_draining;
    if (is_restarted)
    {
        remove_from_indexes(directory, index);
        const backend_evidence before = entry.evidence;
        entry.evidence = backend_evidence{};
        entry.evidence.in_flight = before.in_flight;
        entry.evidence.open_flows = before.open_flows;
    }
    entry.registration = registration;
    entry.registration.is_draining = registration.is_draining || was_draining;
    entry.service = service_id_of(registration.service);
    entry.tag = tag_of(registration.name);
    entry.warm_until = now + registration.warm_up_remaining;
    entry.is_evacuated = is_evacuated(directory.evacuated, registration.zone);
    set_phase(entry,
              entry.registration.is_draining ? backend_phase::draining : backend_phase::serving,
              now);
    if (is_new || is_restarted)
    {
        add_to_indexes(directory, index);
        return is_new ? registration_effect::added : registration_effect::restarted;
    }
    return entry.registration.is_draining && !was_draining ? registration_effect::drained
                                                           : registration_effect::updated;
}

bool set_zone_evacuated(backend_directory& directory, std::string_view zone, bool is_ordered)
{
    if (!set_evacuated(directory.evacuated, zone, is_ordered))
    {
        return false;
    }
    for (known_backend& entry : directory.entries)
    {
        if (entry.registration.zone == zone)
        {
            entry.is_evacuated = is_ordered;
        }
    }
    return true;
}

std::uint32_t flows_in_zone(const backend_directory& directory, std::string_view zone)
{
    std::uint32_t flows = 0;
    for (const known_backend& entry : directory.entries)
    {
        flows += entry.registration.zone == zone ? entry.evidence.in_flight : 0;
    }
    return flows;
}

bool mark_unlisted(backend_directory& directory, const std::string& name, millis now)
{
    const auto found = directory.by_name.find(name);
    if (found == directory.by_name.end() ||
        directory.entries[found->second].phase == backend_phase::unlisted)
    {
        return false;
    }
    known_backend& entry = directory.entries[found->second];
    // One that was draining has left permanently, so it gets no grace period.
    const millis unlisted_since =
        entry.phase == backend_phase::draining ? now - expiry_grace_period : now;
    entry.phase = backend_phase::unlisted;
    entry.phase_since = unlisted_since;
    return true;
}

void forget_unlisted(backend_directory& directory, millis now)
{
    for (backend_index index = 0; index < directory.entries.size(); ++index)
    {
        known_backend& entry = directory.entries[index];
        const bool is_old =
            entry.phase == backend_phase::unlisted && now > entry.phase_since + unlisted_retention;
        if (entry.registration.name.empty() || !is_old || entry.remembered_flows > 0)
        {
            continue;
        }
        remove_from_indexes(directory, index);
        directory.by_name.erase(entry.registration.name);
        entry = known_backend{};
        directory.unused.push_back(index);
    }
}

std::optional<backend_index> find_by_tag(const backend_directory& directory, service_id service,
                                         std::uint32_t tag)
{
    const std::optional<backend_index> found =
        find_by_tag_identity(directory, service, tag & tag_identity_mask);
    return found && directory.entries[*found].tag == tag ? found : std::nullopt;
}

std::optional<backend_index> find_by_tag_identity(const backend_directory& directory,
                                                  service_id service, std::uint32_t identity)
{
    const auto found = directory.by_tag.find(tag_key(service, identity));
    if (found == directory.by_tag.end())
    {
        return std::nullopt;
    }
    // The map's key is a hash of service and identity, so the entry may belong to another pair.
    const known_backend& entry = directory.entries[found->second];
    const bool is_match = entry.service == service && (entry.tag & tag_identity_mask) == identity;
    return is_match ? std::optional(found->second) : std::nullopt;
}

identity_owners find_owners(const backend_directory& directory, std::uint32_t identity)
{
    identity_owners owners;
    const auto [begin, end] = directory.by_identity.equal_range(identity);
    for (auto candidate = begin; candidate != end; ++candidate)
    {
        const known_backend& entry = directory.entries[candidate->second];
        const auto owner = directory.by_tag.find(tag_key(entry.service, entry.tag));
        if (owner == directory.by_tag.end() || owner->second != candidate->second)
        {
            continue;
        }
        owners.is_any_listed = owners.is_any_listed || entry.phase != backend_phase::unlisted;
        owners.are_several = owners.are_several || owners.sole;
        owners.sole = owners.are_several ? std::nullopt : std::optional(candidate->second);
    }
    return owners;
}

void set_entry_unusable(backend_directory& directory, const std::string& name, bool is_unusable)
{
    const std::uint32_t identity = tag_of(name) & tag_identity_mask;
    if (is_unusable)
    {
        directory.unusable_identities.insert(identity);
    }
    else
    {
        directory.unusable_identities.erase(identity);
    }
}

bool is_identity_unusable(const backend_directory& directory, std::uint32_t identity)
{
    return directory.unusable_identities.count(identity) > 0;
}

const std::vector<backend_index>& backends_of(const backend_directory& directory,
                                              service_id service)
{
    static const std::vector<backend_index> none;
    const auto found = directory.by_service.find(service);
    return found == directory.by_service.end() ? none : found->second;
}

} // namespace briarbarrow

#include "adapters/configuration_store.hpp"

#include <algorithm>
#include <optional>

#include "adapters/etcd_codec.hpp"
#include "adapters/platform_client.hpp"

namespace briarbarrow
{

namespace
{

constexpr int max_resolve_attempts = 20;
constexpr gulong resolve_delay_microseconds = 250'000;

std::string key_of(const store_location& location, std::string_view name)
{
    return location.prefix + std::string(name);
}

// Key of an audit entry. The revision is padded with zeros so that keys sort by revision.
std::string audit_key(const store_location& location, std::uint64_t revision)
{
    std::string digits = std::to_string(revision);
    constexpr std::size_t width = 12;
    digits.insert(0, width - std::min(width, digits.size()), '0');
    return key_of(location, audit_prefix) + digits;
}

result<range_response, text_error> range(SoupSession* session, const store_location& location,
                                         const std::string& key, const std::string& end)
{
    const call_result response =
        post_json_and_wait(session, location.platform, "/v3/kv/range", encode_range(key, end));
    if (!response)
    {
        return text_error{"no response from the platform at " + to_string(location.platform) +
                          ": " + response.error().message};
    }
    return decode_range(response.value());
}

// What reading back a change finds at its audit key.
enum class read_back : std::uint8_t
{
    own_change,
    other_change,
    absent,
    read_failed
};

read_back read_back_change(SoupSession* session, const store_location& location,
                           const audit_entry& entry)
{
    const auto response = range(session, location, audit_key(location, entry.revision), "");
    if (!response)
    {
        return read_back::read_failed;
    }
    if (response.value().entries.empty())
    {
        return read_back::absent;
    }
    const auto stored = audit_from_json(response.value().entries.front().value);
    const bool is_own = stored && stored.value().change_id == entry.change_id;
    return is_own ? read_back::own_change : read_back::other_change;
}

// Sends the transaction once. Empty when its outcome is unknown, as when the response is lost.
std::optional<write_outcome> send_transaction(SoupSession* session, const store_location& location,
                                              const std::string& body)
{
    const call_result response = post_json_and_wait(session, location.platform, "/v3/kv/txn", body);
    if (!response)
    {
        return response.error().may_have_taken_effect ? std::nullopt
                                                      : std::optional(write_outcome::not_written);
    }
    const auto succeeded = decode_transaction(response.value());
    if (!succeeded)
    {
        return std::nullopt;
    }
    return succeeded.value() ? write_outcome::written : write_outcome::conflict;
}

// Determines the outcome of a transaction whose response was lost. Reads the change back first.
// When it is absent, the first request may still be in flight, so the same transaction is sent
// again: of two equal transactions at most one can take effect, since both expect the same mod
// revision.
write_outcome resolve_lost_response(SoupSession* session, const store_location& location,
                                    const audit_entry& entry, const std::string& body)
{
    for (int i = 0; i < max_resolve_attempts; ++i)
    {
        const read_back found = read_back_change(session, location, entry);
        if (found == read_back::own_change)
        {
            return write_outcome::written;
        }
        if (found == read_back::other_change)
        {
            return write_outcome::conflict;
        }
        const auto retried = found == read_back::absent ? send_transaction(session, location, body)
                                                        : std::optional<write_outcome>();
        if (retried == write_outcome::written)
        {
            return write_outcome::written;
        }
        // A failed comparison may be due to our own first request, so the change is read back at
        // once.
        g_usleep(retried == write_outcome::conflict ? 0 : resolve_delay_microseconds);
    }
    return write_outcome::unknown;
}

} // namespace

result<stored_configuration, text_error> read_configuration(SoupSession* session,
                                                            const store_location& location)
{
    const auto response = range(session, location, key_of(location, configuration_key), "");
    if (!response)
    {
        return response.error();
    }
    stored_configuration stored;
    if (response.value().entries.empty())
    {
        return stored;
    }
    const key_value& entry = response.value().entries.front();
    auto value = configuration_from_json(entry.value);
    if (!value)
    {
        return value.error();
    }
    stored.value = std::move(value.value());
    stored.text = entry.value;
    stored.mod_revision = entry.mod_revision;
    return stored;
}

result<std::vector<reported_host>, text_error> read_hosts(SoupSession* session,
                                                          const store_location& location)
{
    const std::string prefix = key_of(location, hosts_prefix);
    const auto response = range(session, location, prefix, prefix_end(prefix));
    if (!response)
    {
        return response.error();
    }
    std::vector<reported_host> hosts;
    for (const key_value& entry : response.value().entries)
    {
        const auto host = host_from_json(entry.value);
        if (host)
        {
            hosts.push_back(host.value());
        }
    }
    return hosts;
}

result<std::vector<audit_entry>, text_error> read_audit(SoupSession* session,
                                                        const store_location& location)
{
    const std::string prefix = key_of(location, audit_prefix);
    const auto response = range(session, location, prefix, prefix_end(prefix));
    if (!response)
    {
        return response.error();
    }
    std::vector<audit_entry> trail;
    for (const key_value& stored : response.value().entries)
    {
        const auto entry = audit_from_json(stored.value);
        if (entry)
        {
            trail.push_back(entry.value());
        }
    }
    return trail;
}

write_outcome write_configuration(SoupSession* session, const store_location& location,
                                  const stored_configuration& read, const configuration& wanted,
                                  const audit_entry& entry)
{
    transaction_request request;
    request.compared_key = key_of(location, configuration_key);
    request.expected_mod_revision = read.mod_revision;
    request.puts.push_back({request.compared_key, configuration_to_json(wanted)});
    request.puts.push_back({audit_key(location, entry.revision), audit_to_json(entry)});
    const std::string body = encode_transaction(request);
    const auto outcome = send_transaction(session, location, body);
    return outcome ? *outcome : resolve_lost_response(session, location, entry, body);
}

} // namespace briarbarrow

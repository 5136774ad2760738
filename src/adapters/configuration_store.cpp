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

// Audit keys sort by revision.
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
    const call_result answer =
        post_json_and_wait(session, location.platform, "/v3/kv/range", encode_range(key, end));
    if (!answer)
    {
        return text_error{"the platform at " + to_string(location.platform) +
                          " did not answer: " + answer.error().message};
    }
    return decode_range(answer.value());
}

// What the store says of a change whose answer was lost.
enum class read_back : std::uint8_t
{
    ours,
    other_change,
    absent,
    read_failed
};

read_back read_back_change(SoupSession* session, const store_location& location,
                           const audit_entry& entry)
{
    const auto answer = range(session, location, audit_key(location, entry.revision), "");
    if (!answer)
    {
        return read_back::read_failed;
    }
    if (answer.value().entries.empty())
    {
        return read_back::absent;
    }
    const auto stored = audit_from_json(answer.value().entries.front().value);
    const bool ours = stored && stored.value().change_id == entry.change_id;
    return ours ? read_back::ours : read_back::other_change;
}

// Sends the swap once. Nothing when the answer was lost.
std::optional<write_outcome> send_transaction(SoupSession* session, const store_location& location,
                                              const std::string& body)
{
    const call_result answer = post_json_and_wait(session, location.platform, "/v3/kv/txn", body);
    if (!answer)
    {
        return answer.error().maybe_done ? std::nullopt : std::optional(write_outcome::not_written);
    }
    const auto swapped = decode_transaction(answer.value());
    if (!swapped)
    {
        return std::nullopt;
    }
    return swapped.value() ? write_outcome::written : write_outcome::conflict;
}

// Settles a change whose answer was lost. The change id is read back first. When the change is not
// there, the first request may still be on its way; the same swap is then sent once more, since
// of two equal swaps at most one can take effect, and its answer tells.
write_outcome settle(SoupSession* session, const store_location& location, const audit_entry& entry,
                     const std::string& body)
{
    for (int i = 0; i < max_resolve_attempts; ++i)
    {
        const read_back found = read_back_change(session, location, entry);
        if (found == read_back::ours)
        {
            return write_outcome::written;
        }
        if (found == read_back::other_change)
        {
            return write_outcome::conflict;
        }
        const auto again = found == read_back::absent ? send_transaction(session, location, body)
                                                      : std::optional<write_outcome>();
        if (again == write_outcome::written)
        {
            return write_outcome::written;
        }
        // After a failed comparison the change id tells whether the first request was the cause.
        g_usleep(again == write_outcome::conflict ? 0 : resolve_delay_microseconds);
    }
    return write_outcome::unknown;
}

} // namespace

result<stored_configuration, text_error> read_configuration(SoupSession* session,
                                                            const store_location& location)
{
    const auto answer = range(session, location, key_of(location, configuration_key), "");
    if (!answer)
    {
        return answer.error();
    }
    stored_configuration stored;
    if (answer.value().entries.empty())
    {
        return stored;
    }
    const key_value& entry = answer.value().entries.front();
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

result<std::vector<told_host>, text_error> read_hosts(SoupSession* session,
                                                      const store_location& location)
{
    const std::string prefix = key_of(location, hosts_prefix);
    const auto answer = range(session, location, prefix, prefix_end(prefix));
    if (!answer)
    {
        return answer.error();
    }
    std::vector<told_host> hosts;
    for (const key_value& entry : answer.value().entries)
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
    const auto answer = range(session, location, prefix, prefix_end(prefix));
    if (!answer)
    {
        return answer.error();
    }
    std::vector<audit_entry> trail;
    for (const key_value& stored : answer.value().entries)
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
    return outcome ? *outcome : settle(session, location, entry, body);
}

} // namespace briarbarrow

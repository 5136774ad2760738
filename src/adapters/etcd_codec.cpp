#include "adapters/etcd_codec.hpp"

#include <glib.h>
#include <nlohmann/json.hpp>

namespace briarbarrow
{

namespace
{

using nlohmann::json;

std::int64_t integer_field(const json& value, const char* name)
{
    if (!value.contains(name))
    {
        return 0;
    }
    const json& field = value.at(name);
    return field.is_string() ? std::stoll(field.get<std::string>()) : field.get<std::int64_t>();
}

std::string bytes_field(const json& value, const char* name)
{
    return value.contains(name) ? from_base64(value.at(name).get<std::string>()) : std::string();
}

std::int64_t store_revision_of(const json& value)
{
    return value.contains("header") ? integer_field(value.at("header"), "revision") : 0;
}

key_value key_value_from(const json& value)
{
    key_value entry;
    entry.key = bytes_field(value, "key");
    entry.value = bytes_field(value, "value");
    entry.mod_revision = integer_field(value, "mod_revision");
    entry.lease = integer_field(value, "lease");
    return entry;
}

range_response range_from(const json& value)
{
    range_response response;
    response.store_revision = store_revision_of(value);
    if (value.contains("kvs"))
    {
        for (const json& entry : value.at("kvs"))
        {
            response.entries.push_back(key_value_from(entry));
        }
    }
    return response;
}

watch_response watch_from(const json& value)
{
    watch_response response;
    const json& inner = value.at("result");
    response.store_revision = store_revision_of(inner);
    if (!inner.contains("events"))
    {
        return response;
    }
    for (const json& event : inner.at("events"))
    {
        const key_value entry = key_value_from(event.at("kv"));
        const bool deleted = event.value("type", "PUT") == "DELETE";
        if (deleted)
        {
            response.deletes.push_back(entry.key);
        }
        else
        {
            response.puts.push_back(entry);
        }
    }
    return response;
}

template <typename Read>
auto read_response(std::string_view body, Read read) -> result<decltype(read(json())), text_error>
{
    try
    {
        return read(json::parse(body));
    }
    catch (const std::exception& error)
    {
        return text_error{std::string("invalid response from the platform: ") + error.what()};
    }
}

} // namespace

std::string to_base64(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const guchar*>(bytes.data());
    gchar* encoded = g_base64_encode(data, bytes.size());
    std::string text(encoded);
    g_free(encoded);
    return text;
}

std::string from_base64(std::string_view text)
{
    const std::string copy(text);
    gsize size = 0;
    guchar* decoded = g_base64_decode(copy.c_str(), &size);
    std::string bytes(reinterpret_cast<const char*>(decoded), size);
    g_free(decoded);
    return bytes;
}

std::string prefix_end(std::string prefix)
{
    // Prefixes end with "/", so incrementing the last byte never overflows.
    ++prefix.back();
    return prefix;
}

std::string encode_range(std::string_view key, std::string_view range_end)
{
    json body{{"key", to_base64(key)}};
    if (!range_end.empty())
    {
        body["range_end"] = to_base64(range_end);
    }
    return body.dump();
}

std::string encode_put(const put_operation& put, std::int64_t lease)
{
    json body{{"key", to_base64(put.key)}, {"value", to_base64(put.value)}};
    if (lease != 0)
    {
        body["lease"] = std::to_string(lease);
    }
    return body.dump();
}

std::string encode_transaction(const transaction_request& request)
{
    const json compare{{"key", to_base64(request.compared_key)},
                       {"target", "MOD"},
                       {"result", "EQUAL"},
                       {"mod_revision", std::to_string(request.expected_mod_revision)}};
    json success = json::array();
    for (const put_operation& put : request.puts)
    {
        const json operation{{"key", to_base64(put.key)}, {"value", to_base64(put.value)}};
        success.push_back(json{{"request_put", operation}});
    }
    for (const std::string& key : request.deletes)
    {
        success.push_back(json{{"request_delete_range", {{"key", to_base64(key)}}}});
    }
    const json body{{"compare", json::array({compare})}, {"success", success}};
    return body.dump();
}

std::string encode_watch(std::string_view key, std::string_view range_end)
{
    const json create{{"key", to_base64(key)}, {"range_end", to_base64(range_end)}};
    return json{{"create_request", create}}.dump();
}

std::string encode_lease_grant(std::int64_t seconds)
{
    return json{{"TTL", std::to_string(seconds)}}.dump();
}

std::string encode_lease_id(std::int64_t lease)
{
    return json{{"ID", std::to_string(lease)}}.dump();
}

result<range_response, text_error> decode_range(std::string_view body)
{
    return read_response(body, range_from);
}

result<bool, text_error> decode_transaction(std::string_view body)
{
    return read_response(body, [](const json& value) { return value.value("succeeded", false); });
}

result<watch_response, text_error> decode_watch(std::string_view line)
{
    return read_response(line, watch_from);
}

result<std::int64_t, text_error> decode_lease_grant(std::string_view body)
{
    return read_response(body, [](const json& value) { return integer_field(value, "ID"); });
}

result<std::int64_t, text_error> decode_keep_alive(std::string_view body)
{
    return read_response(body, [](const json& value)
                         { return integer_field(value.at("result"), "TTL"); });
}

} // namespace briarbarrow

#include "testing/soak/soak_store.hpp"

#include <cstdlib>
#include <iostream>

#include <glib.h>
#include <nlohmann/json.hpp>

#include "net/monotonic_clock.hpp"

namespace briarbarrow
{

namespace
{

using json = nlohmann::json;

// So few that each read takes several pages.
constexpr std::size_t items_per_page = 5;

json make_item(const std::string& key, const stored_value& stored)
{
    char* text =
        g_base64_encode(reinterpret_cast<const guchar*>(stored.value.data()), stored.value.size());
    json item{{"Key", key},
              {"Value", text},
              {"Revision", stored.mod_revision},
              {"Created", stored.mod_revision},
              {"Lease", 0}};
    g_free(text);
    return item;
}

// Parses the decimal number that follows `name` in the path; 0 if `name` does not occur.
std::int64_t parse_number_after(std::string_view path, std::string_view name)
{
    const std::size_t position = path.find(name);
    return position == std::string_view::npos
               ? 0
               : std::strtoll(std::string(path.substr(position + name.size())).c_str(), nullptr,
                              10);
}

// Returns the unescaped value of a query parameter; empty if there is none.
std::string find_parameter(std::string_view path, std::string_view name)
{
    const std::size_t position = path.find(name);
    if (position == std::string_view::npos)
    {
        return "";
    }
    const std::string_view rest = path.substr(position + name.size());
    const std::string escaped(rest.substr(0, rest.find('&')));
    char* text = g_uri_unescape_string(escaped.c_str(), nullptr);
    std::string value(text == nullptr ? "" : text);
    g_free(text);
    return value;
}

} // namespace

soak_store::soak_store(const endpoint& local)
{
    auto opened = http_responder::open(local, [this](const http_query& query)
                                       { return this->handle_request(query); });
    if (!opened)
    {
        std::cerr << opened.error().message << "\n";
        std::exit(EXIT_FAILURE);
    }
    this->server = std::move(opened).value();
}

void soak_store::put(const std::string& key, const std::string& value)
{
    put_value(this->data, key, value, 0);
}

void soak_store::put_if_lost(const std::string& key, const std::string& value)
{
    const auto found = this->data.values.find(key);
    if (found == this->data.values.end() || found->second.value != value)
    {
        this->put(key, value);
    }
}

void soak_store::remove(const std::string& key)
{
    delete_value(this->data, key);
}

void soak_store::compact_history()
{
    this->data.changes.clear();
    this->compacted_revision = this->data.revision;
}

void soak_store::copy()
{
    this->copied_data = this->data;
    this->copied_compacted_revision = this->compacted_revision;
}

void soak_store::restore_copy()
{
    this->data = this->copied_data;
    this->compacted_revision = this->copied_compacted_revision;
    ++this->era;
}

void soak_store::set_busy(bool busy)
{
    this->is_busy = busy;
}

void soak_store::tick()
{
    expire_leases(this->data, monotonic_now());
    this->server->serve_pending();
}

http_page soak_store::handle_request(const http_query& query)
{
    http_page page;
    if (this->is_busy)
    {
        page.status = 503;
        return page;
    }
    const auto is_call = [&query](std::string_view name)
    {
        return query.path.find(name) != std::string_view::npos;
    };
    page = is_call("kv-watch")   ? this->handle_watch(query)
           : is_call("kv-key")   ? this->handle_key(query)
           : is_call("kv-lease") ? this->handle_lease(query)
           : is_call("kv-keep")  ? this->handle_renewal(query)
           : is_call("kv-txn")   ? this->handle_write(query)
                                 : this->handle_read(query);
    page.headers = "Store-Era: " + std::to_string(this->era) + "\r\n";
    return page;
}

http_page soak_store::handle_key(const http_query& query) const
{
    const std::string key = find_parameter(query.path, "Key=");
    const auto found = this->data.values.find(key);
    http_page page;
    if (found == this->data.values.end())
    {
        page.status = 404;
        return page;
    }
    page.body = make_item(key, found->second).dump();
    return page;
}

http_page soak_store::handle_lease(const http_query& query)
{
    const millis duration{json::parse(query.body).at("TtlMs").get<std::int64_t>()};
    http_page page;
    page.body =
        json{{"Lease",
              static_cast<std::uint64_t>(grant_lease(this->data, duration, monotonic_now()))},
             {"TtlMs", duration.count}}
            .dump();
    return page;
}

http_page soak_store::handle_renewal(const http_query& query)
{
    const std::int64_t lease = parse_number_after(query.path, "kv-keep/");
    const millis duration = renew_lease(this->data, lease, monotonic_now());
    http_page page;
    page.status = duration > millis{} ? 200 : 404;
    page.body = json{{"TtlMs", duration.count}}.dump();
    return page;
}

http_page soak_store::handle_write(const http_query& query)
{
    const json body = json::parse(query.body);
    http_page page;
    for (const json& entry : body.at("Puts"))
    {
        const auto lease = entry.at("Lease").get<std::int64_t>();
        if (lease != 0 && this->data.leases.count(lease) == 0)
        {
            page.status = 404;
            return page;
        }
    }
    for (const json& entry : body.at("Puts"))
    {
        gsize length = 0;
        guchar* bytes = g_base64_decode(entry.at("Value").get<std::string>().c_str(), &length);
        put_value(this->data, entry.at("Key").get<std::string>(),
                  std::string(reinterpret_cast<const char*>(bytes), length),
                  entry.at("Lease").get<std::int64_t>());
        g_free(bytes);
    }
    page.body = json{{"Revision", this->data.revision}}.dump();
    return page;
}

http_page soak_store::handle_read(const http_query& query) const
{
    const std::string after = find_parameter(query.path, "&after=");
    http_page page;
    json items = json::array();
    bool has_more = false;
    for (const auto& [key, stored] : this->data.values)
    {
        if (key <= after)
        {
            continue;
        }
        has_more = items.size() == items_per_page;
        if (has_more)
        {
            break;
        }
        items.push_back(make_item(key, stored));
    }
    page.body =
        json{{"items", items}, {"HasMore", has_more}, {"CurrentRev", this->data.revision}}.dump();
    return page;
}

http_page soak_store::handle_watch(const http_query& query)
{
    const std::int64_t after = parse_number_after(query.path, "after=");
    const millis wait{parse_number_after(query.path, "WaitMs=")};
    http_page page;
    if (after < this->compacted_revision || after > this->data.revision)
    {
        page.status = 410;
        return page;
    }
    json events = json::array();
    for (const store_change& change : this->data.changes)
    {
        if (!change.deleted && change.value.mod_revision > after)
        {
            events.push_back(make_item(change.key, change.value));
        }
        else if (change.deleted && change.value.mod_revision > after)
        {
            events.push_back(json{
                {"Key", change.key}, {"Revision", change.value.mod_revision}, {"Deleted", true}});
        }
    }
    if (events.empty() && query.waited < wait)
    {
        page.is_deferred = true;
        return page;
    }
    page.body = json{{"events", events}, {"CurrentRev", this->data.revision}}.dump();
    return page;
}

} // namespace briarbarrow

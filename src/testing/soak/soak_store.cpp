#include "testing/soak/soak_store.hpp"

#include <cstdlib>
#include <iostream>

#include <glib.h>
#include <nlohmann/json.hpp>

namespace briarbarrow
{

namespace
{

using json = nlohmann::json;

json item_of(const std::string& key, const stored_value& stored)
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

std::int64_t number_in(std::string_view path, std::string_view name)
{
    const std::size_t place = path.find(name);
    return place == std::string_view::npos
               ? 0
               : std::strtoll(std::string(path.substr(place + name.size())).c_str(), nullptr, 10);
}

} // namespace

soak_store::soak_store(const endpoint& local)
{
    auto opened = http_responder::open(local, [this](const http_query& query)
                                       { return this->answer(query); });
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

void soak_store::remove(const std::string& key)
{
    delete_value(this->data, key);
}

void soak_store::forget_history()
{
    this->data.changes.clear();
    this->oldest = this->data.revision;
}

void soak_store::set_busy(bool wanted)
{
    this->is_busy = wanted;
}

void soak_store::tick()
{
    this->server->serve_pending();
}

http_page soak_store::answer(const http_query& query)
{
    http_page page;
    if (this->is_busy)
    {
        page.status = 503;
        return page;
    }
    if (query.path.find("kv-watch") != std::string_view::npos)
    {
        return this->answer_watch(query);
    }
    json items = json::array();
    for (const auto& [key, stored] : this->data.values)
    {
        items.push_back(item_of(key, stored));
    }
    page.body =
        json{{"items", items}, {"HasMore", false}, {"CurrentRev", this->data.revision}}.dump();
    return page;
}

http_page soak_store::answer_watch(const http_query& query)
{
    const std::int64_t after = number_in(query.path, "after=");
    const millis wait{number_in(query.path, "WaitMs=")};
    http_page page;
    if (after < this->oldest)
    {
        page.status = 410;
        return page;
    }
    json events = json::array();
    for (const store_change& change : this->data.changes)
    {
        if (!change.deleted && change.value.mod_revision > after)
        {
            events.push_back(item_of(change.key, change.value));
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

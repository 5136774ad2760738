#include "store.hpp"

#include <algorithm>
#include <cstdlib>
#include <optional>

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace review
{

namespace
{

using json = nlohmann::json;

constexpr std::int64_t history_ms = 20'000;
constexpr std::size_t max_page_items = 500;
constexpr std::size_t max_page_bytes = 1'000'000;
// A link's bytes that may go at once.
constexpr double burst_bytes = 16'384;

} // namespace

bool store::open_port(const address& local, double bytes_per_s)
{
    const int opened = open_listener(local);
    this->ports.push_back({opened, bytes_per_s, burst_bytes});
    return opened >= 0;
}

std::string store::to_json(const std::string& key, const item& stored)
{
    // Keys of this store need no escapes.
    return R"({"Key":")" + key + R"(","Value":")" + encode_base64(stored.value) +
           R"(","Revision":)" + std::to_string(stored.revision) + R"(,"Created":)" +
           std::to_string(stored.created) + R"(,"Lease":)" + std::to_string(stored.lease) + "}";
}

void store::apply(const std::string& key, const std::string* value, std::int64_t lease)
{
    if (value == nullptr)
    {
        if (this->items.erase(key) > 0)
        {
            this->history.push_back({this->now, this->revision, key,
                                     R"({"Key":")" + key + R"(","Revision":)" +
                                         std::to_string(this->revision) + R"(,"Deleted":true})"});
        }
        return;
    }
    item& stored = this->items[key];
    stored.created = stored.created == 0 ? this->revision : stored.created;
    stored.value = *value;
    stored.revision = this->revision;
    stored.lease = lease;
    this->history.push_back({this->now, this->revision, key, to_json(key, stored)});
}

void store::change(const std::map<std::string, std::string>& puts,
                   const std::vector<std::string>& removed)
{
    ++this->revision;
    for (const auto& [key, value] : puts)
    {
        this->apply(key, &value, 0);
    }
    for (const std::string& key : removed)
    {
        this->apply(key, nullptr, 0);
    }
}

void store::set_quiet(bool quiet)
{
    this->is_quiet = quiet;
}

void store::drop_history()
{
    this->history.clear();
    this->dropped_revision = this->revision;
}

void store::put(const std::string& key, const std::string& value)
{
    this->change({{key, value}}, {});
}

void store::remove(const std::string& key)
{
    this->change({}, {key});
}

std::string store::read_key(const std::string& path) const
{
    const auto found = this->items.find(find_parameter(path, "Key"));
    if (found == this->items.end())
    {
        return make_response(404, "", "{}");
    }
    std::string text = to_json(found->first, found->second);
    text.pop_back();
    return make_response(200, "",
                         text + R"(,"CurrentRev":)" + std::to_string(this->revision) + "}");
}

std::string store::read_range(const std::string& path) const
{
    const std::string prefix = find_parameter(path, "Prefix");
    const std::string after = find_parameter(path, "after");
    std::string list;
    std::size_t count = 0;
    bool has_more = false;
    for (auto entry = this->items.upper_bound(after); entry != this->items.end(); ++entry)
    {
        if (!entry->first.starts_with(prefix))
        {
            continue;
        }
        const std::string text = to_json(entry->first, entry->second);
        has_more =
            count > 0 && (count >= max_page_items || list.size() + text.size() > max_page_bytes);
        if (has_more)
        {
            break;
        }
        list += (count > 0 ? "," : "") + text;
        ++count;
    }
    return make_response(200, "",
                         R"({"items":[)" + list + R"(],"HasMore":)" +
                             (has_more ? "true" : "false") + R"(,"CurrentRev":)" +
                             std::to_string(this->revision) + "}");
}

std::string store::write(const std::string& body)
{
    const json call = json::parse(body, nullptr, false);
    if (!call.is_object())
    {
        return make_response(400, "", "{}");
    }
    for (const json& expected : call.value("Expect", json::array()))
    {
        const auto found = this->items.find(expected.value("Key", ""));
        const std::int64_t held = found == this->items.end() ? 0 : found->second.revision;
        if (held != expected.value("Revision", std::int64_t{0}))
        {
            return make_response(412, "", R"({"items":[]})");
        }
    }
    for (const json& entry : call.value("Puts", json::array()))
    {
        const std::string key = entry.value("Key", "");
        const auto lease = entry.value("Lease", std::int64_t{0});
        if (key.starts_with("op/") || key.starts_with("servers/"))
        {
            return make_response(403, "", "{}");
        }
        if (lease != 0 && this->leases.count(lease) == 0)
        {
            return make_response(404, "", "{}");
        }
    }
    ++this->revision;
    for (const json& entry : call.value("Puts", json::array()))
    {
        const std::string value = decode_base64(entry.value("Value", ""));
        this->apply(entry.value("Key", ""), &value, entry.value("Lease", std::int64_t{0}));
    }
    for (const json& key : call.value("Remove", json::array()))
    {
        this->apply(key.get<std::string>(), nullptr, 0);
    }
    return make_response(200, "", R"({"Revision":)" + std::to_string(this->revision) + "}");
}

std::string store::open_lease(const std::string& body)
{
    const json call = json::parse(body, nullptr, false);
    const std::int64_t duration = call.is_object() ? call.value("TtlMs", std::int64_t{0}) : 0;
    const std::int64_t lease = this->next_lease++;
    this->leases[lease] = {duration, this->now + duration};
    return make_response(200, "",
                         R"({"Lease":)" + std::to_string(lease) + R"(,"TtlMs":)" +
                             std::to_string(duration) + "}");
}

std::string store::keep_lease(std::int64_t lease)
{
    const auto found = this->leases.find(lease);
    if (found == this->leases.end())
    {
        return make_response(404, "", "{}");
    }
    found->second.second = this->now + found->second.first;
    return make_response(200, "", R"({"TtlMs":)" + std::to_string(found->second.first) + "}");
}

void store::end_lease(std::int64_t lease)
{
    this->leases.erase(lease);
    std::vector<std::string> ended;
    for (const auto& [key, stored] : this->items)
    {
        if (stored.lease == lease)
        {
            ended.push_back(key);
        }
    }
    if (!ended.empty())
    {
        this->change({}, ended);
    }
}

void store::begin_watch(connection& from, const std::string& path)
{
    from.prefix = find_parameter(path, "Prefix");
    from.after_revision = std::strtoll(find_parameter(path, "after").c_str(), nullptr, 10);
    from.waits_until =
        this->now + std::strtoll(find_parameter(path, "WaitMs").c_str(), nullptr, 10);
    from.is_waiting = true;
    this->answer_watch(from);
}

void store::answer_watch(connection& from)
{
    if (this->is_quiet)
    {
        return;
    }
    if (from.after_revision < this->dropped_revision)
    {
        from.is_waiting = false;
        from.unsent += make_response(410, "", "{}");
        return;
    }
    std::string list;
    const auto first = std::partition_point(this->history.begin(), this->history.end(),
                                            [&from](const event& entry)
                                            { return entry.revision <= from.after_revision; });
    for (auto entry = first; entry != this->history.end(); ++entry)
    {
        if (entry->key.starts_with(from.prefix))
        {
            list += (list.empty() ? "" : ",") + entry->text;
        }
    }
    if (list.empty() && this->now < from.waits_until)
    {
        return;
    }
    from.is_waiting = false;
    from.unsent += make_response(200, "",
                                 R"({"events":[)" + list + R"(],"CurrentRev":)" +
                                     std::to_string(this->revision) + "}");
}

void store::handle(connection& from, const http_request& request)
{
    const std::string& path = request.path;
    const std::string keep = "/kv-keep/";
    const std::string end = "/kv-lease-end/";
    if (path.find("/kv-watch") != std::string::npos)
    {
        this->begin_watch(from, path);
    }
    else if (path.find("/kv-range") != std::string::npos)
    {
        from.unsent += this->read_range(path);
    }
    else if (path.find("/kv-key") != std::string::npos)
    {
        from.unsent += this->read_key(path);
    }
    else if (path.find("/kv-txn") != std::string::npos)
    {
        from.unsent += this->write(request.body);
    }
    else if (const std::size_t kept = path.find(keep); kept != std::string::npos)
    {
        from.unsent +=
            this->keep_lease(std::strtoll(path.c_str() + kept + keep.size(), nullptr, 10));
    }
    else if (const std::size_t ended = path.find(end); ended != std::string::npos)
    {
        this->end_lease(std::strtoll(path.c_str() + ended + end.size(), nullptr, 10));
        from.unsent += make_response(200, "", "{}");
    }
    else
    {
        from.unsent += path.find("/kv-lease") != std::string::npos ? this->open_lease(request.body)
                                                                   : make_response(404, "", "{}");
    }
}

void store::send_unsent(connection& to)
{
    port& link = this->ports[to.port];
    const std::size_t before = to.unsent.size();
    const std::size_t limit = link.bytes_per_s > 0
                                  ? static_cast<std::size_t>(std::max(0.0, link.allowance))
                                  : to.unsent.size();
    if (!send_bytes(to.socket, to.unsent, limit))
    {
        to.is_closed = true;
    }
    link.allowance -= static_cast<double>(before - to.unsent.size());
}

void store::run(std::int64_t time)
{
    this->now = time;
    for (std::size_t i = 0; i < this->ports.size(); ++i)
    {
        port& link = this->ports[i];
        link.allowance = std::min(
            burst_bytes,
            link.allowance + link.bytes_per_s * static_cast<double>(time - this->last_run) / 1'000);
        const bool is_limited = link.bytes_per_s > 0;
        for (int accepted = accept_connection(link.listener, is_limited); accepted >= 0;
             accepted = accept_connection(link.listener, is_limited))
        {
            connection& opened = this->connections.emplace_back();
            opened.socket = accepted;
            opened.port = i;
        }
    }
    this->last_run = time;
    while (!this->history.empty() && this->history.front().at + history_ms < time)
    {
        this->dropped_revision = this->history.front().revision;
        this->history.pop_front();
    }
    std::vector<std::int64_t> expired;
    for (const auto& [lease, times] : this->leases)
    {
        if (times.second < time)
        {
            expired.push_back(lease);
        }
    }
    for (const std::int64_t lease : expired)
    {
        this->end_lease(lease);
    }
    for (connection& open : this->connections)
    {
        open.is_closed = !receive_bytes(open.socket, open.received) || open.is_closed;
        http_request request;
        while (!open.is_closed && !open.is_waiting && take_request(open.received, request))
        {
            this->handle(open, request);
        }
        if (open.is_waiting)
        {
            this->answer_watch(open);
        }
        this->send_unsent(open);
    }
    for (const connection& open : this->connections)
    {
        if (open.is_closed)
        {
            close(open.socket);
        }
    }
    this->connections.remove_if([](const connection& open) { return open.is_closed; });
}

} // namespace review

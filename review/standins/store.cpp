#include "store.hpp"

#include <cerrno>
#include <cstdlib>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::int64_t history_ms = 20'000;
constexpr std::int64_t max_watch_ms = 30'000;
constexpr int status_ok = 200;
constexpr int status_missing = 404;
constexpr int status_gone = 410;

std::string base64(const std::string& bytes)
{
    constexpr const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            const std::uint32_t byte =
                i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0;
            group = (group << 8) | byte;
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            const bool is_padding = i + k > bytes.size();
            text += is_padding ? '=' : digits[(group >> (18 - 6 * k)) & 63];
        }
    }
    return text;
}

// The value of a query parameter, with %XX replaced; empty if it is missing.
std::string parameter(const std::string& target, const std::string& name)
{
    for (const char* separator : {"?", "&"})
    {
        const std::string start = separator + name + "=";
        const std::size_t place = target.find(start);
        if (place == std::string::npos)
        {
            continue;
        }
        std::string value;
        for (std::size_t i = place + start.size(); i < target.size() && target[i] != '&'; ++i)
        {
            if (target[i] == '%' && i + 2 < target.size())
            {
                value +=
                    static_cast<char>(std::strtol(target.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
                continue;
            }
            value += target[i];
        }
        return value;
    }
    return "";
}

std::uint64_t number(const std::string& text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

std::string item_text(const std::string& key, const std::string& value, std::uint64_t revision,
                      std::uint64_t created)
{
    return R"({"Key":")" + key + R"(","Value":")" + base64(value) + R"(","Revision":)" +
           std::to_string(revision) + R"(,"Created":)" + std::to_string(created) + R"(,"Lease":0})";
}

} // namespace

kv_store::kv_store(event_loop& loop, case_record& record, const address& local)
    : loop(loop), record(record), listener(open_listener(local))
{
    this->loop.watch(this->listener, [this]() { this->accept_one(); });
}

std::uint64_t kv_store::put(const std::string& key, const std::string& value)
{
    ++this->revision;
    stored& item = this->items[key];
    item.value = value;
    item.revision = this->revision;
    item.created = item.created == 0 ? this->revision : item.created;
    this->record_change({key, item, false, now_ms()});
    return this->revision;
}

std::uint64_t kv_store::remove(const std::string& key)
{
    if (this->items.erase(key) > 0)
    {
        ++this->revision;
        this->record_change({key, stored{"", this->revision, 0}, true, now_ms()});
    }
    return this->revision;
}

void kv_store::record_change(const change& made)
{
    this->history.push_back(made);
    this->trim_history();
    this->wake_watches();
}

void kv_store::trim_history()
{
    while (!this->history.empty() && this->history.front().at + history_ms < now_ms())
    {
        this->oldest = this->history.front().item.revision;
        this->history.pop_front();
    }
}

void kv_store::set_answer_time(std::int64_t new_answer_ms)
{
    this->answer_ms = new_answer_ms;
}

void kv_store::discard_history()
{
    this->history.clear();
    this->oldest = this->revision;
    std::vector<connection_handle> cut;
    for (const auto& [descriptor, entry] : this->connections)
    {
        if (entry->is_watching)
        {
            cut.push_back(entry);
        }
    }
    for (const connection_handle& entry : cut)
    {
        this->close_connection(entry);
    }
}

void kv_store::silence_connections()
{
    for (const auto& [descriptor, entry] : this->connections)
    {
        entry->is_silent = true;
        entry->is_watching = false;
        this->loop.forget(descriptor);
    }
}

std::uint64_t kv_store::current_revision() const
{
    return this->revision;
}

std::uint64_t kv_store::reads_total() const
{
    return this->reads;
}

void kv_store::accept_one()
{
    const int accepted = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0)
    {
        return;
    }
    auto added = std::make_shared<connection>();
    added->descriptor = accepted;
    this->connections[accepted] = added;
    this->loop.watch(accepted, [this, added]() { this->receive(added); });
}

void kv_store::receive(const connection_handle& from)
{
    char buffer[16'384];
    const ssize_t count = recv(from->descriptor, buffer, sizeof(buffer), 0);
    if (count < 0 && errno == EAGAIN)
    {
        return;
    }
    if (count <= 0)
    {
        this->close_connection(from);
        return;
    }
    from->received.append(buffer, static_cast<std::size_t>(count));
    const std::size_t end = from->received.find("\r\n\r\n");
    if (end == std::string::npos)
    {
        return;
    }
    const std::size_t begin = from->received.find(' ') + 1;
    const std::string target =
        from->received.substr(begin, from->received.find(' ', begin) - begin);
    from->received.erase(0, end + 4);
    this->loop.after(this->answer_ms,
                     [this, from, target]()
                     {
                         if (from->descriptor >= 0 && !from->is_silent)
                         {
                             this->handle(from, target);
                         }
                     });
}

void kv_store::handle(const connection_handle& from, const std::string& target)
{
    if (target.starts_with("/briarbarrow/kv-range"))
    {
        this->answer_range(from, target);
        return;
    }
    if (target.starts_with("/briarbarrow/kv-watch"))
    {
        this->begin_watch(from, target);
        return;
    }
    this->respond(from, status_missing, "{}");
}

void kv_store::answer_range(const connection_handle& to, const std::string& target)
{
    ++this->reads;
    const std::string prefix = parameter(target, "Prefix");
    const std::string after = parameter(target, "after");
    std::string list;
    std::size_t count = 0;
    bool has_more = false;
    for (auto entry = this->items.upper_bound(after); entry != this->items.end(); ++entry)
    {
        if (!entry->first.starts_with(prefix))
        {
            continue;
        }
        if (count == max_page_items || (count > 0 && list.size() > max_page_bytes))
        {
            has_more = true;
            break;
        }
        list += count == 0 ? "" : ",";
        list += item_text(entry->first, entry->second.value, entry->second.revision,
                          entry->second.created);
        ++count;
    }
    this->respond(to, status_ok,
                  R"({"items":[)" + list + R"(],"HasMore":)" + (has_more ? "true" : "false") +
                      R"(,"CurrentRev":)" + std::to_string(this->revision) + "}");
}

void kv_store::begin_watch(const connection_handle& from, const std::string& target)
{
    const auto wait_ms = static_cast<std::int64_t>(number(parameter(target, "WaitMs")));
    from->after = number(parameter(target, "after"));
    from->watch_end = now_ms() + std::min(wait_ms, max_watch_ms);
    from->is_watching = true;
    if (from->after < this->revision || wait_ms == 0)
    {
        this->answer_watch(from);
        return;
    }
    this->loop.after(wait_ms,
                     [this, from]()
                     {
                         if (from->is_watching && !from->is_answering &&
                             now_ms() >= from->watch_end && from->descriptor >= 0)
                         {
                             this->answer_watch(from);
                         }
                     });
}

void kv_store::answer_watch(const connection_handle& to)
{
    to->is_watching = false;
    to->is_answering = false;
    this->trim_history();
    if (to->after < this->oldest)
    {
        this->respond(to, status_gone, "{}");
        return;
    }
    std::string list;
    for (const change& made : this->history)
    {
        if (made.item.revision <= to->after)
        {
            continue;
        }
        list += list.empty() ? "" : ",";
        list += made.is_deleted
                    ? R"({"Key":")" + made.key + R"(","Revision":)" +
                          std::to_string(made.item.revision) + R"(,"Deleted":true})"
                    : item_text(made.key, made.item.value, made.item.revision, made.item.created);
    }
    this->respond(to, status_ok,
                  R"({"events":[)" + list + R"(],"CurrentRev":)" + std::to_string(this->revision) +
                      "}");
}

void kv_store::wake_watches()
{
    for (const auto& [descriptor, entry] : this->connections)
    {
        if (!entry->is_watching || entry->is_answering)
        {
            continue;
        }
        entry->is_answering = true;
        const connection_handle waiting = entry;
        this->loop.after(this->answer_ms,
                         [this, waiting]()
                         {
                             if (waiting->is_watching && waiting->descriptor >= 0)
                             {
                                 this->answer_watch(waiting);
                             }
                         });
    }
}

void kv_store::respond(const connection_handle& to, int status, const std::string& body)
{
    if (to->is_silent)
    {
        return;
    }
    to->unsent +=
        "HTTP/1.1 " + std::to_string(status) +
        " x\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    to->answer_bytes = to->unsent.size();
    this->flush(to);
}

void kv_store::flush(const connection_handle& to)
{
    const ssize_t sent =
        send(to->descriptor, to->unsent.data(), to->unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN)
    {
        this->close_connection(to);
        return;
    }
    to->unsent.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
    this->loop.watch_writable(
        to->descriptor,
        to->unsent.empty() ? event_loop::handler() : [this, to]() { this->flush(to); });
}

void kv_store::close_connection(const connection_handle& closed)
{
    if (closed->descriptor < 0)
    {
        return;
    }
    if (!closed->unsent.empty() && !closed->is_silent)
    {
        this->record.line("a daemon closed its connection after " +
                          std::to_string(closed->answer_bytes - closed->unsent.size()) + " of " +
                          std::to_string(closed->answer_bytes) + " bytes of an answer");
    }
    this->loop.forget(closed->descriptor);
    close(closed->descriptor);
    this->connections.erase(closed->descriptor);
    closed->descriptor = -1;
    closed->is_watching = false;
}

} // namespace review

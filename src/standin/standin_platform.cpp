// standin_platform: an in-memory substitute for the platform's key-value service. It implements the
// part of the etcd v3 JSON gateway that this project uses, and fault injection.
//
// POST /standin/switch sets faults, any of {"down": BOOL, "slow_ms": N, "lose_before": N,
// "lose_after": N, "snapshot": "take" | "restore", "hold_write": BOOL}. lose_before and lose_after
// close the connection without a response for the next N writes, before or after the write takes
// effect. hold_write holds the next write with a comparison back until it is switched
// off.
// GET /standin/counts returns the number of calls by path, and that of writes held back.
#include <algorithm>
#include <iostream>
#include <list>
#include <memory>
#include <utility>

#include <cxxopts.hpp>
#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

#include "adapters/etcd_codec.hpp"
#include "core/address.hpp"
#include "net/monotonic_clock.hpp"
#include "standin/kv_store.hpp"

namespace
{

using namespace briarbarrow;
using nlohmann::json;

constexpr guint expiry_interval_ms = 100;

// An open watch: the response that its events are written to, and its key range.
struct watch_connection
{
    SoupServerMessage* message = nullptr;
    std::string begin;
    std::string end;
};

// The faults that are injected.
struct failure_switches
{
    bool down = false;
    guint slow_ms = 0;
    int lose_before = 0;
    int lose_after = 0;
    bool hold_write = false;
};

struct delayed_call;

// The state of this process.
struct standin
{
    kv_store store;
    kv_store snapshot;
    failure_switches switches;
    std::list<watch_connection> watches;
    std::map<std::string, std::uint64_t> counts;
    // The write that is held back, or null.
    delayed_call* held_write = nullptr;
};

void release_held_write(standin& self);

std::int64_t integer_of(const json& body, const char* name)
{
    if (!body.contains(name))
    {
        return 0;
    }
    const json& field = body.at(name);
    return field.is_string() ? std::stoll(field.get<std::string>()) : field.get<std::int64_t>();
}

std::string bytes_of(const json& body, const char* name)
{
    return body.contains(name) ? from_base64(body.at(name).get<std::string>()) : "";
}

json header_of(const standin& self)
{
    return json{{"revision", std::to_string(self.store.revision)}};
}

json entry_of(const std::string& key, const stored_value& stored)
{
    return json{{"key", to_base64(key)},
                {"value", to_base64(stored.value)},
                {"mod_revision", std::to_string(stored.mod_revision)},
                {"lease", std::to_string(stored.lease)}};
}

void send_text(SoupServerMessage* message, const std::string& text)
{
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, text.data(),
                                     text.size());
}

// Closes the connection without a response.
void close_without_response(SoupServerMessage* message)
{
    GIOStream* stream = soup_server_message_steal_connection(message);
    g_io_stream_close(stream, nullptr, nullptr);
    g_object_unref(stream);
}

void send_watch_events(const standin& self, const watch_connection& watch,
                       const std::vector<store_change>& changes)
{
    json events = json::array();
    for (const store_change& change : changes)
    {
        if (!in_range(change.key, watch.begin, watch.end))
        {
            continue;
        }
        json event{{"kv", entry_of(change.key, change.value)}};
        event["type"] = change.deleted ? "DELETE" : "PUT";
        events.push_back(event);
    }
    if (events.empty())
    {
        return;
    }
    const json line{{"result", {{"header", header_of(self)}, {"events", events}}}};
    const std::string text = line.dump() + "\n";
    SoupMessageBody* body = soup_server_message_get_response_body(watch.message);
    soup_message_body_append(body, SOUP_MEMORY_COPY, text.data(), text.size());
    soup_server_message_unpause(watch.message);
}

void notify_watches(standin& self)
{
    const std::vector<store_change> changes = std::move(self.store.changes);
    self.store.changes.clear();
    if (changes.empty() || self.switches.down)
    {
        return;
    }
    for (const watch_connection& watch : self.watches)
    {
        send_watch_events(self, watch, changes);
    }
}

void remove_watch(SoupServerMessage* message, gpointer data)
{
    auto* self = static_cast<standin*>(data);
    self->watches.remove_if([message](const watch_connection& watch)
                            { return watch.message == message; });
}

std::string handle_range(standin& self, const json& body)
{
    const std::string begin = bytes_of(body, "key");
    const std::string end = bytes_of(body, "range_end");
    json entries = json::array();
    for (const auto& [key, stored] : self.store.values)
    {
        if (in_range(key, begin, end))
        {
            entries.push_back(entry_of(key, stored));
        }
    }
    const std::size_t count = entries.size();
    return json{
        {"header", header_of(self)}, {"kvs", std::move(entries)}, {"count", std::to_string(count)}}
        .dump();
}

std::string handle_put(standin& self, const json& body)
{
    put_value(self.store, bytes_of(body, "key"), bytes_of(body, "value"),
              integer_of(body, "lease"));
    return json{{"header", header_of(self)}}.dump();
}

std::string handle_transaction(standin& self, const json& body)
{
    bool all_equal = true;
    for (const json& compare : body.at("compare"))
    {
        const auto found = self.store.values.find(bytes_of(compare, "key"));
        const std::int64_t actual =
            found == self.store.values.end() ? 0 : found->second.mod_revision;
        all_equal = all_equal && actual == integer_of(compare, "mod_revision");
    }
    if (all_equal)
    {
        for (const json& operation : body.at("success"))
        {
            if (operation.contains("request_delete_range"))
            {
                delete_value(self.store, bytes_of(operation.at("request_delete_range"), "key"));
                continue;
            }
            const json& put = operation.at("request_put");
            put_value(self.store, bytes_of(put, "key"), bytes_of(put, "value"), 0);
        }
    }
    return json{{"header", header_of(self)}, {"succeeded", all_equal}}.dump();
}

std::string handle_lease_grant(standin& self, const json& body)
{
    constexpr std::int64_t milliseconds_per_second = 1000;
    const std::int64_t seconds = integer_of(body, "TTL");
    const std::int64_t lease =
        grant_lease(self.store, millis{seconds * milliseconds_per_second}, monotonic_now());
    return json{{"ID", std::to_string(lease)}, {"TTL", std::to_string(seconds)}}.dump();
}

std::string handle_lease_keep_alive(standin& self, const json& body)
{
    constexpr std::int64_t milliseconds_per_second = 1000;
    const std::int64_t lease = integer_of(body, "ID");
    const millis duration = renew_lease(self.store, lease, monotonic_now());
    const std::string seconds = std::to_string(duration.count / milliseconds_per_second);
    return json{{"result", {{"ID", std::to_string(lease)}, {"TTL", seconds}}}}.dump();
}

std::string handle_lease_revoke(standin& self, const json& body)
{
    revoke_lease(self.store, integer_of(body, "ID"));
    return json{{"header", header_of(self)}}.dump();
}

void start_watch(standin& self, SoupServerMessage* message, const json& body)
{
    const json& create = body.at("create_request");
    SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_set_content_type(headers, "application/json", nullptr);
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    SoupMessageBody* response = soup_server_message_get_response_body(message);
    soup_message_body_set_accumulate(response, FALSE);
    const json line{{"result", {{"header", header_of(self)}, {"created", true}}}};
    const std::string text = line.dump() + "\n";
    soup_message_body_append(response, SOUP_MEMORY_COPY, text.data(), text.size());
    self.watches.push_back(
        watch_connection{message, bytes_of(create, "key"), bytes_of(create, "range_end")});
    g_signal_connect(message, "finished", G_CALLBACK(remove_watch), &self);
}

void close_all_watches(standin& self)
{
    const auto watches = self.watches;
    for (const watch_connection& watch : watches)
    {
        soup_message_body_complete(soup_server_message_get_response_body(watch.message));
        soup_server_message_unpause(watch.message);
    }
}

void apply_switches(standin& self, SoupServerMessage* message, const json& body)
{
    self.switches.down = body.value("down", self.switches.down);
    self.switches.slow_ms = body.value("slow_ms", self.switches.slow_ms);
    self.switches.lose_before = body.value("lose_before", self.switches.lose_before);
    self.switches.lose_after = body.value("lose_after", self.switches.lose_after);
    self.switches.hold_write = body.value("hold_write", self.switches.hold_write);
    if (!self.switches.hold_write)
    {
        release_held_write(self);
    }
    const std::string snapshot = body.value("snapshot", "");
    if (snapshot == "take")
    {
        self.snapshot = self.store;
    }
    if (snapshot == "restore")
    {
        self.store = self.snapshot;
        self.store.changes.clear();
        close_all_watches(self);
    }
    if (self.switches.down)
    {
        close_all_watches(self);
    }
    send_text(message, "{}");
}

using request_handler = std::string (*)(standin&, const json&);

struct route
{
    std::string_view path;
    bool is_write = false;
    request_handler handle = nullptr;
};

constexpr std::array<route, 6> routes{{
    {"/v3/kv/range", false, handle_range},
    {"/v3/kv/put", true, handle_put},
    {"/v3/kv/txn", true, handle_transaction},
    {"/v3/lease/grant", true, handle_lease_grant},
    {"/v3/lease/keepalive", true, handle_lease_keep_alive},
    {"/v3/lease/revoke", true, handle_lease_revoke},
}};

void handle_call(standin& self, SoupServerMessage* message, const route& target, const json& body)
{
    if (target.is_write && self.switches.lose_before > 0)
    {
        --self.switches.lose_before;
        close_without_response(message);
        return;
    }
    const std::string text = target.handle(self, body);
    if (target.is_write && self.switches.lose_after > 0)
    {
        --self.switches.lose_after;
        close_without_response(message);
    }
    else
    {
        send_text(message, text);
    }
    notify_watches(self);
}

// A call that is processed after the injected delay.
struct delayed_call
{
    standin* self = nullptr;
    SoupServerMessage* message = nullptr;
    const route* target = nullptr;
    json body;
};

gboolean finish_delayed_call(gpointer data)
{
    const std::unique_ptr<delayed_call> call(static_cast<delayed_call*>(data));
    handle_call(*call->self, call->message, *call->target, call->body);
    soup_server_message_unpause(call->message);
    g_object_unref(call->message);
    return G_SOURCE_REMOVE;
}

void release_held_write(standin& self)
{
    if (self.held_write != nullptr)
    {
        finish_delayed_call(std::exchange(self.held_write, nullptr));
    }
}

void dispatch(standin& self, SoupServerMessage* message, const std::string& path, const json& body)
{
    if (path == "/standin/switch")
    {
        apply_switches(self, message, body);
        return;
    }
    if (path == "/standin/counts")
    {
        json counts(self.counts);
        counts["held_writes"] = self.held_write == nullptr ? 0 : 1;
        send_text(message, counts.dump());
        return;
    }
    if (self.switches.down)
    {
        close_without_response(message);
        return;
    }
    ++self.counts[path];
    if (path == "/v3/watch")
    {
        start_watch(self, message, body);
        return;
    }
    const auto by_path = [&path](const route& known)
    {
        return known.path == path;
    };
    const auto* found = std::find_if(routes.begin(), routes.end(), by_path);
    if (found == routes.end())
    {
        soup_server_message_set_status(message, SOUP_STATUS_NOT_FOUND, nullptr);
        return;
    }
    const bool has_comparison = body.contains("compare") && !body["compare"].empty();
    const bool is_held = has_comparison && self.switches.hold_write && self.held_write == nullptr;
    if (self.switches.slow_ms == 0 && !is_held)
    {
        handle_call(self, message, *found, body);
        return;
    }
    auto* delayed =
        new delayed_call{&self, SOUP_SERVER_MESSAGE(g_object_ref(message)), found, body};
    soup_server_message_pause(message);
    if (is_held)
    {
        self.held_write = delayed;
        return;
    }
    g_timeout_add(self.switches.slow_ms, finish_delayed_call, delayed);
}

void on_request(SoupServer* /*server*/, SoupServerMessage* message, const char* path,
                GHashTable* /*query*/, gpointer data)
{
    SoupMessageBody* request = soup_server_message_get_request_body(message);
    const std::string text(request->data == nullptr ? "" : request->data,
                           static_cast<std::size_t>(request->length));
    try
    {
        const json body = text.empty() ? json::object() : json::parse(text);
        dispatch(*static_cast<standin*>(data), message, path, body);
    }
    catch (const std::exception& error)
    {
        // A malformed request from a client under test must not end this process.
        soup_server_message_set_status(message, SOUP_STATUS_BAD_REQUEST, error.what());
    }
}

gboolean on_expiry(gpointer data)
{
    auto* self = static_cast<standin*>(data);
    expire_leases(self->store, monotonic_now());
    notify_watches(*self);
    return G_SOURCE_CONTINUE;
}

int run(const endpoint& local)
{
    standin self;
    GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
    SoupServer* server = soup_server_new("server-header", "standin_platform", nullptr);
    soup_server_add_handler(server, nullptr, on_request, &self, nullptr);
    GInetAddress* address = g_inet_address_new_from_string(to_string(local.address).c_str());
    GSocketAddress* bound = g_inet_socket_address_new(address, local.port);
    GError* error = nullptr;
    soup_server_listen(server, bound, static_cast<SoupServerListenOptions>(0), &error);
    g_object_unref(bound);
    g_object_unref(address);
    if (error != nullptr)
    {
        std::cerr << "standin_platform: " << error->message << '\n';
        g_error_free(error);
        return 1;
    }
    g_timeout_add(expiry_interval_ms, on_expiry, &self);
    g_main_loop_run(loop);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_platform",
                             "An in-memory substitute for the platform, for tests.");
    options.add_options()("listen", "Address and port to listen on",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:2379"))(
        "help", "Print this help and exit");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0)
    {
        std::cout << options.help();
        return 0;
    }
    const auto local = parse_endpoint(parsed["listen"].as<std::string>());
    if (!local)
    {
        std::cerr << "standin_platform: --listen must be an IP address and a port\n";
        return 2;
    }
    return run(*local);
}

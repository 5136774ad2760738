#include "adapters/platform_client.hpp"

#include <algorithm>

#include "adapters/json_codec.hpp"

namespace briarbarrow
{

namespace
{

constexpr unsigned call_timeout_seconds = 5;
// No timeout: a watch may be idle for a long time. The connection ends when the platform goes down.
constexpr unsigned watch_timeout_seconds = 0;
constexpr millis initial_backoff{250};
constexpr millis max_backoff{10'000};
constexpr int max_doublings = 6;

// A delayed action, skipped if its owner has been destroyed by then.
struct delayed_action
{
    std::weak_ptr<bool> alive;
    std::function<void()> action;
};

gboolean run_delayed(gpointer data)
{
    const auto* delayed = static_cast<delayed_action*>(data);
    if (!delayed->alive.expired())
    {
        delayed->action();
    }
    return G_SOURCE_REMOVE;
}

void delete_delayed(gpointer data)
{
    delete static_cast<delayed_action*>(data);
}

} // namespace

// A watch stream. `owner` is null once the client has closed it; the object lives until the HTTP
// library's last callback.
struct platform_client::watch_stream
{
    platform_client* owner = nullptr;
    SoupMessage* message = nullptr;
    GCancellable* cancel = nullptr;
    GDataInputStream* lines = nullptr;

    ~watch_stream()
    {
        g_clear_object(&this->lines);
        g_clear_object(&this->message);
        g_clear_object(&this->cancel);
    }
};

platform_client::platform_client(const endpoint& platform, std::string prefix,
                                 std::string host_name, platform_listener listener)
    : platform(platform), prefix(std::move(prefix)), host_name(std::move(host_name)),
      listener(std::move(listener)), session(make_http_session(call_timeout_seconds)),
      watch_session(make_http_session(watch_timeout_seconds)), alive(std::make_shared<bool>(true)),
      jitter(std::hash<std::string>{}(this->host_name))
{
    this->read_all();
}

platform_client::~platform_client()
{
    this->close_watch();
    soup_session_abort(this->session);
    soup_session_abort(this->watch_session);
    g_object_unref(this->session);
    g_object_unref(this->watch_session);
}

const platform_call_counts& platform_client::calls() const
{
    return this->call_counts;
}

void platform_client::run_after(millis delay, std::function<void()> action)
{
    auto* delayed = new delayed_action{this->alive, std::move(action)};
    g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(delay.count), run_delayed, delayed,
                       delete_delayed);
}

millis platform_client::backoff_delay()
{
    const int doublings = std::min(this->failures_in_a_row, max_doublings);
    const millis full = std::min(initial_backoff * (std::int64_t{1} << doublings), max_backoff);
    std::uniform_int_distribution<std::int64_t> jittered(full.count / 2, full.count);
    return millis{jittered(this->jitter)};
}

void platform_client::observe_call_result(bool success)
{
    this->failures_in_a_row = success ? 0 : this->failures_in_a_row + 1;
    this->call_counts.failures += success ? 0 : 1;
    if (success != this->reachable)
    {
        this->reachable = success;
        this->listener.on_reachability_changed(success);
    }
}

void platform_client::call(const std::string& path, const std::string& body,
                           response_callback on_response)
{
    const std::weak_ptr<bool> weak_alive = this->alive;
    post_json(this->session, this->platform, path, body,
              [this, weak_alive, on_response = std::move(on_response)](call_result outcome)
              {
                  if (weak_alive.expired())
                  {
                      return;
                  }
                  this->observe_call_result(outcome.has_value());
                  on_response(std::move(outcome));
              });
}

void platform_client::read_all()
{
    ++this->call_counts.reads;
    this->call("/v3/kv/range", encode_range(this->prefix, prefix_end(this->prefix)),
               [this](const call_result& response) { this->handle_range_response(response); });
}

void platform_client::handle_range_response(const call_result& response)
{
    if (!response)
    {
        this->run_after(this->backoff_delay(), [this] { this->read_all(); });
        return;
    }
    const auto range = decode_range(response.value());
    if (!range)
    {
        return;
    }
    for (const key_value& entry : range.value().entries)
    {
        this->deliver_entry(entry);
    }
}

void platform_client::deliver_entry(const key_value& entry)
{
    const std::string hosts = this->prefix + std::string(hosts_prefix);
    if (entry.key == this->prefix + std::string(configuration_key))
    {
        this->listener.on_configuration(entry.value);
    }
    else if (entry.key.starts_with(hosts))
    {
        this->listener.on_host(entry.value);
    }
}

void platform_client::list_host(const std::string& value)
{
    this->host_value = value;
    if (this->lease != 0)
    {
        this->put_host();
        return;
    }
    if (!this->lease_requested)
    {
        this->grant_lease();
    }
}

void platform_client::grant_lease()
{
    this->lease_requested = true;
    ++this->call_counts.writes;
    this->call("/v3/lease/grant", encode_lease_grant(host_lease_seconds),
               [this](const call_result& response)
               {
                   const auto id = response ? decode_lease_grant(response.value())
                                            : result<std::int64_t, text_error>(text_error{});
                   if (!id || id.value() == 0)
                   {
                       this->run_after(this->backoff_delay(), [this] { this->grant_lease(); });
                       return;
                   }
                   this->lease_requested = false;
                   this->lease = id.value();
                   this->put_host();
                   this->run_after(keep_alive_interval, [this] { this->keep_alive(); });
               });
}

void platform_client::put_host()
{
    ++this->call_counts.writes;
    const put_operation put{this->prefix + std::string(hosts_prefix) + this->host_name,
                            this->host_value};
    this->call("/v3/kv/put", encode_put(put, this->lease),
               [this](const call_result& response)
               {
                   if (!response)
                   {
                       // Safe to repeat: it writes the same value under the same lease.
                       this->run_after(this->backoff_delay(), [this] { this->put_host(); });
                   }
               });
}

void platform_client::keep_alive()
{
    ++this->call_counts.writes;
    this->call("/v3/lease/keepalive", encode_lease_id(this->lease),
               [this](const call_result& response)
               {
                   const auto left = response ? decode_keep_alive(response.value())
                                              : result<std::int64_t, text_error>(text_error{});
                   if (left && left.value() == 0)
                   {
                       // The lease expired while the platform was unreachable: list the host under
                       // a new one.
                       this->lease = 0;
                       this->grant_lease();
                       return;
                   }
                   const millis delay = left ? keep_alive_interval : this->backoff_delay();
                   this->run_after(delay, [this] { this->keep_alive(); });
               });
}

void platform_client::unlist_host()
{
    if (this->lease == 0)
    {
        return;
    }
    ++this->call_counts.writes;
    this->call("/v3/lease/revoke", encode_lease_id(this->lease), [](const call_result&) {});
}

void platform_client::unlist_gone_host(const std::string& name, std::uint64_t incarnation)
{
    ++this->call_counts.reads;
    const std::string key = this->prefix + std::string(hosts_prefix) + name;
    this->call("/v3/kv/range", encode_range(key, ""),
               [this, incarnation](const call_result& response)
               {
                   const auto range = response ? decode_range(response.value())
                                               : result<range_response, text_error>(text_error{});
                   if (!range || range.value().entries.empty())
                   {
                       return;
                   }
                   const key_value& listing = range.value().entries.front();
                   const auto listed = host_from_json(listing.value);
                   if (listed && listed.value().info.incarnation <= incarnation)
                   {
                       this->delete_listing(listing);
                   }
               });
}

void platform_client::delete_listing(const key_value& listing)
{
    ++this->call_counts.writes;
    transaction_request request;
    request.compared_key = listing.key;
    request.expected_mod_revision = listing.mod_revision;
    request.deletes.push_back(listing.key);
    this->call("/v3/kv/txn", encode_transaction(request), [](const call_result&) {});
}

void platform_client::set_watching(bool wanted)
{
    if (wanted == this->watching)
    {
        return;
    }
    this->watching = wanted;
    if (wanted)
    {
        this->open_watch();
    }
    else
    {
        this->close_watch();
    }
}

void platform_client::open_watch()
{
    if (!this->watching || this->stream)
    {
        return;
    }
    ++this->call_counts.watches;
    this->stream = std::make_shared<watch_stream>();
    this->stream->owner = this;
    this->stream->cancel = g_cancellable_new();
    const std::string body = encode_watch(this->prefix, prefix_end(this->prefix));
    this->stream->message = make_post_request(this->platform, "/v3/watch", body);
    auto* reference = new std::shared_ptr<watch_stream>(this->stream);
    soup_session_send_async(this->watch_session, this->stream->message, G_PRIORITY_DEFAULT,
                            this->stream->cancel, on_watch_opened, reference);
}

void platform_client::close_watch()
{
    if (this->stream)
    {
        this->stream->owner = nullptr;
        g_cancellable_cancel(this->stream->cancel);
        this->stream.reset();
    }
}

void platform_client::handle_watch_failure()
{
    this->stream.reset();
    this->observe_call_result(false);
    this->run_after(this->backoff_delay(), [this] { this->open_watch(); });
}

void platform_client::on_watch_opened(GObject* source, GAsyncResult* finished, gpointer data)
{
    const std::unique_ptr<std::shared_ptr<watch_stream>> reference(
        static_cast<std::shared_ptr<watch_stream>*>(data));
    const std::shared_ptr<watch_stream> stream = *reference;
    GInputStream* input = soup_session_send_finish(SOUP_SESSION(source), finished, nullptr);
    const bool success = input != nullptr && soup_message_get_status(stream->message) == 200;
    if (stream->owner == nullptr || !success)
    {
        g_clear_object(&input);
        if (stream->owner != nullptr)
        {
            stream->owner->handle_watch_failure();
        }
        return;
    }
    stream->owner->observe_call_result(true);
    stream->lines = g_data_input_stream_new(input);
    g_object_unref(input);
    // Read the current state, since the watch reports only changes from its start on.
    stream->owner->read_all();
    auto* next = new std::shared_ptr<watch_stream>(stream);
    g_data_input_stream_read_line_async(stream->lines, G_PRIORITY_DEFAULT, stream->cancel,
                                        on_watch_line, next);
}

void platform_client::on_watch_line(GObject* source, GAsyncResult* finished, gpointer data)
{
    const std::unique_ptr<std::shared_ptr<watch_stream>> reference(
        static_cast<std::shared_ptr<watch_stream>*>(data));
    const std::shared_ptr<watch_stream> stream = *reference;
    gsize size = 0;
    char* line =
        g_data_input_stream_read_line_finish(G_DATA_INPUT_STREAM(source), finished, &size, nullptr);
    if (stream->owner == nullptr || line == nullptr)
    {
        g_free(line);
        if (stream->owner != nullptr)
        {
            stream->owner->handle_watch_failure();
        }
        return;
    }
    const auto response = decode_watch(std::string_view(line, size));
    g_free(line);
    if (response)
    {
        for (const key_value& entry : response.value().puts)
        {
            stream->owner->deliver_entry(entry);
        }
    }
    auto* next = new std::shared_ptr<watch_stream>(stream);
    g_data_input_stream_read_line_async(stream->lines, G_PRIORITY_DEFAULT, stream->cancel,
                                        on_watch_line, next);
}

} // namespace briarbarrow

// Client of the platform's key-value service.
//
// A host lists itself under a lease, reads the configuration and the list of hosts once when it
// starts, and then watches both if it is one of its availability zone's watchers. All calls are
// counted; failed ones are retried with exponential backoff and jitter. The platform may be
// down for a long time: serving traffic doesn't depend on it.
#ifndef BRIARBARROW_ADAPTERS_PLATFORM_CLIENT_HPP
#define BRIARBARROW_ADAPTERS_PLATFORM_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "adapters/etcd_codec.hpp"
#include "adapters/http_call.hpp"
#include "core/address.hpp"
#include "core/clock.hpp"

namespace briarbarrow
{

// Keys below the prefix.
constexpr std::string_view configuration_key = "configuration";
constexpr std::string_view hosts_prefix = "hosts/";
constexpr std::string_view audit_prefix = "audit/";

// Time to live of a host's listing without a keep-alive.
constexpr std::int64_t host_lease_seconds = 60;
constexpr millis keep_alive_interval{20'000};

// Callbacks for what the platform reports.
struct platform_listener
{
    // The configuration as JSON (see json_codec.hpp).
    std::function<void(const std::string& text)> on_configuration;
    // A listed host as JSON (see json_codec.hpp).
    std::function<void(const std::string& text)> on_host;
    // Called when the platform becomes reachable or unreachable.
    std::function<void(bool reachable)> on_reachability_changed;
};

// Calls made so far, by kind.
struct platform_call_counts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t failures = 0;
};

// Calls the platform asynchronously on the main loop.
class platform_client
{
public:
    platform_client(const endpoint& platform, std::string prefix, std::string host_name,
                    platform_listener listener);
    ~platform_client();
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    // Lists this host with this value now, and again whenever the lease has expired. Call it again
    // when the value changes.
    void list_host(const std::string& value);

    // Starts or stops watching. A host that doesn't watch receives changes from its peers.
    void set_watching(bool watching);

    // Removes this host from the list, without waiting for the response.
    void unlist_host();

    // Removes a host that was declared gone from the list, so that the fabric learns of it before
    // its lease expires. Removes only a listing of this incarnation or an older one, and only if it
    // hasn't changed since it was read.
    void unlist_gone_host(const std::string& name, std::uint64_t incarnation);

    // Returns the number of calls made so far.
    const platform_call_counts& calls() const;

private:
    struct watch_stream;

    void read_all();
    void handle_range_response(const call_result& response);
    void deliver_entry(const key_value& entry);
    void grant_lease();
    void put_host();
    void keep_alive();
    void open_watch();
    void close_watch();
    void delete_listing(const key_value& listing);
    void observe_call_result(bool success);
    void run_after(millis delay, std::function<void()> action);
    millis backoff_delay();
    void call(const std::string& path, const std::string& body, response_callback on_response);

    static void on_watch_opened(GObject* source, GAsyncResult* finished, gpointer data);
    static void on_watch_line(GObject* source, GAsyncResult* finished, gpointer data);
    void handle_watch_failure();

    endpoint platform;
    std::string prefix;
    std::string host_name;
    platform_listener listener;
    SoupSession* session = nullptr;
    SoupSession* watch_session = nullptr;
    std::string host_value;
    std::int64_t lease = 0;
    bool lease_requested = false;
    bool watching = false;
    bool reachable = true;
    int failures_in_a_row = 0;
    platform_call_counts call_counts;
    std::shared_ptr<watch_stream> stream;
    // Expires with this object; callbacks check it before they use the object.
    std::shared_ptr<bool> alive;
    std::minstd_rand jitter;
};

} // namespace briarbarrow

#endif

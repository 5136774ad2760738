// A host's dealings with the platform's key-value service.
//
// The host lists itself under a lease, reads the configuration and the list of hosts once when it
// starts, and then watches both if it is one of the zone's watchers. All calls are counted and,
// after a failure, repeated with a growing and jittered pause. The platform may be down for long:
// nothing here is needed to serve.
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

// How long a host stays listed without a word. Unit: seconds.
constexpr std::int64_t host_lease_seconds = 60;
constexpr millis keep_alive_interval{20'000};

// What the platform has told, as messages to the owner.
struct platform_listener
{
    // The configuration's text, in the form of json_codec.
    std::function<void(const std::string& text)> on_configuration;
    // A listed host, in the form of json_codec.
    std::function<void(const std::string& text)> on_host;
    // Reachable or not; called on changes only.
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

// Talks to the platform on the main loop.
class platform_client
{
public:
    platform_client(const endpoint& platform, std::string prefix, std::string host_name,
                    platform_listener listener);
    ~platform_client();
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    // Lists this host with this value, now and at each renewal. Call again when it changes.
    void list_host(const std::string& value);

    // Begins or ends to watch. A host that does not watch hears of changes from its peers.
    void set_watching(bool watching);

    // Takes this host off the list, without waiting for the answer.
    void unlist_host();

    // Takes a host that was counted out off the list, so that the fabric learns of it before its
    // lease ends. Only a listing of this incarnation or an older one goes, and only unchanged.
    void unlist_gone_host(const std::string& name, std::uint64_t incarnation);

    // Calls made so far.
    const platform_call_counts& calls() const;

private:
    struct watch_stream;

    void read_all();
    void handle_range_response(const call_result& answer);
    void deliver_entry(const key_value& entry);
    void grant_lease();
    void put_host();
    void keep_alive();
    void open_watch();
    void close_watch();
    void delete_listing(const key_value& listing);
    void observe_call_result(bool good);
    void later(millis pause, std::function<void()> action);
    millis backoff_delay();
    void call(const std::string& path, const std::string& body, call_answer answer);

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
    bool granting = false;
    bool watching = false;
    bool reachable = true;
    int failures_in_a_row = 0;
    platform_call_counts counted;
    std::shared_ptr<watch_stream> stream;
    std::shared_ptr<bool> alive;
    std::minstd_rand jitter;
};

} // namespace briarbarrow

#endif

// The daemon of one host: connects the core to its adapters on one main loop. Each adapter owns its
// sockets and reports events to the daemon; only the daemon touches the core's state.
#ifndef BRIARBARROW_ADAPTERS_HOST_DAEMON_HPP
#define BRIARBARROW_ADAPTERS_HOST_DAEMON_HPP

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "adapters/histogram.hpp"
#include "adapters/metrics_page.hpp"
#include "adapters/operator_endpoint.hpp"
#include "adapters/peer_link.hpp"
#include "adapters/platform_client.hpp"
#include "adapters/settings.hpp"
#include "adapters/tun_port.hpp"
#include "core/core.hpp"
#include "net/packet_port.hpp"

namespace briarbarrow
{

// A state change of this host, as served at /story.
struct event_trace_entry
{
    millis when;
    std::string text;
};

// Runs the core until a planned stop has finished.
class host_daemon
{
public:
    // Calls `stopped` once, when a planned stop has finished or was cut short.
    host_daemon(const daemon_settings& settings, std::function<void()> stopped);
    ~host_daemon();
    host_daemon(const host_daemon&) = delete;
    host_daemon& operator=(const host_daemon&) = delete;

    // Opens all sockets and starts the timer. The error names what could not be opened.
    result<bool, text_error> start();

    // Starts a planned stop: records move to their new owners first. A second call stops at once.
    void stop();

    // Applies the settings that can change while the host runs. If any other setting differs,
    // applies nothing and returns an error that names the reloadable ones.
    result<bool, text_error> reload(const daemon_settings& wanted);

private:
    result<bool, text_error> open_packets();
    result<bool, text_error> open_peers();
    result<bool, text_error> open_operators();
    void open_platform();
    void handle(const event& input);
    void flush();
    void send_to_callers();
    void request_configuration();
    void tick();
    void handle_configuration_text(const std::string& text);
    void handle_peer_message(const peer_message& message,
                             const std::function<void(const peer_message&)>& answer);
    bool is_member_address(const ip_address& address) const;
    void record_event(const std::string& text);
    void update_listing();
    void update_platform_watching();
    void unlist_gone_hosts();
    void seed_peers();
    std::string metrics_page();
    std::vector<adapter_summary> summaries() const;
    std::string event_trace_page() const;
    static gboolean on_tick(gpointer self);

    daemon_settings settings;
    std::function<void()> stopped;
    core_state core;
    actions pending;
    std::string configuration_text;
    std::unique_ptr<packet_port> packets;
    std::unique_ptr<tun_port> tun;
    std::unique_ptr<peer_link> peers;
    std::unique_ptr<operator_endpoint> operators;
    std::unique_ptr<platform_client> platform;
    std::deque<event_trace_entry> event_trace;
    histogram tick_lateness;
    histogram tick_duration;
    millis last_tick;
    millis next_seed_at;
    millis next_configuration_request_at;
    std::uint64_t seen_host_changes = 0;
    millis stop_started_at;
    host_state listed_state = host_state::unheard;
    std::uint64_t listed_incarnation = 0;
    guint tick_source = 0;
    bool stopping = false;
    bool finished = false;
};

} // namespace briarbarrow

#endif

// A TCP proxy on the loopback that injects connection faults.
#ifndef BRIARBARROW_TESTING_SOAK_FAULT_PROXY_HPP
#define BRIARBARROW_TESTING_SOAK_FAULT_PROXY_HPP

#include <array>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>

#include <glib.h>

#include "core/address.hpp"
#include "core/clock.hpp"

namespace briarbarrow
{

enum class proxy_mode : std::uint8_t
{
    pass,
    // New connections are closed as soon as they are accepted.
    refuse,
    // Drops the bytes of both directions, also on open connections. Printed as "silent".
    blackhole,
    // Forwards what the client sends and drops the responses.
    one_way,
    // Holds responses back before forwarding them.
    delay
};

constexpr std::array<std::string_view, 5> proxy_mode_names{"pass", "refuse", "silent", "one_way",
                                                           "delay"};

// Forwards TCP connections from a local endpoint to a target, with the faults of the current mode.
class fault_proxy
{
public:
    fault_proxy(const endpoint& local, const endpoint& target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    // Also resets every open connection when the new mode is pass or refuse.
    void set_mode(proxy_mode new_mode);
    // Resets every open connection.
    void reset_all();

private:
    struct proxied_connection;

    static gboolean on_new_client(gint descriptor, GIOCondition condition, gpointer self);
    static gboolean on_readable(gint descriptor, GIOCondition condition, gpointer entry);
    static gboolean on_delay_over(gpointer entry);
    void close_connection(proxied_connection& closed, bool with_reset);

    endpoint target;
    int descriptor = -1;
    guint source = 0;
    proxy_mode mode = proxy_mode::pass;
    std::list<proxied_connection> connections;
};

} // namespace briarbarrow

#endif

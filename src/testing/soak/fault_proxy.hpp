// A TCP proxy on the loopback that harms what goes through it.
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
    // New connections are reset, as where nothing listens.
    refuse,
    // Nothing goes either way, also on open connections.
    blackhole,
    // What the client sends arrives, answers do not.
    one_way,
    // Answers come late.
    delay
};

constexpr std::array<std::string_view, 5> proxy_mode_names{"pass", "refuse", "silent", "one_way",
                                                           "delay"};

class fault_proxy
{
public:
    fault_proxy(const endpoint& local, const endpoint& target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

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

// Health checks that verify which instance of a server responds at an address: they request its
// health page and compare the instance that the response names. A successful connection alone
// proves nothing, since addresses are reused by other servers when one is gone.
#ifndef BRIARBARROW_NET_INSTANCE_CHECK_HPP
#define BRIARBARROW_NET_INSTANCE_CHECK_HPP

#include <functional>
#include <list>
#include <string>

#include <glib.h>

#include "core/address.hpp"
#include "core/clock.hpp"
#include "tagged/suspicion.hpp"

namespace briarbarrow
{

// Most concurrent checks. A check beyond this limit is not started.
constexpr std::size_t max_concurrent_checks = 32;

// The health page to request, and the instance that is expected to serve it.
struct instance_check_request
{
    std::string instance;
    endpoint address;
    std::string path;
    // Name of the response header that holds the instance.
    std::string header;
};

using check_receiver = std::function<void(const std::string& instance, check_outcome outcome)>;

// Runs checks on GLib's default main context.
class instance_checks
{
public:
    explicit instance_checks(check_receiver receiver);
    ~instance_checks();
    instance_checks(const instance_checks&) = delete;
    instance_checks& operator=(const instance_checks&) = delete;

    // Starts a check, which ends with an outcome when the timeout expires at the latest. If there
    // are too many checks or no socket is left, none is started and the receiver is not called.
    void begin(const instance_check_request& request, millis timeout);

private:
    struct running_check;

    static gboolean on_ready(gint descriptor, GIOCondition condition, gpointer check);
    static gboolean on_timeout(gpointer check);
    void finish(running_check& check, check_outcome outcome);

    check_receiver receiver;
    std::list<running_check> checks;
};

} // namespace briarbarrow

#endif

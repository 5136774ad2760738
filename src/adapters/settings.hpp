// The settings of one host: its identity, its listening addresses and the platform's address.
#ifndef BRIARBARROW_ADAPTERS_SETTINGS_HPP
#define BRIARBARROW_ADAPTERS_SETTINGS_HPP

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/members/host.hpp"
#include "core/result.hpp"

namespace briarbarrow
{

// Everything that briarbarrowd reads from its settings file.
struct daemon_settings
{
    host_info self;
    // Source addresses of the fabric's encapsulated packets.
    std::set<ip_address> fabric_sources;
    // Endpoint that packets to callers are sent to, encapsulated; unset when they go to a TUN
    // device.
    std::optional<endpoint> fabric_return;
    // Name of the TUN device; empty for none.
    std::string tun_device;
    endpoint platform;
    std::string platform_prefix;
    // Hosts to contact without the platform's list, such as while the platform is unreachable.
    std::vector<host_info> peers;
    // A planned stop ends after this time even if records have not moved yet.
    millis stop_timeout{600'000};
};

// Reads and validates a settings file. The error text has a line for each fault.
result<daemon_settings, text_error> read_settings(const std::string& path);

// True when the two differ only in settings that can change while the host runs: the fabric's
// source addresses, the peers and the stop timeout.
bool is_reloadable(const daemon_settings& running, const daemon_settings& wanted);

} // namespace briarbarrow

#endif

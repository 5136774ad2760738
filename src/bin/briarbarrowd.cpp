// briarbarrowd: the load balancer daemon of an entry host.
#include <csignal>
#include <iostream>

#include <cxxopts.hpp>
#include <glib-unix.h>

#include "adapters/host_daemon.hpp"
#include "adapters/log.hpp"

namespace
{

using namespace briarbarrow;

constexpr int exit_good = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

// Data of the signal handlers.
struct signal_context
{
    std::string settings_path;
    host_daemon* daemon = nullptr;
};

gboolean on_stop_signal(gpointer data)
{
    static_cast<signal_context*>(data)->daemon->stop();
    return G_SOURCE_CONTINUE;
}

gboolean on_reload_signal(gpointer data)
{
    auto* host = static_cast<signal_context*>(data);
    const auto wanted = read_settings(host->settings_path);
    if (!wanted)
    {
        log_warning("cannot reload settings: " + wanted.error().message);
        return G_SOURCE_CONTINUE;
    }
    const auto done = host->daemon->reload(wanted.value());
    if (!done)
    {
        log_warning(done.error().message);
    }
    return G_SOURCE_CONTINUE;
}

// Changes whether the signals that the daemon handles are delivered: `SIG_BLOCK` keeps them pending
// until their handlers are installed, `SIG_UNBLOCK` delivers them.
void change_signal_mask(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(how, &signals, nullptr);
}

int run(const std::string& settings_path, const daemon_settings& settings)
{
    GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
    host_daemon daemon(settings, [loop] { g_main_loop_quit(loop); });
    const auto started = daemon.start();
    if (!started)
    {
        log_error(started.error().message);
        return exit_failed;
    }
    signal_context host{settings_path, &daemon};
    g_unix_signal_add(SIGTERM, on_stop_signal, &host);
    g_unix_signal_add(SIGINT, on_stop_signal, &host);
    g_unix_signal_add(SIGHUP, on_reload_signal, &host);
    change_signal_mask(SIG_UNBLOCK);
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
    log_info("stopped");
    return exit_good;
}

int parse_and_run(int argc, char** argv)
{
    cxxopts::Options options("briarbarrowd", "The daemon of an entry host of briarbarrow.");
    options.add_options()("settings", "Settings file (TOML)",
                          cxxopts::value<std::string>())("check", "Check the settings and end")(
        "version", "Print the version and end")("help", "Print this text and end");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0)
    {
        std::cout << options.help()
                  << "\nSignals: TERM or INT stop by plan (a second one at once), HUP reads the "
                     "settings again.\nExit status: 0 stopped by plan, 1 could not start, 2 wrong "
                     "usage or settings.\n";
        return exit_good;
    }
    if (parsed.count("version") > 0)
    {
        std::cout << "briarbarrowd " << BRIARBARROW_VERSION << '\n';
        return exit_good;
    }
    if (parsed.count("settings") == 0)
    {
        std::cerr << "briarbarrowd: missing option --settings FILE; see --help\n";
        return exit_usage;
    }
    const auto path = parsed["settings"].as<std::string>();
    const auto settings = read_settings(path);
    if (!settings)
    {
        std::cerr << settings.error().message << '\n';
        return exit_usage;
    }
    if (parsed.count("check") > 0)
    {
        std::cout << path << ": good\n";
        return exit_good;
    }
    start_log("briarbarrowd", settings.value().self.name);
    return run(path, settings.value());
}

} // namespace

int main(int argc, char** argv)
{
    change_signal_mask(SIG_BLOCK);
    try
    {
        return parse_and_run(argc, argv);
    }
    catch (const cxxopts::exceptions::exception& wrong)
    {
        std::cerr << "briarbarrowd: " << wrong.what() << "; see --help\n";
        return exit_usage;
    }
}

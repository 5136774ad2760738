// A single-threaded event loop, sockets on loopback addresses, and the record of a case.
#ifndef BRIARBARROW_REVIEW_LOOP_HPP
#define BRIARBARROW_REVIEW_LOOP_HPP

#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <string>

namespace review
{

// Milliseconds of the steady clock since the start of the process.
std::int64_t now_ms();

// An IPv4 address and port, both in host byte order.
struct address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    friend auto operator<=>(const address&, const address&) = default;
};

std::string ip_text(std::uint32_t ip);
std::string to_text(const address& value);

// Sockets are non-blocking and closed on exec. They end the process when they can't be bound: the
// case can't run then.
int open_udp(const address& local);
int open_listener(const address& local);
// Starts to connect. Returns -1 if that fails at once.
int start_connecting(const address& to);
void send_datagram(int descriptor, const address& to, const std::string& bytes);
// Returns false when nothing is waiting.
bool receive_datagram(int descriptor, address& from, std::string& bytes);

// Runs handlers of readable or writable descriptors and of timers.
class event_loop
{
public:
    using handler = std::function<void()>;

    void watch(int descriptor, handler on_readable);
    void watch_writable(int descriptor, handler on_writable);
    void forget(int descriptor);
    void after(std::int64_t delay_ms, handler task);
    // Runs until the time has come.
    void run_until(std::int64_t end_ms);

private:
    struct interest
    {
        handler on_readable;
        handler on_writable;
    };

    void run_once(std::int64_t end_ms);

    std::map<int, interest> interests;
    std::multimap<std::int64_t, handler> timers;
};

// What was sent, answered and run, one line each.
class case_record
{
public:
    explicit case_record(const std::string& path);
    ~case_record();
    case_record(const case_record&) = delete;
    case_record& operator=(const case_record&) = delete;

    void line(const std::string& text);
    // Also printed.
    void result(const std::string& text);

private:
    std::FILE* file;
};

} // namespace review

#endif

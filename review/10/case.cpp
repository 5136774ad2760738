// A daemon is added to a zone as planned. The seeds in its settings are stale: no process runs
// there any more. It reads the store, is ready and gets its share of the zone's flows, but it finds
// no other daemon and no other finds it, so nobody tells it where flows with two answers are open.
#include "../standin-2/two_answers.hpp"

using namespace review;

namespace
{

// More than StableWindowMs (4 s) after the links were full.
constexpr milliseconds add_at = full_at + 4'800;

} // namespace

int main(int argc, char** argv)
{
    const case_arguments arguments = read_arguments(argc, argv);
    world w(arguments.root, arguments.folder, arguments.record, arguments.seed);
    const std::vector<std::string> seeds = {w.seed_of(1), w.seed_of(3), w.seed_of(4)};
    const std::vector<std::string> stale_seeds = {w.seed_of(11), w.seed_of(12), w.seed_of(13)};
    w.add_daemon(1, "front-z1-1", "z1", seeds);
    w.add_daemon(2, "front-z1-2", "z1", seeds);
    w.add_daemon(3, "front-z2-1", "z2", seeds);
    w.add_daemon(4, "front-z3-1", "z3", seeds);
    // Without the disruption the seeds are those of the others; the daemon is added all the same.
    daemon_host& added =
        w.add_daemon(5, "front-z2-2", "z2", arguments.has_trouble ? stale_seeds : seeds);
    added.starts_first = false;
    bool is_added = false;
    two_answers_plan plan;
    // Pauses of seconds between requests, below the idle time-out of 15 s.
    plan.request_times = every(2'400, 5);
    plan.end_at = 33'000;
    plan.disrupt = [&is_added, &added](world& at)
    {
        if (!is_added && now_ms() >= add_at)
        {
            is_added = true;
            at.daemons.start(added);
        }
    };
    return run_two_answers(w, plan);
}

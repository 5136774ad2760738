// All daemons are killed at the same moment and start again. Some seconds later, when all are in
// touch again, callers go on with flows that were open meanwhile.
#include "../standin-2/two_answers.hpp"

using namespace review;

namespace
{

constexpr milliseconds kill_at = full_at + 1'300;
// StableWindowMs (4 s) after the last daemon has started again.
constexpr milliseconds in_touch_at = kill_at + 1'000 + 4'000;

} // namespace

int main(int argc, char** argv)
{
    const case_arguments arguments = read_arguments(argc, argv);
    world w(arguments.root, arguments.folder, arguments.record, arguments.seed);
    const std::vector<std::string> seeds = {w.seed_of(1), w.seed_of(3), w.seed_of(4)};
    w.add_daemon(1, "front-z1-1", "z1", seeds);
    w.add_daemon(2, "front-z1-2", "z1", seeds);
    w.add_daemon(3, "front-z2-1", "z2", seeds);
    w.add_daemon(4, "front-z3-1", "z3", seeds);
    bool is_killed = !arguments.has_trouble;
    two_answers_plan plan;
    // A pause of seconds between two requests, below the idle time-out of 15 s.
    plan.request_times = {0, 6'600, 7'600, 8'600};
    plan.end_at = 33'000;
    plan.in_touch_at = in_touch_at;
    plan.disrupt = [&is_killed](world& at)
    {
        if (!is_killed && now_ms() >= kill_at)
        {
            is_killed = true;
            for (const auto& host : at.daemons.hosts)
            {
                at.daemons.kill_process(*host);
            }
        }
    };
    return run_two_answers(w, plan);
}

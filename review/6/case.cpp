// The only daemon of a zone is restarted as planned. Meanwhile routers send the zone's flows to the
// daemons of the nearest zones, of which only two have been told where flows with two answers are
// open.
#include "../standin-2/two_answers.hpp"

using namespace review;

namespace
{

// More than StableWindowMs (4 s) after the links were full.
constexpr milliseconds restart_at = full_at + 5'300;

} // namespace

int main(int argc, char** argv)
{
    const case_arguments arguments = read_arguments(argc, argv);
    world w(arguments.root, arguments.folder, arguments.record, arguments.seed);
    const std::vector<std::string> seeds = {w.seed_of(1), w.seed_of(3), w.seed_of(4)};
    // As on quito-central, with the spare machines of two zones.
    w.add_daemon(1, "front-z1-1", "z1", seeds);
    w.add_daemon(2, "front-z1-2", "z1", seeds);
    daemon_host& sole = w.add_daemon(3, "front-z2-1", "z2", seeds);
    w.add_daemon(4, "front-z3-1", "z3", seeds);
    w.add_daemon(5, "front-z1-3", "z1", seeds);
    w.add_daemon(6, "front-z3-2", "z3", seeds);
    bool is_restarted = !arguments.has_trouble;
    two_answers_plan plan;
    plan.request_times = every(600, 15);
    plan.end_at = 33'000;
    plan.disrupt = [&is_restarted, &sole](world& at)
    {
        if (!is_restarted && now_ms() >= restart_at)
        {
            is_restarted = true;
            at.daemons.restart(sole);
        }
    };
    return run_two_answers(w, plan);
}

// briarbarrow_bench: named experiments on the real core, one JSON object a line.
#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "bench/flow_scenarios.hpp"

namespace
{

using namespace briarbarrow;
using nlohmann::json;

constexpr int exit_good = 0;
constexpr int exit_broken = 1;
constexpr int exit_usage = 2;

// The first and the last seed of a sweep.
struct seed_range
{
    std::uint64_t first = 1;
    std::uint64_t last = 1;
};

seed_range read_seeds(const cxxopts::ParseResult& parsed)
{
    if (parsed.count("seeds") == 0)
    {
        const auto seed = parsed["seed"].as<std::uint64_t>();
        return {seed, seed};
    }
    const auto text = parsed["seeds"].as<std::string>();
    const auto dots = text.find("..");
    if (dots == std::string::npos)
    {
        throw std::invalid_argument("--seeds must be A..B");
    }
    return {std::stoull(text.substr(0, dots)), std::stoull(text.substr(dots + 2))};
}

flow_policy read_policy(const std::string& name)
{
    for (std::size_t i = 0; i < flow_policy_names.size(); ++i)
    {
        if (flow_policy_names[i] == name)
        {
            return static_cast<flow_policy>(i);
        }
    }
    throw std::invalid_argument("--policy must be product, plain_hash or local_table");
}

json to_json(const flow_scenario& scenario, const net_settings& settings, const net_tally& tally,
             const virtual_net& net)
{
    const double packets = static_cast<double>(tally.packets_to_backends);
    const auto policy = static_cast<std::size_t>(settings.policy);
    json line{{"scenario", scenario.name},
              {"policy", flow_policy_names[policy]},
              {"seed", settings.seed},
              {"opened", tally.opened},
              {"finished", tally.finished},
              {"broken", tally.broken},
              {"misrouted", tally.misrouted},
              {"doubled", tally.doubled},
              {"false_refusals", tally.false_refusals},
              {"refused", tally.refused},
              {"split_openings", tally.split_openings},
              {"late_to_draining", tally.late_to_draining},
              {"extra_hops", packets > 0 ? static_cast<double>(tally.host_hops) / packets : 0},
              {"control_bytes", net.control_bytes()},
              {"longest_pause_ms", tally.longest_pause.count},
              {"broken_by_reason", tally.broken_by_reason}};
    return line;
}

// Runs one scenario with one seed. Returns true when every promise was kept.
bool run_one(const flow_scenario& scenario, const net_settings& settings, std::size_t flows,
             bool quiet, std::size_t traced, bool story)
{
    virtual_net net(settings);
    for (std::size_t i = 0; i < settings.hosts; ++i)
    {
        net.start_host(i);
    }
    net.trace_flow(traced);
    const net_tally tally = run_flow_scenario(scenario, net, flows);
    const auto broken = broken_promises(scenario, tally);
    if (!quiet || !broken.empty())
    {
        json line = to_json(scenario, settings, tally, net);
        line["broken_promises"] = broken;
        if (!broken.empty())
        {
            line["faults"] = tally.faults;
        }
        std::cout << line.dump() << '\n';
    }
    if (story)
    {
        for (const std::string& text : net.story())
        {
            std::cerr << text << '\n';
        }
    }
    // The baselines are there to be compared with; they promise nothing.
    return broken.empty() || settings.policy != flow_policy::product;
}

int run_flows(const cxxopts::ParseResult& parsed)
{
    const auto wanted = parsed["scenario"].as<std::string>();
    const seed_range seeds = read_seeds(parsed);
    net_settings settings;
    settings.hosts = parsed["hosts"].as<std::size_t>();
    settings.policy = read_policy(parsed["policy"].as<std::string>());
    const auto flows = parsed["flows"].as<std::size_t>();
    const bool quiet = parsed.count("quiet") > 0;
    const bool story = parsed.count("story") > 0;
    const std::size_t traced =
        parsed.count("trace") > 0 ? parsed["trace"].as<std::size_t>() : SIZE_MAX;
    std::uint64_t runs = 0;
    std::uint64_t failed = 0;
    for (const flow_scenario& scenario : flow_scenarios())
    {
        if (wanted != "all" && wanted != scenario.name)
        {
            continue;
        }
        for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed)
        {
            settings.seed = seed;
            ++runs;
            failed += run_one(scenario, settings, flows, quiet, traced, story) ? 0 : 1;
        }
    }
    if (runs == 0)
    {
        std::cerr << "briarbarrow_bench: there is no scenario \"" << wanted << "\"; known are";
        for (const flow_scenario& scenario : flow_scenarios())
        {
            std::cerr << ' ' << scenario.name;
        }
        std::cerr << '\n';
        return exit_usage;
    }
    std::cerr << runs << " runs, " << failed << " with a broken promise\n";
    return failed == 0 ? exit_good : exit_broken;
}

int parse_and_run(int argc, char** argv)
{
    cxxopts::Options options("briarbarrow_bench", "Experiments on the core of briarbarrow.");
    options.custom_help("flows [OPTION...]");
    options.add_options()("scenario", "Name of the scenario, or all",
                          cxxopts::value<std::string>()->default_value("all"))(
        "policy", "product, plain_hash or local_table",
        cxxopts::value<std::string>()->default_value("product"))(
        "seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "Sweep over the seeds A..B", cxxopts::value<std::string>())(
        "hosts", "Number of hosts", cxxopts::value<std::size_t>()->default_value("5"))(
        "flows", "Number of flows", cxxopts::value<std::size_t>()->default_value("400"))(
        "quiet", "Print only runs that break a promise")(
        "story", "Print what the hosts say on standard error")(
        "trace", "With --story: print every step of this flow's packets",
        cxxopts::value<std::size_t>())("json", "Print JSON (always)")(
        "help", "Print this text and end")("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0)
    {
        std::cout << options.help();
        return exit_good;
    }
    const auto words = parsed.count("words") > 0 ? parsed["words"].as<std::vector<std::string>>()
                                                 : std::vector<std::string>();
    if (words.size() != 1 || words[0] != "flows")
    {
        std::cerr << "briarbarrow_bench: an experiment is needed: flows; see --help\n";
        return exit_usage;
    }
    return run_flows(parsed);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return parse_and_run(argc, argv);
    }
    catch (const std::exception& wrong)
    {
        std::cerr << "briarbarrow_bench: " << wrong.what() << "; see --help\n";
        return exit_usage;
    }
}

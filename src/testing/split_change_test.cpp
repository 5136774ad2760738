// Services that leave a route's split: open flows stay with their backend servers, whatever a
// daemon knows of earlier versions.
#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>

#include <doctest/doctest.h>

#include "tagged/tag_form.hpp"
#include "testing/idle_flow_fleet.hpp"
#include "testing/router_fixture.hpp"

using namespace briarbarrow;

namespace
{

constexpr std::uint32_t orders_share = 90;

// A router whose route to orders shares its flows with the service of the sheets.
struct split_fixture : router_fixture
{
    split_fixture()
    {
        this->router.writes_tag_forms = true;
    }

    static route_list make_split(std::uint64_t version, std::uint32_t share)
    {
        route_list list = make_routes(version);
        list.routes.front().services = {{service_id_of("orders"), share}};
        if (share < 100)
        {
            list.routes.front().services.push_back({service_id_of("sheets"), 100 - share});
        }
        return list;
    }

    // A packet in the middle of a flow that is open at the backend server.
    tagged_packet open_packet(const std::string& backend)
    {
        tagged_packet packet = data(this->opening(orders_address), make_open_tag(tag_of(backend)));
        packet.sequence += 50'000;
        return packet;
    }
};

idle_flow_options make_split_options(std::uint64_t seed)
{
    idle_flow_options options;
    options.seed = seed;
    options.daemons = 3;
    options.away_daemons = 2;
    options.backends = 24;
    options.second_backends = 8;
    options.flows = 500;
    options.opening_interval_ms = 5;
    options.requests = 5;
    options.think_ms = 4'000;
    options.split_changes = {{500, 30}, {6'000, 0}};
    return options;
}

void check_no_flow_broken(const idle_flow_options& options)
{
    const idle_flow_report report = run_idle_flows(options);
    CHECK(report.broken == 0);
    CHECK(report.answers == report.opened * options.requests);
    CHECK(report.opened == options.flows);
}

} // namespace

// A restarted daemon knew only the services of the newest version, took the tag of a flow at
// another one for that of a dead backend server, and reset the flow.
TEST_CASE("split changes: a daemon that never had a service in its split keeps the flows there")
{
    split_fixture restarted;
    for (int i = 0; i < 100; ++i)
    {
        const packet_decision decision = restarted.route(restarted.open_packet("i-12"));
        REQUIRE(decision.verdict == packet_verdict::forward);
        CHECK(restarted.backend(decision.backend).registration.name == "i-12");
        restarted.advance(100);
    }
}

TEST_CASE("split changes: a flow whose opening a daemon did not see goes where it was placed")
{
    split_fixture placing;
    apply_route_list(placing.router, split_fixture::make_split(2, orders_share));
    split_fixture restarted;
    int placed_at_second = 0;
    for (int i = 0; i < 200; ++i)
    {
        const tagged_packet opening = placing.opening(orders_address);
        const packet_decision placed = placing.route(opening);
        REQUIRE(placed.verdict == packet_verdict::forward);
        const std::string name = placing.backend(placed.backend).registration.name;
        placed_at_second += name.starts_with("i-1") ? 1 : 0;
        const tagged_packet first = router_fixture::data(opening, placed.tag);
        packet_decision decision = restarted.route(first);
        if (decision.verdict == packet_verdict::hold)
        {
            handle_lookup_result(restarted.router, flow_key_of(first.tuple),
                                 lookup_outcome::not_recorded, std::nullopt, restarted.now);
            decision = restarted.route(first);
        }
        REQUIRE(decision.verdict == packet_verdict::forward);
        CHECK(restarted.backend(decision.backend).registration.name == name);
        placing.advance(20);
        restarted.advance(20);
    }
    CHECK(placed_at_second > 5);
}

TEST_CASE("split changes: flows at a backend server that has ended are reset promptly")
{
    for (const std::string name : {"i-12", "i-77"})
    {
        CAPTURE(name);
        split_fixture restarted;
        restarted.advance(4'000);
        const tagged_packet packet = restarted.open_packet(name);
        restarted.route(packet);
        if (name == "i-12")
        {
            handle_backend_unlisted(restarted.router, name, restarted.now);
            restarted.presume_dead(restarted.router.backends.by_name.at(name),
                                   check_outcome::refused);
        }
        const bool is_reset = !restarted.advance(1'500).resets.empty();
        CHECK((is_reset || restarted.route(packet).verdict == packet_verdict::reset));
    }
}

// Not to know where a flow is open is no proof that its backend server is dead.
TEST_CASE("split changes: a tag that names a live backend server in doubt is dropped, never reset")
{
    split_fixture restarted;
    // The entry of i-88 can't be used, and the plain tag of i-12 is that of another service.
    handle_unusable_entry(restarted.router, "i-88", restarted.now);
    const tagged_packet unusable = restarted.open_packet("i-88");
    tagged_packet plain = restarted.open_packet("i-12");
    plain.tag = tag_of("i-12");
    for (int i = 0; i < 100; ++i)
    {
        CHECK(restarted.route(unusable).verdict == packet_verdict::drop);
        CHECK(restarted.route(plain).verdict == packet_verdict::drop);
        restarted.advance(100);
    }
    handle_backend_unlisted(restarted.router, "i-88", restarted.now);
    CHECK(restarted.route(unusable).verdict == packet_verdict::reset);
}

TEST_CASE("split changes: the tag of an opening packet proves no backend server dead")
{
    // It may be that of a backend server which lost, on a flow whose first packet had an unknown
    // tag here.
    split_fixture restarted;
    restarted.advance(4'000);
    tagged_packet packet = restarted.open_packet("i-77");
    CHECK(restarted.route(packet).verdict == packet_verdict::drop);
    packet.tag = make_opening_tag(tag_of("i-12"), 1'000);
    for (int i = 0; i < 30; ++i)
    {
        restarted.advance(100);
        CHECK(restarted.route(packet).verdict != packet_verdict::reset);
    }
}

// A flow whose recorded backend server has an entry that can't be used was reset.
TEST_CASE("split changes: a recorded flow is not reset while its backend server may be alive")
{
    split_fixture restarted;
    restarted.advance(4'000);
    handle_unusable_entry(restarted.router, "i-88", restarted.now);
    tagged_packet packet = restarted.open_packet("i-12");
    packet.tag = make_opening_tag(tag_of("i-12"), 1'000);
    add_contested_flow(restarted.router.contested,
                       {flow_key_of(packet.tuple), 1'000, tag_of("i-88")}, restarted.now);
    for (int i = 0; i < 30; ++i)
    {
        CHECK(restarted.route(packet).verdict == packet_verdict::drop);
        restarted.advance(100);
    }
    handle_backend_unlisted(restarted.router, "i-88", restarted.now);
    CHECK(restarted.route(packet).verdict == packet_verdict::reset);
}

TEST_CASE("split changes: an identity that two services have in common is not followed or reset")
{
    // Find two names with the same identity.
    std::unordered_map<std::uint32_t, std::string> names;
    std::string first;
    std::string second;
    for (std::uint64_t i = 0; second.empty(); ++i)
    {
        std::string name = "s-" + std::to_string(i);
        const auto [found, is_new] = names.emplace(tag_of(name) & tag_identity_mask, name);
        if (!is_new)
        {
            first = found->second;
            second = name;
        }
    }
    split_fixture restarted;
    apply_backend_registration(restarted.router, make_backend(first, "sheets", 21), restarted.now);
    apply_backend_registration(restarted.router, make_backend(second, "maps", 22), restarted.now);
    const tagged_packet packet = restarted.open_packet(first);
    for (int i = 0; i < 50; ++i)
    {
        CHECK(restarted.route(packet).verdict == packet_verdict::drop);
        restarted.advance(100);
    }
    // Once one of them is forgotten the other is known to be meant.
    handle_backend_unlisted(restarted.router, second, restarted.now);
    restarted.advance(unlisted_retention.count + 2'000);
    CHECK(restarted.route(restarted.open_packet(first)).verdict == packet_verdict::forward);
}

TEST_CASE("split changes: planned restarts in turn after a service has left break no flow")
{
    for (const std::int64_t first_restart_ms : {6'050, 7'000, 9'500})
    {
        for (const std::int64_t gap_ms : {2'300, 3'000})
        {
            for (const std::int64_t rounds : {1, 2})
            {
                for (const bool moves_all_flows : {false, true})
                {
                    CAPTURE(first_restart_ms);
                    CAPTURE(gap_ms);
                    CAPTURE(rounds);
                    CAPTURE(moves_all_flows);
                    idle_flow_options options = make_split_options(3);
                    options.moves_all_flows = moves_all_flows;
                    for (std::int64_t i = 0; i < rounds * 5; ++i)
                    {
                        const std::int64_t at = first_restart_ms + i * gap_ms;
                        options.restarts.push_back(
                            {static_cast<std::size_t>(i % 5), at, at + 2'200});
                    }
                    check_no_flow_broken(options);
                }
            }
        }
    }
}

TEST_CASE("split changes: a rolling update while services leave and come back breaks no flow")
{
    for (const std::int64_t gap_ms : {2'300, 4'000})
    {
        CAPTURE(gap_ms);
        idle_flow_options options = make_split_options(5);
        options.is_update = true;
        options.requests = 8;
        // The plain tags of the earlier version show their service to daemons that have had it, so
        // the service leaves once all write the other forms.
        const std::int64_t updated = 3'000 + 5 * gap_ms + 17'000;
        options.split_changes = {{500, 30}, {updated, 0}, {updated + 5'000, 10}};
        for (std::int64_t i = 0; i < 5; ++i)
        {
            const auto index = static_cast<std::size_t>(i);
            options.restarts.push_back({index, 3'000 + i * gap_ms, 5'200 + i * gap_ms});
            const std::int64_t again = updated + 700 + i * gap_ms;
            options.restarts.push_back({index, again, again + 2'200});
        }
        check_no_flow_broken(options);
    }
}

// Versions with and without the second service, kills of one or all daemons, planned restarts, full
// links and ports that are used again, in any order.
TEST_CASE("split changes: no series of versions and disruptions breaks a flow")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto draw = [&random](std::int64_t low, std::int64_t high)
        {
            return low +
                   static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(high - low));
        };
        idle_flow_options options = make_split_options(seed);
        options.daemons = 1 + random() % 4;
        options.away_daemons = 1 + random() % 4;
        options.think_ms = draw(300, 6'000);
        options.moves_all_flows = random() % 2 == 0;
        options.ports = random() % 3 == 0 ? 200 + random() % 300 : 0;
        options.split_delay_ms = draw(1, 3'000);
        options.split_changes = {{500, 30}};
        for (std::int64_t at = draw(2'500, 6'000); at < 14'000; at += draw(200, 5'000))
        {
            options.split_changes.push_back({at, random() % 2 == 0 ? 0U : 40U});
        }
        const std::size_t all = options.daemons + options.away_daemons;
        for (std::uint64_t i = random() % 3; i > 0; --i)
        {
            const std::int64_t at = draw(3'000, 14'000);
            for (std::size_t daemon = 0; daemon < all; ++daemon)
            {
                options.kills.push_back({daemon, at, at + draw(100, 2'000)});
            }
        }
        for (std::uint64_t i = random() % 4; i > 0; --i)
        {
            const std::int64_t at = draw(3'000, 14'000);
            options.kills.push_back({random() % all, at, at + draw(100, 2'000)});
        }
        if (random() % 3 != 0)
        {
            const std::int64_t begin = draw(3'000, 10'000);
            const std::int64_t gap = draw(2'300, 4'000);
            for (std::size_t i = 0; i < 2 * all; ++i)
            {
                const std::int64_t at = begin + static_cast<std::int64_t>(i) * gap;
                options.restarts.push_back({i % all, at, at + 2'200});
            }
        }
        if (random() % 3 == 0)
        {
            const std::int64_t at = draw(2'500, 6'500);
            for (std::size_t i = 0; i < 6; ++i)
            {
                options.full_links.push_back({random() % options.backends, at, at + 400});
            }
        }
        const idle_flow_report report = run_idle_flows(options);
        CHECK(report.broken_in_touch == 0);
        CHECK(report.opened > 0);
    }
}

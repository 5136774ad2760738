#include <algorithm>
#include <string>

#include <doctest/doctest.h>

#include "tagged/tag_router.hpp"

using namespace briarbarrow;

namespace
{

const endpoint orders_address = *parse_endpoint("198.18.0.1:8080");
const endpoint previews_address = *parse_endpoint("198.18.0.1:8443");
const endpoint sheets_address = *parse_endpoint("198.18.0.2:8443");
const endpoint unknown_address = *parse_endpoint("198.18.0.9:8443");

route make_route(const endpoint& address, request_kind kind, const std::string& service)
{
    route made;
    made.name = to_string(address);
    made.address = address;
    made.kind = kind;
    made.timeout = millis{800};
    made.objective = millis{120};
    made.priority = 1;
    made.services = {{service_id_of(service), 1}};
    return made;
}

route_list make_routes(std::uint64_t version)
{
    route_list list;
    list.version = version;
    list.routes = {make_route(orders_address, request_kind::at_most_once, "orders"),
                   make_route(previews_address, request_kind::idempotent, "orders"),
                   make_route(sheets_address, request_kind::download, "sheets")};
    return list;
}

backend_notice make_backend(const std::string& name, const std::string& service, int number)
{
    backend_notice notice;
    notice.name = name;
    notice.wire_number = static_cast<std::uint64_t>(number);
    notice.service = service;
    notice.zone = "zone-a";
    notice.packets = *parse_endpoint("10.0.0." + std::to_string(number) + ":8080");
    notice.slots = 2;
    notice.start_time_ms = 1;
    return notice;
}

// A router with two services of three backend servers each, and callers.
struct field
{
    router_state router;
    millis now{100'000};
    std::uint16_t next_port = 1'024;

    field()
    {
        router_settings told;
        told.own_zone = "zone-a";
        start_router(this->router, told, this->now);
        apply_route_list(this->router, make_routes(1));
        for (int i = 1; i <= 3; ++i)
        {
            apply_backend_notice(this->router, make_backend("i-0" + std::to_string(i), "orders", i),
                                 this->now);
            apply_backend_notice(
                this->router, make_backend("i-1" + std::to_string(i), "sheets", 10 + i), this->now);
        }
        confirm_lists(this->router, this->now);
    }

    tagged_packet opening(const endpoint& to)
    {
        tagged_packet packet;
        packet.tuple.source = *parse_address("100.64.0.7");
        packet.tuple.source_port = this->next_port++;
        packet.tuple.destination = to.address;
        packet.tuple.destination_port = to.port;
        packet.opens = true;
        packet.sequence = 1'000;
        return packet;
    }

    static tagged_packet data(const tagged_packet& opened, std::uint32_t tag)
    {
        tagged_packet packet = opened;
        packet.opens = false;
        packet.has_ack = true;
        packet.sequence = 1'001;
        packet.acknowledgement = 500;
        packet.payload_bytes = 100;
        packet.tag = tag;
        return packet;
    }

    packet_decision take(const tagged_packet& packet)
    {
        return route_packet(this->router, packet, this->now);
    }

    // Lets time pass, with fresh lists, and gathers what ticks want.
    router_actions run(std::int64_t span_ms, bool with_lists = true)
    {
        router_actions all;
        const millis end = this->now + millis{span_ms};
        while (this->now < end)
        {
            this->now = this->now + router_tick_interval;
            if (with_lists)
            {
                confirm_lists(this->router, this->now);
            }
            router_actions orders;
            tick_router(this->router, this->now, orders);
            all.resets.insert(all.resets.end(), orders.resets.begin(), orders.resets.end());
            all.checks.insert(all.checks.end(), orders.checks.begin(), orders.checks.end());
            all.failures.insert(all.failures.end(), orders.failures.begin(), orders.failures.end());
        }
        return all;
    }

    known_backend& backend(backend_index index)
    {
        return this->router.backends.entries[index];
    }

    // Lets a backend server be suspected and fail its checks.
    void presume_dead(backend_index index, check_outcome outcome)
    {
        observe_missing_response(this->backend(index), this->now, this->now);
        const std::string name = this->backend(index).notice.name;
        handle_check_result(this->router, name, outcome, this->now);
        handle_check_result(this->router, name, outcome, this->now);
    }
};

} // namespace

TEST_CASE("an opening is placed within its route's service and tagged")
{
    field all;
    for (int i = 0; i < 50; ++i)
    {
        const packet_decision decision = all.take(all.opening(orders_address));
        REQUIRE(decision.verdict == packet_verdict::forward);
        CHECK(all.backend(decision.backend).notice.service == "orders");
        CHECK(decision.tag == tag_of(all.backend(decision.backend).notice.name));
    }
}

TEST_CASE("a later packet goes where its tag says, also at a daemon that did not see it open")
{
    field first;
    field second;
    const tagged_packet opening = first.opening(previews_address);
    const packet_decision placed = first.take(opening);
    const packet_decision later = second.take(field::data(opening, placed.tag));
    CHECK(later.verdict == packet_verdict::forward);
    CHECK(later.reason == verdict_reason::tagged);
    CHECK(second.backend(later.backend).notice.name == first.backend(placed.backend).notice.name);
}

TEST_CASE("a tag of another service leads nowhere")
{
    field all;
    const tagged_packet opening = all.opening(orders_address);
    const packet_decision forged = all.take(field::data(opening, tag_of("i-11")));
    CHECK(forged.verdict == packet_verdict::drop);
    CHECK(forged.reason == verdict_reason::tag_not_known);
}

TEST_CASE("made-up tags never lead to a backend server")
{
    field all;
    for (std::uint32_t tag = 0; tag < 10'000; ++tag)
    {
        const packet_decision decision =
            all.take(field::data(all.opening(sheets_address), tag * 429'497));
        CHECK(decision.verdict != packet_verdict::forward);
    }
}

TEST_CASE("a flow stays with the backend server whose answer its caller took first")
{
    field all;
    const tagged_packet opening = all.opening(orders_address);
    const packet_decision first = all.take(opening);
    all.run(220);
    const packet_decision copy = all.take(opening);
    REQUIRE(copy.verdict == packet_verdict::forward);
    REQUIRE(copy.backend != first.backend);
    // The first one answers after all, then the second one; the caller repeats the newest tag.
    CHECK(all.take(field::data(opening, first.tag)).backend == first.backend);
    const packet_decision later = all.take(field::data(opening, copy.tag));
    CHECK(later.backend == first.backend);
    CHECK(later.tag == first.tag);
}

TEST_CASE("a copy goes to the same backend server while that one answers others")
{
    field all;
    const tagged_packet opening = all.opening(orders_address);
    const packet_decision first = all.take(opening);
    all.now = all.now + millis{100};
    observe_response(all.backend(first.backend), all.now);
    all.now = all.now + millis{100};
    const packet_decision copy = all.take(opening);
    CHECK(copy.backend == first.backend);
    CHECK(copy.reason == verdict_reason::resent_to_same_backend);
}

TEST_CASE("a draining backend server gets no opening, but keeps its flows")
{
    field all;
    const tagged_packet opening = all.opening(orders_address);
    const packet_decision placed = all.take(opening);
    all.take(field::data(opening, placed.tag));
    backend_notice leaving = all.backend(placed.backend).notice;
    leaving.is_draining = true;
    apply_backend_notice(all.router, leaving, all.now);
    for (int i = 0; i < 50; ++i)
    {
        CHECK(all.take(all.opening(orders_address)).backend != placed.backend);
    }
    CHECK(all.take(field::data(opening, placed.tag)).backend == placed.backend);
    handle_backend_unlisted(all.router, leaving.name, all.now);
    CHECK(all.take(field::data(opening, placed.tag)).backend == placed.backend);
    CHECK(all.take(all.opening(orders_address)).backend != placed.backend);
}

TEST_CASE("when all entries lapse their backend servers are a last resort for two seconds")
{
    field all;
    for (int i = 1; i <= 3; ++i)
    {
        handle_backend_unlisted(all.router, "i-0" + std::to_string(i), all.now);
    }
    CHECK(all.take(all.opening(orders_address)).verdict == packet_verdict::forward);
    all.run(expiry_grace_period.count + 100);
    const packet_decision after = all.take(all.opening(orders_address));
    CHECK(after.verdict == packet_verdict::reset);
    CHECK(after.reason == verdict_reason::no_backend);
}

TEST_CASE("an opening for an unknown route is refused when the routes are fresh, else dropped")
{
    field all;
    CHECK(all.take(all.opening(unknown_address)).verdict == packet_verdict::reset);
    all.run(max_list_age.count + 100, false);
    CHECK(all.take(all.opening(unknown_address)).verdict == packet_verdict::drop);
}

// Soak seed 5: a flow on a route that was 1.8 s old came to a daemon which had not heard of the
// route and reset it.
TEST_CASE("an open flow on a route that is not known yet is not reset")
{
    field all;
    const tagged_packet opening = all.opening(unknown_address);
    CHECK(all.take(field::data(opening, tag_of("i-01"))).verdict == packet_verdict::drop);
    route_list newer = make_routes(2);
    newer.routes.push_back(make_route(unknown_address, request_kind::idempotent, "orders"));
    apply_route_list(all.router, newer);
    CHECK(all.take(field::data(opening, tag_of("i-01"))).verdict == packet_verdict::forward);
    apply_route_list(all.router, make_routes(3));
    CHECK(all.take(field::data(opening, tag_of("i-01"))).verdict == packet_verdict::reset);
}

TEST_CASE("before routes and lists are known nothing is refused")
{
    router_state empty;
    start_router(empty, {}, millis{100'000});
    field all;
    CHECK(route_packet(empty, all.opening(orders_address), millis{100'000}).verdict ==
          packet_verdict::drop);
    CHECK_FALSE(is_router_ready(empty));
}

TEST_CASE("an older version of the routes is never taken")
{
    field all;
    route_list newer = make_routes(9);
    newer.routes.pop_back();
    apply_route_list(all.router, newer);
    apply_route_list(all.router, make_routes(5));
    CHECK(all.router.routes.version == 9);
    CHECK(all.take(all.opening(sheets_address)).verdict == packet_verdict::reset);
}

TEST_CASE("an open flow stays where it is when its route changes service, and goes with its route")
{
    field all;
    const tagged_packet opening = all.opening(previews_address);
    const packet_decision placed = all.take(opening);
    all.take(field::data(opening, placed.tag));
    route_list moved = make_routes(2);
    moved.routes[1].services = {{service_id_of("sheets"), 1}};
    apply_route_list(all.router, moved);
    CHECK(all.take(field::data(opening, placed.tag)).backend == placed.backend);
    const packet_decision fresh = all.take(all.opening(previews_address));
    CHECK(all.backend(fresh.backend).notice.service == "sheets");
    moved.version = 3;
    moved.routes.erase(moved.routes.begin() + 1);
    apply_route_list(all.router, moved);
    CHECK(all.take(field::data(opening, placed.tag)).verdict == packet_verdict::reset);
}

TEST_CASE("a backend server that answers no opening is suspected, checked and passed over")
{
    field all;
    const packet_decision placed = all.take(all.opening(orders_address));
    const router_actions orders = all.run(300);
    CHECK(all.backend(placed.backend).evidence.is_suspected);
    REQUIRE(orders.checks.size() >= 1);
    CHECK(orders.checks.front() == placed.backend);
    for (int i = 0; i < 20; ++i)
    {
        CHECK(all.take(all.opening(orders_address)).backend != placed.backend);
    }
    handle_check_result(all.router, all.backend(placed.backend).notice.name,
                        check_outcome::answered, all.now);
    CHECK_FALSE(all.backend(placed.backend).evidence.is_suspected);
}

TEST_CASE("silence before a standstill proves nothing")
{
    field all;
    const packet_decision placed = all.take(all.opening(orders_address));
    all.now = all.now + millis{4'000};
    router_actions orders;
    tick_router(all.router, all.now, orders);
    CHECK_FALSE(all.backend(placed.backend).evidence.is_suspected);
    CHECK(orders.checks.empty());
}

TEST_CASE("callers at a dead backend server are told when they may try again")
{
    field all;
    const tagged_packet repeatable = all.opening(previews_address);
    const packet_decision placed = all.take(repeatable);
    all.take(field::data(repeatable, placed.tag));
    all.presume_dead(placed.backend, check_outcome::timed_out);
    const router_actions orders = all.run(min_stall_timeout.count + 40);
    REQUIRE(orders.resets.size() == 1);
    CHECK(orders.resets[0].flow == repeatable.tuple);
    CHECK(orders.resets[0].sequence == 500);
}

TEST_CASE("an at-most-once flow is given up only when its backend server is surely gone")
{
    for (const check_outcome outcome :
         {check_outcome::timed_out, check_outcome::refused, check_outcome::replaced})
    {
        field all;
        const tagged_packet opening = all.opening(orders_address);
        const packet_decision placed = all.take(opening);
        all.take(field::data(opening, placed.tag));
        all.presume_dead(placed.backend, outcome);
        const router_actions orders = all.run(min_stall_timeout.count + 40);
        CHECK(orders.resets.size() == (outcome == check_outcome::timed_out ? 0 : 1));
    }
}

TEST_CASE("a backend server that takes connections but does not say who it is proves nothing")
{
    field all;
    const tagged_packet opening = all.opening(previews_address);
    const packet_decision placed = all.take(opening);
    all.take(field::data(opening, placed.tag));
    all.presume_dead(placed.backend, check_outcome::unidentified);
    CHECK(all.backend(placed.backend).evidence.is_suspected);
    CHECK(all.run(min_stall_timeout.count + 40).resets.empty());
}

TEST_CASE("the packet that begins a request is told apart from one that overtook it")
{
    field all;
    const tagged_packet opening = all.opening(orders_address);
    const packet_decision placed = all.take(opening);
    tagged_packet head = field::data(opening, placed.tag);
    tagged_packet body = head;
    body.sequence = head.sequence + head.payload_bytes;
    CHECK_FALSE(all.take(body).is_first_request);
    CHECK(all.take(head).is_first_request);
    CHECK_FALSE(all.take(head).is_first_request);
}

TEST_CASE("a request without progress makes its backend server doubtful, and a failed check silent")
{
    field all;
    const tagged_packet opening = all.opening(previews_address);
    const packet_decision placed = all.take(opening);
    all.now = all.now + millis{7};
    all.take(field::data(opening, placed.tag));
    const router_actions orders =
        all.run(min_stall_timeout.count + busy_review_interval.count + 60);
    REQUIRE(orders.checks.size() == 1);
    CHECK(orders.checks[0] == placed.backend);
    CHECK_FALSE(all.backend(placed.backend).evidence.is_suspected);
    const std::string name = all.backend(placed.backend).notice.name;
    handle_check_result(all.router, name, check_outcome::timed_out, all.now);
    CHECK(all.backend(placed.backend).evidence.is_suspected);
    router_actions told;
    tick_router(all.router, all.now, told);
    CHECK(told.unresponsive == std::vector<std::string>{name});
}

// Sends a flow's opening and request, and lets it wait without an answer.
backend_index wait_unanswered(field& all)
{
    const tagged_packet opened = all.opening(orders_address);
    const packet_decision placed = all.take(opened);
    all.take(field::data(opened, placed.tag));
    all.run(400);
    return placed.backend;
}

TEST_CASE("a request that waits too long is told as a failure, not one of the crowd after a start")
{
    field all;
    wait_unanswered(all);
    CHECK(std::all_of(all.router.backends.entries.begin(), all.router.backends.entries.end(),
                      [](const known_backend& backend)
                      { return backend.evidence.answers.failure_score == 0; }));
    all.run(2'000);
    const tagged_packet opened = all.opening(orders_address);
    const packet_decision placed = all.take(opened);
    all.take(field::data(opened, placed.tag));
    const router_actions orders = all.run(400);
    REQUIRE(orders.failures.size() == 1);
    CHECK(orders.failures[0].backend == all.backend(placed.backend).notice.name);
    CHECK(orders.failures[0].failure.observed_class == answer_class::missing);
}

TEST_CASE("failures of a backend server that is set aside are told no more")
{
    field all;
    all.run(2'000);
    // Only one serves, with slots for all, and never answers.
    known_backend& mute = all.backend(all.router.backends.by_name.at("i-01"));
    mute.notice.slots = 20;
    handle_backend_unlisted(all.router, "i-02", all.now);
    handle_backend_unlisted(all.router, "i-03", all.now);
    all.run(2'200);
    std::vector<tagged_packet> opened;
    for (int i = 0; i < 6; ++i)
    {
        opened.push_back(all.opening(orders_address));
        const packet_decision placed = all.take(opened.back());
        REQUIRE(placed.verdict == packet_verdict::forward);
        all.take(field::data(opened.back(), placed.tag));
    }
    const router_actions orders = all.run(600);
    CHECK(orders.failures.size() == 3);
    CHECK(mute.evidence.answers.is_demoted);
}

TEST_CASE("word of silence is checked, not believed, and own newer answers go before it")
{
    field all;
    all.run(1'000);
    handle_unresponsive_report(all.router, "i-01", all.now);
    router_actions orders;
    tick_router(all.router, all.now, orders);
    REQUIRE(orders.checks.size() == 1);
    CHECK_FALSE(all.backend(orders.checks[0]).evidence.is_suspected);
    handle_check_result(all.router, "i-01", check_outcome::timed_out, all.now);
    CHECK(all.backend(orders.checks[0]).evidence.is_suspected);
    observe_response(
        all.backend(*find_tag(all.router.backends, service_id_of("orders"), tag_of("i-02"))),
        all.now);
    handle_unresponsive_report(all.router, "i-02", all.now);
    orders.checks.clear();
    tick_router(all.router, all.now, orders);
    CHECK(std::count_if(orders.checks.begin(), orders.checks.end(),
                        [&all](backend_index index)
                        { return all.backend(index).notice.name == "i-02"; }) == 0);
    handle_unresponsive_report(all.router, "no such name", all.now);
}

TEST_CASE("a flow whose backend server answers again is not reset")
{
    field all;
    const tagged_packet opening = all.opening(previews_address);
    const packet_decision placed = all.take(opening);
    all.take(field::data(opening, placed.tag));
    all.presume_dead(placed.backend, check_outcome::timed_out);
    handle_check_result(all.router, all.backend(placed.backend).notice.name,
                        check_outcome::answered, all.now);
    CHECK(all.run(2'000).resets.empty());
}

TEST_CASE("a tag that no list explains is dropped at first and reset when that is sure")
{
    field all;
    all.run(4'000);
    const tagged_packet lost = field::data(all.opening(orders_address), 77);
    CHECK(all.take(lost).verdict == packet_verdict::drop);
    all.run(600);
    CHECK(all.take(lost).verdict == packet_verdict::drop);
    all.run(600);
    CHECK(all.take(lost).verdict == packet_verdict::reset);
    // An entry that comes meanwhile explains it.
    const tagged_packet early = field::data(all.opening(orders_address), tag_of("i-07"));
    CHECK(all.take(early).verdict == packet_verdict::drop);
    apply_backend_notice(all.router, make_backend("i-07", "orders", 7), all.now);
    CHECK(all.take(early).verdict == packet_verdict::forward);
}

TEST_CASE("of two names of one service with the same tag the smaller one has it")
{
    // Two names whose 32-bit tags are equal, found by search.
    std::unordered_map<std::uint32_t, std::string> seen;
    std::string left;
    std::string right;
    for (int i = 0; left.empty(); ++i)
    {
        const std::string name = "i-" + std::to_string(i);
        const auto [place, is_new] = seen.try_emplace(tag_of(name), name);
        if (!is_new)
        {
            left = std::min(place->second, name);
            right = std::max(place->second, name);
        }
    }
    for (const bool reversed : {false, true})
    {
        backend_directory known;
        apply_notice(known, make_backend(reversed ? right : left, "orders", 1), millis{0});
        apply_notice(known, make_backend(reversed ? left : right, "orders", 2), millis{0});
        const auto owner = find_tag(known, service_id_of("orders"), tag_of(left));
        REQUIRE(owner);
        CHECK(known.entries[*owner].notice.name == left);
        placement_request request;
        request.service = service_id_of("orders");
        request.own_zone = "zone-a";
        CHECK(place_flow(known, request, {}, millis{0})->backend == *owner);
    }
}

TEST_CASE("a backend server that started again starts with a clean record")
{
    field all;
    const packet_decision placed = all.take(all.opening(orders_address));
    all.presume_dead(placed.backend, check_outcome::timed_out);
    backend_notice again = all.backend(placed.backend).notice;
    again.start_time_ms = 2;
    apply_backend_notice(all.router, again, all.now);
    CHECK_FALSE(all.backend(placed.backend).evidence.is_suspected);
    // An entry of the start before, read late, changes nothing.
    again.start_time_ms = 1;
    again.is_draining = true;
    apply_backend_notice(all.router, again, all.now);
    CHECK(all.backend(placed.backend).phase == backend_phase::serving);
}

TEST_CASE("unlisted backend servers are forgotten when no flow names them, and their place is used")
{
    backend_directory known;
    apply_notice(known, make_backend("i-01", "orders", 1), millis{0});
    mark_unlisted(known, "i-01", millis{0});
    forget_unlisted(known, unlisted_retention);
    CHECK(known.by_name.size() == 1);
    forget_unlisted(known, unlisted_retention + expiry_grace_period);
    CHECK(known.by_name.empty());
    CHECK_FALSE(find_tag(known, service_id_of("orders"), tag_of("i-01")));
    apply_notice(known, make_backend("i-02", "orders", 2), millis{0});
    CHECK(known.entries.size() == 1);
}

TEST_CASE("counts of flows return to zero when all flows have ended")
{
    field all;
    for (int i = 0; i < 200; ++i)
    {
        const tagged_packet opening = all.opening(i % 2 == 0 ? orders_address : sheets_address);
        const packet_decision placed = all.take(opening);
        tagged_packet data = field::data(opening, placed.tag);
        if (i % 3 != 0)
        {
            all.take(data);
        }
        if (i % 5 == 0)
        {
            data.closes = true;
            all.take(data);
        }
        all.run(20);
    }
    all.run(40'000);
    CHECK(all.router.flows.flows.empty());
    for (const known_backend& backend : all.router.backends.entries)
    {
        CHECK(backend.evidence.in_flight == 0);
        CHECK(backend.evidence.open_flows == 0);
        CHECK(backend.remembered_flows == 0);
    }
}

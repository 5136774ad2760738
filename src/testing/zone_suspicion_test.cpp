// An availability zone whose backend servers crash in numbers must not be taken for one that is
// partitioned: the flows at its other backend servers live.

#include <string>

#include <doctest/doctest.h>

#include "tagged/tag_router.hpp"

using namespace briarbarrow;

namespace
{

const endpoint previews_address = *parse_endpoint("198.18.0.1:8443");
constexpr int zone_size = 5;
constexpr millis check_answer_delay{500};

// A router in zone-a, and a service whose backend servers are all in zone-b.
struct two_zone_fixture
{
    router_state router;
    millis now{100'000};
    // When the living backend server answers its check; 0 if it is not being checked.
    millis answer_at;

    two_zone_fixture()
    {
        router_settings settings;
        settings.own_zone = "zone-a";
        start_router(this->router, settings, this->now);
        route previews;
        previews.name = "previews";
        previews.address = previews_address;
        previews.kind = request_kind::idempotent;
        previews.services = {{service_id_of("orders"), 1}};
        route_list list;
        list.version = 1;
        list.routes = {previews};
        apply_route_list(this->router, list);
        for (int i = 1; i <= zone_size; ++i)
        {
            backend_registration registration;
            registration.name = "i-0" + std::to_string(i);
            registration.service = "orders";
            registration.zone = "zone-b";
            registration.packets = *parse_endpoint("10.0.0." + std::to_string(i) + ":8080");
            registration.start_time_ms = 1;
            apply_backend_registration(this->router, registration, this->now);
        }
        confirm_lists(this->router, this->now);
    }

    // Opens a flow and sends its request; returns its backend server.
    backend_index open_flow()
    {
        tagged_packet packet;
        packet.tuple.source = *parse_address("100.64.0.7");
        packet.tuple.source_port = 1'024;
        packet.tuple.destination = previews_address.address;
        packet.tuple.destination_port = previews_address.port;
        packet.opens = true;
        packet.sequence = 1'000;
        const packet_decision opened = route_packet(this->router, packet, this->now);
        packet.opens = false;
        packet.has_ack = true;
        packet.sequence = 1'001;
        packet.acknowledgement = 500;
        packet.payload_bytes = 100;
        packet.tag = opened.tag;
        route_packet(this->router, packet, this->now);
        return opened.backend;
    }

    // Advances the time by one tick. A check of a backend server fails at once unless it is
    // `living`, which is busy and answers after a while.
    std::size_t tick(backend_index living)
    {
        this->now = this->now + router_tick_interval;
        confirm_lists(this->router, this->now);
        if (living != no_backend && this->answer_at.count > 0 && this->now >= this->answer_at)
        {
            this->answer_at = millis{};
            handle_check_result(this->router,
                                this->router.backends.entries[living].registration.name,
                                check_outcome::answered, this->now);
        }
        router_actions actions;
        tick_router(this->router, this->now, actions);
        for (const backend_index index : actions.checks)
        {
            handle_check_result(
                this->router, this->router.backends.entries[index].registration.name,
                index == living ? check_outcome::answered : check_outcome::refused, this->now);
        }
        return actions.resets.size();
    }

    void fail_check_of_suspected()
    {
        for (const known_backend& backend : this->router.backends.entries)
        {
            if (backend.evidence.is_suspected)
            {
                handle_check_result(this->router, backend.registration.name, check_outcome::refused,
                                    this->now);
            }
        }
    }

    // Makes all backend servers but one suspected.
    void suspect_all_but(backend_index living)
    {
        for (backend_index index = 0; index < zone_size; ++index)
        {
            if (index != living)
            {
                observe_missing_response(this->router.backends.entries[index], this->now,
                                         this->now);
            }
        }
    }
};

constexpr int ticks = 100;

} // namespace

TEST_CASE("a flow at a living backend server is not reset while others of its zone crash")
{
    two_zone_fixture fixture;
    const backend_index living = fixture.open_flow();
    fixture.now = fixture.now + millis{100};
    fixture.suspect_all_but(living);
    CHECK(fixture.tick(living) == 0);
    // Checks that began before the zone looked unreachable.
    fixture.fail_check_of_suspected();
    for (int i = 0; i < ticks; ++i)
    {
        CHECK(fixture.tick(living) == 0);
    }
}

TEST_CASE("a zone that looks unreachable is checked at a backend server that is not suspected")
{
    two_zone_fixture fixture;
    const backend_index living = fixture.open_flow();
    fixture.now = fixture.now + millis{100};
    fixture.suspect_all_but(living);
    const millis answered_by = fixture.now + check_answer_delay + millis{100};
    while (fixture.now < answered_by)
    {
        fixture.tick(living);
    }
    CHECK_FALSE(is_unreachable(fixture.router.zones, "zone-b"));
}

TEST_CASE("a stalled flow in an unreachable zone is reset once its backend server fails a check")
{
    two_zone_fixture fixture;
    const backend_index backend = fixture.open_flow();
    fixture.now = fixture.now + millis{100};
    fixture.suspect_all_but(backend);
    std::size_t resets = 0;
    for (int i = 0; i < ticks; ++i)
    {
        resets += fixture.tick(no_backend);
    }
    CHECK(resets == 1);
}

// A router with a small configuration on a simulated clock, for tests of single decisions.
#ifndef BRIARBARROW_TESTING_ROUTER_FIXTURE_HPP
#define BRIARBARROW_TESTING_ROUTER_FIXTURE_HPP

#include <string>

#include "tagged/tag_router.hpp"

namespace briarbarrow
{

inline const endpoint orders_address = *parse_endpoint("198.18.0.1:8080");
inline const endpoint previews_address = *parse_endpoint("198.18.0.1:8443");
inline const endpoint sheets_address = *parse_endpoint("198.18.0.2:8443");
inline const endpoint unknown_address = *parse_endpoint("198.18.0.9:8443");

inline route make_route(const endpoint& address, request_kind kind, const std::string& service)
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

inline route_list make_routes(std::uint64_t version)
{
    route_list list;
    list.version = version;
    list.routes = {make_route(orders_address, request_kind::at_most_once, "orders"),
                   make_route(previews_address, request_kind::idempotent, "orders"),
                   make_route(sheets_address, request_kind::download, "sheets")};
    return list;
}

inline backend_registration make_backend(const std::string& name, const std::string& service,
                                         int number)
{
    backend_registration registration;
    registration.name = name;
    registration.wire_number = static_cast<std::uint64_t>(number);
    registration.service = service;
    registration.zone = "zone-a";
    registration.packets = *parse_endpoint("10.0.0." + std::to_string(number) + ":8080");
    registration.slots = 2;
    registration.start_time_ms = 1;
    return registration;
}

// A router with two services of three backend servers each, and packets of its callers.
struct router_fixture
{
    router_state router;
    millis now{100'000};
    std::uint16_t next_port = 1'024;

    router_fixture()
    {
        router_settings settings;
        settings.own_zone = "zone-a";
        start_router(this->router, settings, this->now);
        apply_route_list(this->router, make_routes(1));
        for (int i = 1; i <= 3; ++i)
        {
            apply_backend_registration(
                this->router, make_backend("i-0" + std::to_string(i), "orders", i), this->now);
            apply_backend_registration(
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

    packet_decision route(const tagged_packet& packet)
    {
        return route_packet(this->router, packet, this->now);
    }

    // Advances the time, with fresh lists by default, and collects the actions of all ticks.
    router_actions advance(std::int64_t duration_ms, bool with_lists = true)
    {
        router_actions collected;
        const millis end = this->now + millis{duration_ms};
        while (this->now < end)
        {
            this->now = this->now + router_tick_interval;
            if (with_lists)
            {
                confirm_lists(this->router, this->now);
            }
            router_actions actions;
            tick_router(this->router, this->now, actions);
            collected.resets.insert(collected.resets.end(), actions.resets.begin(),
                                    actions.resets.end());
            collected.checks.insert(collected.checks.end(), actions.checks.begin(),
                                    actions.checks.end());
            collected.failures.insert(collected.failures.end(), actions.failures.begin(),
                                      actions.failures.end());
        }
        return collected;
    }

    known_backend& backend(backend_index index)
    {
        return this->router.backends.entries[index];
    }

    // Makes a backend server suspected and lets its health checks end with this outcome.
    void presume_dead(backend_index index, check_outcome outcome)
    {
        observe_missing_response(this->backend(index), this->now, this->now);
        const std::string name = this->backend(index).registration.name;
        handle_check_result(this->router, name, outcome, this->now);
        this->now = this->now + this->router.settings.suspicion.min_timeout_spacing;
        confirm_lists(this->router, this->now);
        handle_check_result(this->router, name, outcome, this->now);
    }
};

} // namespace briarbarrow

#endif

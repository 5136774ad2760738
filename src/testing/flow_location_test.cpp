// Where a daemon finds a flow that it hasn't seen: by the form of the packet's tag, in its memory,
// in the list of contested flows, in the store and at other daemons.
#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "tagged/held_packets.hpp"
#include "testing/router_fixture.hpp"

using namespace briarbarrow;

namespace
{

constexpr std::uint32_t opening_sequence = 1'000;

// A router that writes tags of all forms, a flow that it hasn't seen, and two backend servers that
// have answered its opening packet.
struct unseen_flow
{
    router_fixture fixture;
    tagged_packet opening = this->fixture.opening(orders_address);
    flow_key key = flow_key_of(this->opening.tuple);
    std::uint32_t holder = tag_of("i-01");
    std::uint32_t loser = tag_of("i-02");

    unseen_flow()
    {
        this->fixture.router.writes_tag_forms = true;
    }

    tagged_packet packet(std::uint32_t tag, std::uint32_t sequence = opening_sequence + 1) const
    {
        tagged_packet made = router_fixture::data(this->opening, tag);
        made.sequence = sequence;
        return made;
    }

    // A packet with the tag of the backend server that lost, later in the stream.
    tagged_packet late_packet() const
    {
        return this->packet(make_opening_tag(this->loser, opening_sequence), 1'500);
    }

    std::string name_of(const packet_decision& decision)
    {
        return decision.verdict == packet_verdict::forward
                   ? this->fixture.backend(decision.backend).registration.name
                   : "";
    }

    void answer(lookup_outcome outcome, std::uint32_t tag = no_tag)
    {
        const contested_flow recorded{this->key, opening_sequence, tag, millis{}};
        handle_lookup_result(this->fixture.router, this->key, outcome,
                             tag == no_tag ? std::nullopt : std::optional(recorded),
                             this->fixture.now);
    }

    std::size_t count_store_requests() const
    {
        return this->fixture.router.lookups.store_requests.size();
    }

    std::size_t count_questions() const
    {
        return this->fixture.router.lookups.peer_questions.size();
    }
};

} // namespace

TEST_CASE("tag forms: each is read as what it was written, and by no other sequence number")
{
    for (std::uint32_t i = 0; i < 20'000; ++i)
    {
        const std::uint32_t plain = tag_of("i-" + std::to_string(i));
        const std::uint32_t sequence = i * 2'654'435'761U;
        const std::uint32_t identity = plain & tag_identity_mask;
        CHECK(read_opening_tag(make_opening_tag(plain, sequence), sequence) == identity);
        CHECK(read_open_tag(make_open_tag(plain)) == identity);
        CHECK(read_opening_tag(make_opening_tag(plain, sequence), sequence + 1) != identity);
        CHECK_FALSE(read_open_tag(make_opening_tag(plain, sequence)));
        CHECK_FALSE(is_opening_tag(make_open_tag(plain)));
        CHECK(make_open_tag(plain) != plain);
        CHECK(make_opening_tag(plain, sequence) != no_tag);
    }
}

TEST_CASE("tag forms: they are written once all daemons read them, and plain ones before")
{
    unseen_flow flow;
    const packet_decision placed = flow.fixture.route(flow.opening);
    const std::uint32_t plain = flow.fixture.backend(placed.backend).tag;
    CHECK(placed.tag == make_opening_tag(plain, opening_sequence));
    CHECK(flow.fixture.route(flow.packet(placed.tag)).tag == make_open_tag(plain));
    flow.fixture.router.writes_tag_forms = false;
    CHECK(flow.fixture.route(flow.packet(make_open_tag(plain))).tag == plain);
    const packet_decision later = flow.fixture.route(flow.fixture.opening(sheets_address));
    CHECK(later.tag == flow.fixture.backend(later.backend).tag);
}

TEST_CASE("flow location: the tag of an open flow is followed at once")
{
    unseen_flow flow;
    const packet_decision decision = flow.fixture.route(flow.packet(make_open_tag(flow.holder)));
    CHECK(flow.name_of(decision) == "i-01");
    CHECK(decision.reason == verdict_reason::tagged);
    CHECK(flow.count_store_requests() == 0);
}

TEST_CASE("flow location: a packet that may begin its stream is held until the store has answered")
{
    // Alone or behind full packets.
    for (const std::uint32_t before : {0U, 1U, 7U, 15U})
    {
        unseen_flow flow;
        const tagged_packet packet =
            flow.packet(make_opening_tag(flow.holder, opening_sequence),
                        opening_sequence + 1 + before * max_packet_payload);
        CHECK(flow.fixture.route(packet).verdict == packet_verdict::hold);
        CHECK(is_looked_up(flow.fixture.router.lookups, flow.key));
        CHECK(flow.count_store_requests() == 1);
        flow.answer(lookup_outcome::not_recorded);
        CHECK_FALSE(is_looked_up(flow.fixture.router.lookups, flow.key));
        const packet_decision decision = flow.fixture.route(packet);
        CHECK(flow.name_of(decision) == "i-01");
        CHECK(decision.tag == make_open_tag(flow.holder));
        CHECK(flow.count_questions() == 0);
    }
}

TEST_CASE("flow location: a packet goes where the store has its flow, whatever its tag")
{
    for (const bool is_first : {false, true})
    {
        unseen_flow flow;
        const tagged_packet packet =
            is_first ? flow.packet(make_opening_tag(flow.loser, opening_sequence))
                     : flow.late_packet();
        CHECK(flow.fixture.route(packet).verdict == packet_verdict::hold);
        flow.answer(lookup_outcome::recorded, flow.holder);
        const packet_decision decision = flow.fixture.route(packet);
        CHECK(flow.name_of(decision) == "i-01");
        CHECK(decision.reason == verdict_reason::contested);
    }
}

TEST_CASE("flow location: the record of an earlier flow with the same addresses doesn't count")
{
    unseen_flow flow;
    const tagged_packet packet = flow.packet(make_opening_tag(flow.holder, opening_sequence));
    flow.fixture.route(packet);
    const contested_flow earlier{flow.key, opening_sequence - 90'000, flow.loser, millis{}};
    handle_lookup_result(flow.fixture.router, flow.key, lookup_outcome::recorded, earlier,
                         flow.fixture.now);
    CHECK(flow.name_of(flow.fixture.route(packet)) == "i-01");
}

TEST_CASE("flow location: without the store other daemons are asked, and then the tag is followed")
{
    for (const bool does_store_answer : {false, true})
    {
        unseen_flow flow;
        const tagged_packet packet = flow.packet(make_opening_tag(flow.holder, opening_sequence));
        flow.fixture.route(packet);
        if (does_store_answer)
        {
            flow.answer(lookup_outcome::no_answer);
        }
        else
        {
            flow.fixture.advance(flow_lookup_timeout.count + 20);
        }
        REQUIRE(flow.count_questions() == 1);
        CHECK(flow.fixture.route(packet).verdict == packet_verdict::hold);
        flow.fixture.advance(peer_lookup_timeout.count + 20);
        CHECK(flow.name_of(flow.fixture.route(packet)) == "i-01");
    }
}

TEST_CASE("flow location: another daemon that knows the flow is believed")
{
    unseen_flow flow;
    router_fixture other;
    other.router.writes_tag_forms = true;
    tagged_packet seen = flow.packet(make_open_tag(flow.holder));
    seen.payload_bytes = 500;
    REQUIRE(other.route(seen).verdict == packet_verdict::forward);
    const tagged_packet late = flow.late_packet();
    CHECK(flow.fixture.route(late).verdict == packet_verdict::hold);
    flow.answer(lookup_outcome::not_recorded);
    REQUIRE(flow.count_questions() == 1);
    const std::vector<contested_flow> answers =
        handle_contested_flows(other.router, flow.fixture.router.lookups.peer_questions, other.now);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].tag == flow.holder);
    handle_contested_flows(flow.fixture.router, answers, flow.fixture.now);
    CHECK_FALSE(is_looked_up(flow.fixture.router.lookups, flow.key));
    CHECK(flow.name_of(flow.fixture.route(late)) == "i-01");
    // The daemon that knows it records it, for the next one that asks.
    CHECK(std::find(other.router.newly_contested.begin(), other.router.newly_contested.end(),
                    answers[0]) != other.router.newly_contested.end());
}

TEST_CASE(
    "flow location: a flow that nobody knows is neither guessed nor reset, and asked for again")
{
    unseen_flow flow;
    std::size_t forwarded = 0;
    std::size_t resets = 0;
    for (int i = 0; i < 500; ++i)
    {
        const packet_decision decision = flow.fixture.route(flow.late_packet());
        forwarded += decision.verdict == packet_verdict::forward ? 1 : 0;
        resets += decision.verdict == packet_verdict::reset ? 1 : 0;
        flow.answer(lookup_outcome::not_recorded);
        resets += flow.fixture.advance(20).resets.size();
    }
    CHECK(forwarded == 0);
    CHECK(resets == 0);
    // Ten seconds: each round takes the time of the other daemons and the pause after it.
    CHECK(flow.count_store_requests() > 20);
    CHECK(flow.count_store_requests() < 60);
    CHECK(flow.fixture.route(flow.late_packet()).reason != verdict_reason::dead_tag);
}

TEST_CASE("flow location: one look-up serves packets of both kinds")
{
    unseen_flow flow;
    const tagged_packet first = flow.packet(make_opening_tag(flow.loser, opening_sequence));
    CHECK(flow.fixture.route(first).verdict == packet_verdict::hold);
    CHECK(flow.fixture.route(flow.late_packet()).verdict == packet_verdict::hold);
    CHECK(flow.fixture.route(first).verdict == packet_verdict::hold);
    CHECK(flow.count_store_requests() == 1);
    flow.answer(lookup_outcome::not_recorded);
    CHECK(flow.fixture.route(first).verdict == packet_verdict::hold);
    CHECK(flow.fixture.route(flow.late_packet()).verdict == packet_verdict::hold);
    CHECK(flow.count_store_requests() == 1);
    CHECK(flow.count_questions() == 1);
}

TEST_CASE("flow location: the tag of an open flow overrules a memory and a list")
{
    unseen_flow flow;
    REQUIRE(flow.name_of(flow.fixture.route(flow.packet(make_open_tag(flow.loser)))) == "i-02");
    add_contested_flow(flow.fixture.router.contested,
                       {flow.key, opening_sequence, flow.loser, millis{}}, flow.fixture.now);
    flow.fixture.advance(3'000);
    CHECK(flow.name_of(flow.fixture.route(flow.packet(make_open_tag(flow.holder), 900'000))) ==
          "i-01");
    // From now on the flow is remembered where it is, whatever answer the caller has got last.
    tagged_packet next = flow.packet(make_opening_tag(flow.loser, 899'000), 900'100);
    CHECK(flow.name_of(flow.fixture.route(next)) == "i-01");
}

TEST_CASE(
    "flow location: a late packet of an earlier flow reaches that flow's backend server alone")
{
    unseen_flow flow;
    const packet_decision placed = flow.fixture.route(flow.opening);
    const std::string holder = flow.name_of(placed);
    const std::uint32_t other = holder == "i-01" ? flow.loser : flow.holder;
    const tagged_packet late = flow.packet(make_open_tag(other), opening_sequence - 70'000);
    CHECK(flow.name_of(flow.fixture.route(late)) == (holder == "i-01" ? "i-02" : "i-01"));
    CHECK(flow.name_of(flow.fixture.route(flow.packet(placed.tag))) == holder);
    CHECK(flow.name_of(flow.fixture.route(late)) == (holder == "i-01" ? "i-02" : "i-01"));
    CHECK(flow.name_of(flow.fixture.route(flow.packet(placed.tag, 1'101))) == holder);
}

TEST_CASE("flow location: plain tags are followed if the packet doesn't continue the memory")
{
    unseen_flow flow;
    REQUIRE(flow.name_of(flow.fixture.route(flow.packet(flow.holder))) == "i-01");
    // The second answer to the opening packet, later in the same flow.
    CHECK(flow.name_of(flow.fixture.route(flow.packet(flow.loser, 1'101))) == "i-01");
    // A later flow with the same addresses.
    CHECK(flow.name_of(flow.fixture.route(flow.packet(flow.loser, 12'500'000))) == "i-02");
}

TEST_CASE("flow location: look-ups are bounded, and a full memory asks for none")
{
    unseen_flow flow;
    std::size_t held = 0;
    for (std::uint32_t i = 0; i < 2'000; ++i)
    {
        tagged_packet packet = flow.packet(make_opening_tag(flow.holder, opening_sequence));
        packet.tuple.source_port = static_cast<std::uint16_t>(2'000 + i);
        held += flow.fixture.route(packet).verdict == packet_verdict::hold ? 1 : 0;
    }
    CHECK(held == max_flow_lookups);
    CHECK(flow.count_store_requests() == max_flow_lookups);
    unseen_flow full;
    for (std::uint64_t i = 0; i < max_remembered_flows; ++i)
    {
        full.fixture.router.flows.flows[{i, i}] = remembered_flow{};
    }
    const tagged_packet first = full.packet(make_opening_tag(full.holder, opening_sequence));
    CHECK(full.name_of(full.fixture.route(first)) == "i-01");
    CHECK(full.count_store_requests() == 0);
}

TEST_CASE("held packets: those of finished look-ups are released in order, and there is a bound")
{
    flow_lookups lookups;
    held_packet_list held;
    const std::vector<std::uint8_t> bytes{1, 2, 3};
    look_up(lookups, {1, 1}, lookup_need::confirmation, 7, millis{100});
    look_up(lookups, {2, 2}, lookup_need::confirmation, 7, millis{100});
    for (std::uint64_t i = 0; i < max_held_packets + 10; ++i)
    {
        hold_packet(held, {1 + i % 2, 1 + i % 2}, bytes, millis{static_cast<std::int64_t>(i)});
    }
    CHECK(held.packets.size() == max_held_packets);
    CHECK(held.dropped_total == 10);
    CHECK(release_packets(held, lookups).empty());
    handle_store_lookup(lookups, {2, 2}, lookup_outcome::not_recorded, millis{104});
    const std::vector<held_packet> released = release_packets(held, lookups);
    CHECK(released.size() == max_held_packets / 2);
    CHECK(std::is_sorted(released.begin(), released.end(),
                         [](const held_packet& left, const held_packet& right)
                         { return left.arrived < right.arrived; }));
    CHECK(held.packets.size() == max_held_packets / 2);
}

// Entries that daemons write into the store under a lease: in batches, bounded, and again when the
// store was away or has ended the lease.
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "follow/leased_writer.hpp"
#include "record_codec.hpp"

using namespace briarbarrow;

namespace
{

// A store that keeps what is written, and counts the calls.
struct leased_store
{
    std::map<std::string, std::uint64_t> entries;
    std::set<std::uint64_t> leases;
    std::uint64_t next_lease = 1;
    std::uint64_t calls = 0;
    store_outcome outcome = store_outcome::answered;

    write_response answer(const write_call& call)
    {
        ++this->calls;
        write_response response;
        response.outcome = this->outcome;
        if (this->outcome != store_outcome::answered)
        {
            return response;
        }
        if (call.kind == write_kind::open_lease)
        {
            response.lease = this->next_lease++;
            this->leases.insert(response.lease);
            return response;
        }
        if (this->leases.count(call.lease) == 0)
        {
            response.outcome = store_outcome::refused;
            response.is_lease_gone = true;
            return response;
        }
        CHECK(call.entries.size() <= max_entries_per_write);
        for (const store_entry& entry : call.entries)
        {
            this->entries[entry.key] = call.lease;
        }
        return response;
    }
};

void run(leased_writer& writer, leased_store& store, millis& now, std::int64_t duration_ms)
{
    const millis end = now + millis{duration_ms};
    for (; now < end; now = now + millis{5})
    {
        const std::optional<write_call> call = next_write_call(writer, now);
        if (call)
        {
            handle_write_response(writer, *call, store.answer(*call), now);
        }
    }
}

store_entry entry_of(int number)
{
    return {"k" + std::to_string(number), "v"};
}

writer_limits renewed_limits()
{
    writer_limits limits;
    limits.renewal_interval = millis{40'000};
    return limits;
}

} // namespace

TEST_CASE("leased writer: entries are written soon, and many in few calls")
{
    leased_writer writer;
    leased_store store;
    millis now{1'000};
    // One after the other, as flows open in a short trouble.
    for (int i = 0; i < 20; ++i)
    {
        add_entry(writer, entry_of(1'000 + i), now);
        run(writer, store, now, 20);
    }
    run(writer, store, now, writer.limits.batch_delay.count);
    CHECK(store.entries.size() == 20);
    CHECK(store.calls == 2);
    add_entry(writer, entry_of(0), now);
    run(writer, store, now, writer.limits.batch_interval.count + 20);
    CHECK(store.entries.size() == 21);
    CHECK(store.calls == 3);
    for (int i = 1; i <= 320; ++i)
    {
        add_entry(writer, entry_of(i), now);
    }
    run(writer, store, now, 2'000);
    CHECK(store.entries.size() == 341);
    CHECK(store.calls <= 13);
    run(writer, store, now, 10'000);
    CHECK(store.calls <= 13);
}

TEST_CASE("leased writer: an entry lasts for at least the duration less the use of a lease")
{
    leased_writer writer;
    leased_store store;
    millis now{1'000};
    for (int i = 0; i < 200; ++i)
    {
        add_entry(writer, entry_of(i), now);
        const millis added = now;
        run(writer, store, now, 2'000);
        CHECK(store.entries.count("k" + std::to_string(i)) == 1);
        CHECK(added < writer.lease_opened + writer.limits.lease_use);
    }
    CHECK(store.next_lease <= 5);
}

TEST_CASE("leased writer: a store that refuses everything gets few calls, and all entries later")
{
    for (const store_outcome outcome : {store_outcome::refused, store_outcome::unreachable})
    {
        leased_writer writer;
        leased_store store;
        store.outcome = outcome;
        millis now{1'000};
        for (int i = 0; i < 50; ++i)
        {
            add_entry(writer, entry_of(i), now);
        }
        run(writer, store, now, 30'000);
        CHECK(store.calls < 20);
        store.outcome = store_outcome::answered;
        run(writer, store, now, 5'000);
        CHECK(store.entries.size() == 50);
    }
}

TEST_CASE("leased writer: what waits is bounded and ends with its use")
{
    leased_writer writer;
    leased_store store;
    store.outcome = store_outcome::refused;
    millis now{1'000};
    for (int i = 0; i < 3'000; ++i)
    {
        add_entry(writer, entry_of(i), now);
    }
    CHECK(writer.waiting.size() == max_waiting_entries);
    run(writer, store, now, writer.limits.lease_duration.count + 5'000);
    CHECK(writer.waiting.empty());
    CHECK(writer.dropped_total == 3'000);
}

TEST_CASE("leased writer: a renewed lease keeps its entries, and they are written again if it ends")
{
    leased_writer writer;
    writer.limits = renewed_limits();
    leased_store store;
    millis now{1'000};
    add_entry(writer, entry_of(1), now);
    run(writer, store, now, 600'000);
    CHECK(store.next_lease == 2);
    CHECK(store.calls <= 2 + 15);
    // The store has forgotten the lease, as after it was away for long.
    store.leases.clear();
    store.entries.clear();
    run(writer, store, now, 50'000);
    CHECK(store.entries.count("k1") == 1);
    CHECK(store.next_lease == 3);
}

TEST_CASE("records: keys sort behind all that daemons follow, and values survive the store")
{
    using namespace briarbarrow::platform;
    const contested_flow flow{{0x123456789abcdef0, 7}, 0xfffffff0, 0x89abcdef, millis{500}};
    const store_entry record = make_flow_record(flow);
    CHECK(record.key == "tuples/123456789abcdef00000000000000007");
    CHECK(record.key > "servers/i-ffffffffffff");
    CHECK(make_record_target(flow.key) == "/briarbarrow/kv-key?Key=" + record.key);
    write_call call;
    call.kind = write_kind::put;
    call.lease = 77;
    call.entries = {record};
    const http_request request = make_write_request(call);
    CHECK(request.method == "POST");
    CHECK(request.target == "/briarbarrow/kv-txn");
    const std::size_t begin = request.body.find("\"Value\":\"") + 9;
    const std::string value = request.body.substr(begin, request.body.find('"', begin) - begin);
    CHECK(request.body.find("\"Lease\":77") != std::string::npos);
    http_reply reply;
    reply.status = 200;
    reply.body = R"({"Key":")" + record.key + R"(","Value":")" + value +
                 R"(","Revision":412,"Created":412,"Lease":77,"CurrentRev":530})";
    const record_answer answer = decode_record(flow.key, reply);
    CHECK(answer.outcome == lookup_outcome::recorded);
    REQUIRE(answer.recorded);
    CHECK(answer.recorded->opening_sequence == flow.opening_sequence);
    CHECK(answer.recorded->tag == flow.tag);
    // The answer to another request, an item of another writer, and none at all.
    CHECK(decode_record({1, 2}, reply).outcome == lookup_outcome::no_answer);
    reply.body = R"({"Key":")" + record.key + R"(","Value":"e30="})";
    CHECK(decode_record(flow.key, reply).outcome == lookup_outcome::not_recorded);
    reply.status = 404;
    CHECK(decode_record(flow.key, reply).outcome == lookup_outcome::not_recorded);
    for (const int status : {0, 429, 500, 503})
    {
        reply.status = status;
        CHECK(decode_record(flow.key, reply).outcome == lookup_outcome::no_answer);
    }
}

TEST_CASE("records: the store's answers to writes are told apart")
{
    using namespace briarbarrow::platform;
    write_call call;
    call.kind = write_kind::open_lease;
    call.lease_duration = millis{90'000};
    CHECK(make_write_request(call).body == R"({"TtlMs":90000})");
    http_reply reply;
    reply.status = 200;
    reply.body = R"({"Lease":77120,"TtlMs":90000})";
    CHECK(decode_write_response(call, reply).lease == 77'120);
    reply.body = "junk";
    CHECK(decode_write_response(call, reply).outcome == store_outcome::malformed);
    reply.status = 404;
    CHECK_FALSE(decode_write_response(call, reply).is_lease_gone);
    call.kind = write_kind::renew_lease;
    call.lease = 77'120;
    CHECK(make_write_request(call).target == "/briarbarrow/kv-keep/77120");
    CHECK(decode_write_response(call, reply).is_lease_gone);
    reply.status = 0;
    CHECK(decode_write_response(call, reply).outcome == store_outcome::unreachable);
}

TEST_CASE("records: the address in a daemon's key is read back, and nothing else is")
{
    using namespace briarbarrow::platform;
    const endpoint address = *parse_endpoint("10.1.0.10:7720");
    const store_entry entry = make_daemon_entry(address);
    CHECK(entry.key == "peers/10.1.0.10:7720");
    CHECK(parse_daemon_key("10.1.0.10:7720") == address);
    CHECK_FALSE(parse_daemon_key("10.1.0.10"));
    CHECK_FALSE(parse_daemon_key("front-1:x"));
}

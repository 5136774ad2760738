#include <doctest/doctest.h>

#include "follow/store_follower.hpp"

using namespace briarbarrow;

namespace
{

store_item item(const std::string& key, std::uint64_t revision)
{
    return store_item{key, "value", {0, revision}, false};
}

store_item deletion(const std::string& key, std::uint64_t revision)
{
    return store_item{key, "", {0, revision}, true};
}

store_response response_with(std::uint64_t revision, std::vector<store_item> items,
                             bool more = false)
{
    store_response response;
    response.outcome = store_outcome::answered;
    response.store_revision = revision;
    response.last_key = items.empty() ? "" : items.back().key;
    response.items = std::move(items);
    response.has_more = more;
    return response;
}

store_response failed(store_outcome outcome)
{
    store_response response;
    response.outcome = outcome;
    return response;
}

store_response in_era(std::uint64_t era, store_response response)
{
    response.store_era = era;
    return response;
}

// Drives a follower on a simulated clock.
struct follower_driver
{
    store_follower follower;
    millis now{1'000};

    store_call call()
    {
        std::optional<store_call> next = next_store_call(this->follower, this->now);
        while (!next)
        {
            this->now = this->now + millis{10};
            next = next_store_call(this->follower, this->now);
        }
        return *next;
    }

    store_updates handle(const store_response& response)
    {
        store_updates updates;
        handle_store_response(this->follower, response, this->now, updates);
        return updates;
    }

    // Reads two items at revision 7.
    void read()
    {
        this->call();
        this->handle(response_with(7, {item("a", 3), item("b", 5)}));
    }
};

} // namespace

TEST_CASE("a follower reads once and watches from the revision of the read")
{
    follower_driver driver;
    CHECK(driver.call().kind == store_call_kind::read);
    CHECK_FALSE(next_store_call(driver.follower, driver.now));
    const store_updates updates = driver.handle(response_with(7, {item("a", 3)}));
    CHECK(updates.changes.size() == 1);
    CHECK(updates.is_complete);
    const store_call watch = driver.call();
    CHECK(watch.kind == store_call_kind::watch);
    CHECK(watch.after_revision == 7);
    CHECK(watch.limits.timeout > watch.wait);
}

TEST_CASE("a watch starts from the revision of a read's first page, since pages are not a snapshot")
{
    follower_driver driver;
    driver.call();
    const store_updates first = driver.handle(response_with(7, {item("a", 3)}, true));
    CHECK_FALSE(first.is_complete);
    const store_call second = driver.call();
    CHECK(second.kind == store_call_kind::read);
    CHECK(second.after_key == "a");
    CHECK(driver.handle(response_with(9, {item("b", 9)})).is_complete);
    CHECK(driver.call().after_revision == 7);
}

// Pages come in the order of keys: a replica that applied them one by one would pass on a late
// position before an earlier one, and its requesters would never ask for the earlier one.
TEST_CASE("a read's changes are applied together, at its end")
{
    follower_driver driver;
    driver.call();
    CHECK(driver.handle(response_with(9, {item("a", 9)}, true)).changes.empty());
    driver.call();
    driver.handle(failed(store_outcome::unreachable));
    driver.call();
    const store_updates updates = driver.handle(response_with(9, {item("b", 4)}));
    REQUIRE(updates.changes.size() == 2);
    CHECK(updates.changes[0].key == "a");
    CHECK(updates.changes[1].key == "b");
}

// The adapter keeps only the items that its daemon uses. If it left out a whole page, the read
// ended there, and everything after it was taken to be deleted.
TEST_CASE("a read goes on after a page of which no item is kept")
{
    follower_driver driver;
    driver.call();
    store_response unused = response_with(9, {}, true);
    unused.last_key = "my/500";
    CHECK_FALSE(driver.handle(unused).is_complete);
    CHECK(driver.call().after_key == "my/500");
    CHECK(driver.handle(response_with(9, {item("op/config", 4)})).is_complete);
}

TEST_CASE("a compacted history leads to a new read, which finds deleted items")
{
    follower_driver driver;
    driver.read();
    driver.call();
    driver.handle(failed(store_outcome::history_compacted));
    CHECK(driver.call().kind == store_call_kind::read);
    const store_updates updates = driver.handle(response_with(20, {item("b", 5)}));
    CHECK(updates.listed == std::set<std::string>{"b"});
    CHECK(driver.call().after_revision == 20);
}

TEST_CASE("a watch starts from changes supplied by another daemon without a read")
{
    follower_driver driver;
    skip_read(driver.follower, {0, 12});
    const store_call watch = driver.call();
    CHECK(watch.kind == store_call_kind::watch);
    CHECK(watch.after_revision == 12);
}

TEST_CASE("a watch does not start again at a revision without history")
{
    follower_driver driver;
    driver.read();
    driver.call();
    driver.handle(failed(store_outcome::history_compacted));
    skip_read(driver.follower, {0, 7});
    CHECK(driver.call().kind == store_call_kind::read);
    driver.handle(failed(store_outcome::unreachable));
    skip_read(driver.follower, {0, 8});
    CHECK(driver.call().kind == store_call_kind::watch);
}

// A read that starts over after a failed page uses up the store's rate limit on first pages.
TEST_CASE("an interrupted read treats no item as deleted and continues where it stopped")
{
    follower_driver driver;
    driver.read();
    driver.call();
    driver.handle(failed(store_outcome::history_compacted));
    driver.call();
    CHECK_FALSE(driver.handle(response_with(20, {item("b", 5)}, true)).listed);
    driver.call();
    CHECK_FALSE(driver.handle(failed(store_outcome::refused)).listed);
    const store_call again = driver.call();
    CHECK(again.kind == store_call_kind::read);
    CHECK(again.after_key == "b");
    CHECK(driver.handle(response_with(24, {item("c", 22)})).listed ==
          std::set<std::string>{"b", "c"});
    // The watch covers every change since the first page.
    CHECK(driver.call().after_revision == 20);
}

TEST_CASE("failed calls are retried with backoff, from the watched revision")
{
    follower_driver driver;
    driver.read();
    millis longest_delay{0};
    for (int i = 0; i < 10; ++i)
    {
        CHECK(driver.call().after_revision == 7);
        const millis before = driver.now;
        driver.handle(failed(i % 2 == 0 ? store_outcome::unreachable : store_outcome::refused));
        driver.call();
        longest_delay = std::max(longest_delay, driver.now - before);
        driver.handle(failed(store_outcome::malformed));
    }
    CHECK(longest_delay <= driver.follower.limits.max_retry_delay + millis{10});
    driver.call();
    const store_updates updates = driver.handle(response_with(9, {deletion("a", 8), item("c", 9)}));
    CHECK(updates.changes.size() == 2);
    CHECK(updates.is_complete);
}

TEST_CASE("a store that returns with an older revision is read again")
{
    follower_driver driver;
    driver.read();
    driver.call();
    const store_updates updates = driver.handle(response_with(3, {item("a", 2)}));
    CHECK(updates.changes.empty());
    CHECK_FALSE(updates.is_complete);
    CHECK(driver.call().kind == store_call_kind::read);
}

TEST_CASE("changes in quick succession are fetched by one call")
{
    follower_driver driver;
    driver.read();
    driver.call();
    driver.handle(response_with(8, {item("a", 8)}));
    CHECK_FALSE(next_store_call(driver.follower, driver.now));
    driver.now = driver.now + driver.follower.limits.watch_batch_delay;
    CHECK(next_store_call(driver.follower, driver.now));
}

TEST_CASE("an unresponsive watch is detected in time for a drain")
{
    // The timeout of one watch, the retry delay and the response to the next call take less than
    // the three seconds within which a draining backend server has to be known.
    const follower_limits limits;
    const millis detection_time = limits.watch_wait + limits.watch_slack + limits.first_retry_delay;
    CHECK(detection_time + limits.watch_slack < millis{3'000});
}

TEST_CASE("a read that the store's restore interrupts starts again")
{
    follower_driver driver;
    driver.call();
    driver.handle(in_era(1, response_with(7, {item("a", 3)}, true)));
    driver.call();
    CHECK_FALSE(driver.handle(in_era(2, response_with(5, {item("b", 4)}))).is_complete);
    CHECK(driver.call().after_key.empty());
    const store_updates updates = driver.handle(in_era(2, response_with(5, {item("b", 4)})));
    CHECK(updates.listed == std::set<std::string>{"b"});
    CHECK(updates.position == store_position{2, 5});
    REQUIRE(updates.changes.size() == 1);
    CHECK(updates.changes[0].position == store_position{2, 4});
}

TEST_CASE("a response of another era is not taken for the changes since the watched revision")
{
    follower_driver driver;
    driver.call();
    driver.handle(in_era(1, response_with(7, {item("a", 3)})));
    driver.call();
    CHECK_FALSE(driver.handle(in_era(2, response_with(9, {item("b", 8)}))).is_complete);
    CHECK(driver.call().kind == store_call_kind::read);
}

TEST_CASE("a late response from before the store's restore is ignored")
{
    follower_driver driver;
    driver.call();
    driver.handle(in_era(2, response_with(7, {item("a", 3)})));
    driver.call();
    const store_updates updates = driver.handle(in_era(1, response_with(20, {item("a", 19)})));
    CHECK(updates.changes.empty());
    CHECK_FALSE(updates.is_complete);
    CHECK(driver.call().after_revision == 7);
}

TEST_CASE("a refusal that shows a new era leads to a new read")
{
    follower_driver driver;
    driver.call();
    driver.handle(in_era(1, response_with(7, {item("a", 3)})));
    driver.call();
    driver.handle(in_era(2, failed(store_outcome::refused)));
    CHECK(driver.call().kind == store_call_kind::read);
}

TEST_CASE("changes that another daemon supplied from before the store's restore do not skip a read")
{
    follower_driver driver;
    driver.call();
    driver.handle(in_era(1, response_with(7, {item("a", 3)})));
    driver.call();
    driver.handle(in_era(2, failed(store_outcome::history_compacted)));
    skip_read(driver.follower, {1, 9});
    CHECK(driver.call().kind == store_call_kind::read);
    driver.handle(failed(store_outcome::unreachable));
    skip_read(driver.follower, {2, 3});
    const store_call watch = driver.call();
    CHECK(watch.kind == store_call_kind::watch);
    CHECK(watch.after_revision == 3);
}

// Daemons asked for the same changes again and again, since the response was too large each time.
TEST_CASE("a watch whose response is too large leads to a read, which no earlier position replaces")
{
    follower_driver driver;
    driver.read();
    CHECK(driver.call().kind == store_call_kind::watch);
    driver.handle(failed(store_outcome::too_large));
    skip_read(driver.follower, {0, 7});
    const store_call read = driver.call();
    CHECK(read.kind == store_call_kind::read);
    CHECK(driver.handle(response_with(40, {item("a", 39)})).is_complete);
    CHECK(driver.call().after_revision == 40);
}

TEST_CASE("a watch may return as much as the list has, and one item of the largest size")
{
    follower_driver driver;
    driver.read();
    const std::size_t one_item = driver.call().limits.max_bytes;
    CHECK(one_item > driver.follower.limits.max_value_bytes * 4 / 3);
    CHECK(one_item < driver.follower.limits.max_value_bytes * 2);
    driver.handle(response_with(7, {}));
    driver.follower.list_bytes = 14'000'000;
    CHECK(driver.call().limits.max_bytes == 14'000'000);
}

// A list was taken for current as of the end of a response that took seconds to arrive.
TEST_CASE("a list is current as of the begin of the response that completes it")
{
    follower_driver driver;
    driver.call();
    store_response slow = response_with(7, {item("a", 3)});
    slow.begun = driver.now;
    const millis begun = driver.now;
    driver.now = driver.now + millis{3'000};
    CHECK(driver.handle(slow).as_of == begun);
}

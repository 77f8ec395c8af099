#include "citronwick/fleet/missed_changes.hpp"
#include "citronwick/fleet/recent_changes.hpp"
#include "citronwick/io/watched_kv_client.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
constexpr std::size_t max_bytes = 100;

kv_changes change(std::string key, std::int64_t revision, std::string value = "v") {
    const store_position position{revision, 1};
    return {.changes = {{std::move(key), std::move(value), position}}, .position = position};
}

} // namespace

TEST_CASE("a router that missed changes gets those after its position") {
    recent_changes recent{max_bytes};
    recent.record(change("a", 11), {10, 1});
    recent.record(change("b", 14), {11, 1});
    const auto missed = recent.since({11, 1});
    REQUIRE(missed.size() == 1);
    CHECK(missed[0].key == "b");
    CHECK(missed[0].previous == 11);
    CHECK(recent.since({10, 1}).size() == 2);
    CHECK(recent.since({12, 1}).size() == 1); // 12 and 13 were overwritten by 14
    CHECK(recent.since({14, 1}).empty());
}

TEST_CASE("changes that are not all known are not sent") {
    recent_changes recent{max_bytes};
    recent.record(change("a", 11), {10, 1});
    SUBCASE("older ones than the first") {
        CHECK(recent.since({9, 1}).empty());
    }
    SUBCASE("of another history") {
        CHECK(recent.since({10, 2}).empty());
    }
    SUBCASE("after a listing") {
        recent.record(change("b", 21), {20, 1});
        CHECK(recent.since({10, 1}).empty());
        CHECK(recent.since({20, 1}).size() == 1);
    }
    SUBCASE("dropped ones") {
        recent.record(change("b", 12, std::string(max_bytes, 'x')), {11, 1});
        CHECK(recent.since({10, 1}).empty());
    }
}

TEST_CASE("the router that knows most is asked once changes are overdue") {
    missed_changes missed;
    const store_position own{10, 1};
    CHECK_FALSE(missed.router_to_ask(own, start));
    missed.record_position(7, {11, 1}, own, start);
    missed.record_position(8, {12, 1}, own, start);
    missed.record_position(9, {9, 1}, own, start);
    CHECK_FALSE(missed.router_to_ask(own, start + 50ms));
    CHECK(missed.router_to_ask(own, start + 100ms) == 8);
    CHECK_FALSE(missed.router_to_ask(own, start + 150ms));
    CHECK(missed.router_to_ask(own, start + 300ms) == 8);
    CHECK_FALSE(missed.router_to_ask({12, 1}, start + 600ms));
}

TEST_CASE("a steady stream of changes that arrive in time leads to no question") {
    missed_changes missed;
    for (std::int64_t count = 0; count < 100; ++count) {
        const auto now = start + count * 50ms;
        missed.record_position(7, {count + 1, 1}, {count, 1}, now);
        CHECK_FALSE(missed.router_to_ask({count, 1}, now));
    }
}

TEST_CASE("another router is asked if the one that knew most does not answer") {
    missed_changes missed;
    const store_position own{10, 1};
    missed.record_position(7, {12, 1}, own, start);
    CHECK(missed.router_to_ask(own, start + 100ms) == 7);
    missed.record_position(8, {12, 1}, own, start + 200ms);
    CHECK(missed.router_to_ask(own, start + 300ms) == 8);
}

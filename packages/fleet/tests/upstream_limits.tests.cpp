#include "citronwick/fleet/upstream_limits.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

TEST_CASE("a limit that another router reports again, in the precision of messages, is no change") {
    constexpr std::uint64_t upstream = 7;
    upstream_limits limits;
    const time_point start{1h};
    limits.record_response(upstream, "i", 3.8, start, start);
    CHECK(limits.change_count() == 1);
    const auto reported = limits.all(start);
    for (auto now = start + 100ms; now < start + 1s; now += 100ms) {
        limits.merge(reported, false, now);
        limits.record_response(upstream, "i", 3.8, now, now);
    }
    CHECK(limits.change_count() == 1);
    limits.record_response(upstream, "i", 3.7, start + 2s, start + 2s);
    CHECK(limits.change_count() == 2);
}

TEST_CASE(
    "brittle upstreams become known to other routers, in the precision of messages and apart from limits") {
    constexpr std::uint64_t upstream = 7;
    const time_point start{1h};
    upstream_limits own;
    upstream_limits other;
    own.record_brittle(upstream, "i", 2.3, start, start);
    own.record_response(upstream, "i", 3.0, start, start);
    other.merge(own.take_report(start), false, start);
    const auto seen = other.summaries({upstream}, start).front();
    CHECK(seen.per_second == 3.0);
    CHECK(seen.refusals_per_second == own.summaries({upstream}, start).front().refusals_per_second);
    CHECK(seen.refusals_per_second.value() == doctest::Approx(2.3).epsilon(0.01));
    const auto changes = other.change_count();
    other.merge(own.all(start + 1s), false, start + 1s);
    CHECK(other.change_count() == changes);
    own.record_brittle(upstream, "i", std::nullopt, start + 2s, start + 2s);
    other.merge(own.take_report(start + 2s), false, start + 2s);
    CHECK_FALSE(other.summaries({upstream}, start + 2s).front().refusals_per_second);
}

TEST_CASE("an upstream that comes back among brittle ones counts as brittle until it says otherwise") {
    const time_point start{1h};
    upstream_limits limits;
    limits.record_brittle(1, "i", 5.0, start, start);
    limits.record_brittle(2, "j", 3.0, start, start);
    CHECK(limits.summaries({1, 2, 3}, start).back().refusals_per_second == 3.0);
    CHECK_FALSE(limits.summaries({3}, start).back().refusals_per_second);
    limits.record_brittle(2, "j", std::nullopt, start + 1s, start + 1s);
    CHECK_FALSE(limits.summaries({1, 2}, start + 1s).back().refusals_per_second);
    CHECK_FALSE(limits.summaries({1, 2}, start + 20s).front().refusals_per_second);
}

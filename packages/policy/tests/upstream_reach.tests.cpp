#include "citronwick/policy/upstream_reach.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

using failure_cause = upstream_reach::connect_failure;

constexpr time_point start{1h};
const std::vector<std::uint64_t> upstreams{1, 2, 3, 4, 5};

upstream_reach make_failing(failure_cause cause) {
    upstream_reach reach;
    reach.due_probes(upstreams, std::nullopt, start);
    std::ranges::for_each(std::vector{1U, 2U, 3U},
                          [&](unsigned upstream) { reach.record_not_reached(upstream, cause, start); });
    return reach;
}

} // namespace

TEST_CASE("a router is cut only if others reach what it does not") {
    auto reach = make_failing(failure_cause::refused);
    CHECK_FALSE(reach.is_cut());
    SUBCASE("another router reaches one of them") {
        reach.record_reached_by_peer(2, start);
        CHECK(reach.is_cut());
        CHECK_FALSE(reach.connections_hang());
    }
    SUBCASE("another router reaches an upstream whose connect has not failed") {
        reach.record_reached_by_peer(5, start);
        CHECK_FALSE(reach.is_cut());
    }
    SUBCASE("a connect succeeded meanwhile") {
        reach.record_reached(4, start);
        reach.record_reached_by_peer(2, start);
        CHECK_FALSE(reach.is_cut());
    }
    SUBCASE("the failures are old") {
        reach.due_probes(upstreams, std::nullopt, start + 6s);
        reach.record_reached_by_peer(2, start + 6s);
        CHECK_FALSE(reach.is_cut());
    }
}

TEST_CASE("one upstream that fails again and again does not make a router cut") {
    upstream_reach reach;
    reach.due_probes(upstreams, std::nullopt, start);
    for (int count = 0; count < 10; ++count) {
        reach.record_not_reached(1, failure_cause::timed_out, start);
        reach.record_reached_by_peer(1, start);
    }
    CHECK_FALSE(reach.is_cut());
}

TEST_CASE("two distinct upstreams reached in a row end a cut") {
    auto reach = make_failing(failure_cause::timed_out);
    reach.record_reached_by_peer(1, start);
    REQUIRE(reach.is_cut());
    CHECK(reach.connections_hang());
    reach.record_reached(1, start + 1s);
    reach.record_reached(1, start + 2s);
    CHECK(reach.is_cut());
    reach.record_not_reached(3, failure_cause::timed_out, start + 3s);
    reach.record_reached(2, start + 4s);
    CHECK(reach.is_cut());
    reach.record_reached(4, start + 5s);
    CHECK_FALSE(reach.is_cut());
    CHECK_FALSE(reach.connections_hang());
}

TEST_CASE("probes are due if a connect failed or nothing answers, and go to other upstreams") {
    upstream_reach reach;
    CHECK(reach.due_probes(upstreams, std::nullopt, start).empty());
    CHECK(reach.due_probes(upstreams, start - 100ms, start).empty());
    CHECK(reach.due_probes(upstreams, start - 300ms, start).size() == 1);
    reach.record_reached(1, start);
    CHECK(reach.due_probes(upstreams, start - 300ms, start + 500ms).empty());
    reach.record_not_reached(2, failure_cause::refused, start + 500ms);
    const auto due = reach.due_probes(upstreams, std::nullopt, start + 500ms);
    CHECK(due.size() == 3);
    CHECK(std::ranges::find(due, 2U) == due.end());
    CHECK(reach.due_probes(upstreams, std::nullopt, start + 510ms).empty());
}

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

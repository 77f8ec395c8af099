#include "citronwick/fleet/last_events.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t version = 7;
constexpr std::uint64_t data = 42;
constexpr time_point start{100h};

void record_ends(last_events& ends, int streams) {
    for (int count = 0; count < streams; ++count) {
        ends.record_end(version, data, start);
    }
}

} // namespace

// Guards against a chance event that is taken for the last one (ORDER).
TEST_CASE("three streams that ended alike show the last event of a version") {
    last_events ends;
    CHECK_FALSE(ends.last_event_of(version, start));
    record_ends(ends, 2);
    CHECK(ends.last_event_of(version, start) == data);
    CHECK_FALSE(ends.is_last_event(version, data, start));
    record_ends(ends, 1);
    CHECK(ends.is_last_event(version, data, start));
    CHECK_FALSE(ends.is_last_event(version, data + 1, start));
    CHECK_FALSE(ends.is_last_event(version + 1, data, start));
    CHECK_FALSE(ends.is_last_event(version, data, start + 10min));
}

TEST_CASE("a version whose streams end with different events, or go on behind them, has no last event") {
    last_events varying;
    record_ends(varying, 3);
    varying.record_end(version, data + 1, start + 1s);
    CHECK_FALSE(varying.is_last_event(version, data, start + 1s));
    last_events followed;
    record_ends(followed, 3);
    followed.record_followed(version, start + 1s);
    for (int count = 0; count < 3; ++count) {
        followed.record_end(version, data, start + 9min);
    }
    CHECK_FALSE(followed.is_last_event(version, data, start + 11min));
    followed.expire(start + 20min);
    CHECK_FALSE(followed.last_event_of(version, start));
}

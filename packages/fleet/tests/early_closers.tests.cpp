#include "citronwick/fleet/early_closers.hpp"

#include <doctest/doctest.h>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t upstream = 7;
constexpr std::uint64_t other = 8;
constexpr time_point start{100h};

} // namespace

// Guards against an upstream that is charged with the early close of another one, or of its predecessor
// (LOST).
TEST_CASE("only the incarnation that closed a connection early is remembered") {
    early_closers closers;
    CHECK_FALSE(closers.age(upstream, start));
    closers.record(upstream, "engine-0", start);
    CHECK(closers.age(upstream, start + 1s) == 1s);
    CHECK_FALSE(closers.age(other, start + 1s));
}

TEST_CASE("an early close is remembered for ten minutes after the last one") {
    early_closers closers;
    closers.record(upstream, "engine-0", start);
    closers.record(upstream, "engine-0", start + 5min);
    closers.record(other, "engine-1", start);
    closers.expire(start + 14min);
    CHECK(closers.age(upstream, start + 14min) == 9min);
    CHECK_FALSE(closers.age(other, start + 14min));
    CHECK_FALSE(closers.age(upstream, start + 15min));
    closers.expire(start + 15min);
    CHECK_FALSE(closers.age(upstream, start + 14min));
}

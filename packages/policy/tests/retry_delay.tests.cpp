#include "citronwick/policy/retry_delay.hpp"

#include <doctest/doctest.h>
#include <limits>

using namespace citronwick;
using namespace std::chrono_literals;

TEST_CASE("pauses between repeated calls double up to the longest") {
    constexpr retry_delays delays{300ms, 5s};
    CHECK(retry_delay(delays, 1) == 300ms);
    CHECK(retry_delay(delays, 2) == 600ms);
    CHECK(retry_delay(delays, 5) == 4'800ms);
    CHECK(retry_delay(delays, 6) == 5s);
    CHECK(retry_delay(delays, std::numeric_limits<int>::max()) == 5s);
}

TEST_CASE("an outage of eight seconds costs five renewals of a lease instead of twenty-six") {
    constexpr retry_delays delays{300ms, 5s};
    int calls = 0;
    for (duration elapsed{}; elapsed < 8s; elapsed += retry_delay(delays, calls)) {
        ++calls;
    }
    CHECK(calls == 5);
}

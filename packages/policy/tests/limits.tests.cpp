#include "citronwick/policy/fair_queue.hpp"
#include "citronwick/policy/retry_budget.hpp"
#include "citronwick/policy/token_bucket.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};

} // namespace

TEST_CASE("a burst from one team does not delay the requests of other teams") {
    fair_queue queue;
    for (int i = 0; i < 100; ++i) {
        queue.push("large", 1.0, start + 1h);
    }
    const auto quiet = queue.push("quiet", 1.0, start + 1h);
    int served_before = 0;
    while (queue.front() != quiet) {
        queue.remove(*queue.front());
        ++served_before;
    }
    CHECK(served_before <= 1);
}

TEST_CASE("teams are served in proportion to their weights") {
    fair_queue queue;
    std::vector<fair_queue::ticket> heavy;
    for (int i = 0; i < 30; ++i) {
        heavy.push_back(queue.push("heavy", 3.0, start + 1h));
        queue.push("light", 1.0, start + 1h);
    }
    int heavy_served = 0;
    for (int i = 0; i < 20; ++i) {
        const auto next = *queue.front();
        heavy_served += std::ranges::find(heavy, next) != heavy.end() ? 1 : 0;
        queue.remove(next);
    }
    CHECK(heavy_served >= 14);
    CHECK(heavy_served <= 16);
}

TEST_CASE("requests past their deadline are removed from the queue exactly once") {
    fair_queue queue;
    const auto early = queue.push("team", 1.0, start + 1s);
    queue.push("team", 1.0, start + 2s);
    CHECK(queue.expire(start).empty());
    CHECK(queue.expire(start + 1s) == std::vector{early});
    CHECK_FALSE(queue.remove(early));
    CHECK(queue.size() == 1);
}

TEST_CASE("retries are limited to a share of the requests") {
    retry_budget budget;
    int granted = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.record_request(0.1);
        granted += budget.take_retry() ? 1 : 0;
    }
    CHECK(granted >= 100);
    CHECK(granted <= 111);
}

TEST_CASE("a token bucket grants tokens again only after its debt is repaid") {
    token_bucket bucket{100.0, 50.0, start};
    CHECK(bucket.take(50.0, start));
    CHECK_FALSE(bucket.take(1.0, start));
    bucket.charge(100.0, start);
    CHECK_FALSE(bucket.take(1.0, start + 1s));
    CHECK(bucket.take(1.0, start + 1010ms));
}

#include "citronwick/policy/fair_admission.hpp"
#include "citronwick/policy/permit_pool.hpp"
#include "citronwick/policy/permit_shares.hpp"
#include "citronwick/policy/rate_limit_table.hpp"
#include "citronwick/policy/return_schedule.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <limits>
#include <map>
#include <random>
#include <vector>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1h};
constexpr std::uint32_t upstream = 7;
/// Saving of a request that no upstream without a limit can take.
constexpr double no_alternative = std::numeric_limits<double>::infinity();

} // namespace

TEST_CASE("a response to a request sent before the limit was named does not end the limit") {
    rate_limit_table table;
    CHECK_FALSE(table.record_no_limit(upstream, start));
    CHECK(table.record_limit(upstream, 3.2, start + 100ms));
    CHECK_FALSE(table.record_no_limit(upstream, start + 50ms));
    CHECK(table.limit_of(upstream) == 3.2);
    CHECK(table.record_no_limit(upstream, start + 150ms));
    CHECK_FALSE(table.limit_of(upstream));
    CHECK(table.record_limit(upstream, 2.0, start + 200ms));
    CHECK(table.limit_of(upstream) == 2.0);
}

TEST_CASE("tables of several routers agree whatever the order in which they are merged") {
    const std::vector<rate_limit> seen{
        {3.2, start, std::nullopt}, {1.6, start + 300ms, start + 100ms}, {3.2, start, start + 200ms}};
    for (const std::vector<std::size_t>& order :
         {std::vector<std::size_t>{0, 1, 2}, {2, 1, 0}, {1, 2, 0, 1}, {2, 0, 1, 2}}) {
        rate_limit_table table;
        for (const std::size_t index : order) {
            table.merge(upstream, seen[index]);
        }
        CHECK(table.limit_of(upstream) == 1.6);
    }
}

TEST_CASE("an upstream that is no longer known leaves no limit behind for a later one") {
    rate_limit_table table;
    table.record_limit(upstream, 1.0, start);
    table.expire({upstream}, start + 1h);
    CHECK(table.limit_of(upstream) == 1.0);
    table.expire({}, start + 1h);
    CHECK(table.entries().empty());
}

TEST_CASE("a router's part of the limits counts for one coordinator at a time") {
    permit_shares before;
    permit_shares after;
    auto now = start;
    const auto sum = [&] { return before.share(3, now) + after.share(3, now); };
    for (; now < start + 4s; now += 400ms) {
        for (const std::uint64_t router : {1U, 2U, 3U}) {
            before.record_delegation(router, now);
        }
    }
    CHECK(before.share(3, now) == doctest::Approx(1.0));
    for (; now < start + 8s; now += 400ms) {
        before.record_delegation(1, now);
        after.record_delegation(2, now);
        after.record_delegation(3, now);
        CHECK(sum() <= 1.0);
    }
    CHECK(before.share(3, now) == doctest::Approx(1.0 / 3.0));
    CHECK(after.share(3, now) == doctest::Approx(2.0 / 3.0));
}

TEST_CASE("coordinators together never exceed a limit, and use it where the requests are") {
    constexpr auto step = 10ms;
    constexpr auto window = 4s;
    for (const double limit : {0.3, 1.0, 3.2, 40.0}) {
        for (const std::size_t coordinators : {1U, 3U, 4U}) {
            CAPTURE(limit);
            CAPTURE(coordinators);
            std::vector<permit_pool> pools(coordinators);
            const double share = 1.0 / static_cast<double>(coordinators);
            std::vector<time_point> sent;
            // All requests arrive at the first coordinator; the others give it what they do not use.
            for (auto now = start; now < start + 60s; now += step) {
                if (pools[0].take(upstream, limit, share, no_alternative, now).granted) {
                    sent.push_back(now);
                }
                for (std::size_t other = 1; other < coordinators; ++other) {
                    pools[0].add(upstream, pools[other].take_surplus(upstream, limit, share, now), now);
                }
            }
            for (const time_point& first : sent) {
                const auto count = std::ranges::count_if(
                    sent, [&](time_point at) { return at >= first && at < first + window; });
                CHECK(static_cast<double>(count) <= 4.0 * limit + 5.0 + limit / 2.0);
            }
            const double most = limit * 60.0;
            CHECK(static_cast<double>(sent.size()) >= 0.85 * most - 6.0);
            CHECK(static_cast<double>(sent.size()) <= most + 3.0);
        }
    }
}

TEST_CASE("a burst after an idle time gets no more permits than the limit allows within four seconds") {
    constexpr auto step = 10ms;
    for (const double limit : {0.3, 0.8, 2.0, 10.0}) {
        for (const std::size_t coordinators : {1U, 3U, 4U, 5U}) {
            CAPTURE(limit);
            CAPTURE(coordinators);
            std::vector<permit_pool> pools(coordinators);
            const double share = 1.0 / static_cast<double>(coordinators);
            const auto burst = start + 60s;
            int granted = 0;
            for (permit_pool& pool : pools) {
                pool.take(upstream, limit, share, no_alternative, start);
            }
            for (auto now = burst; now < burst + 4s; now += step) {
                for (std::size_t index = 0; index < coordinators; ++index) {
                    const std::size_t giver = (index + 1) % coordinators;
                    if (pools[index].take(upstream, limit, share, no_alternative, now).granted) {
                        ++granted;
                    } else {
                        pools[index].add(upstream, pools[giver].take_surplus(upstream, limit, share, now),
                                         now);
                    }
                }
            }
            CHECK(granted <= 1.5 * 4.0 * limit + 5.0);
        }
    }
}

TEST_CASE(
    "requests that save much by a permit are not displaced by those that save little, and none is lost") {
    constexpr auto seconds = 120;
    constexpr double limit = 2.0;
    for (const int large_per_second : {1, 4}) {
        CAPTURE(large_per_second);
        permit_pool pool;
        std::mt19937 random{7};
        int large_asked = 0;
        int large_granted = 0;
        int small_granted = 0;
        for (auto now = start; now < start + std::chrono::seconds{seconds}; now += 10ms) {
            const auto draw = static_cast<int>(random() % 100);
            if (draw < large_per_second) {
                ++large_asked;
                large_granted += pool.take(upstream, limit, 1.0, 300.0, now).granted ? 1 : 0;
            } else if (draw >= 80) { // 20 a second
                small_granted += pool.take(upstream, limit, 1.0, 20.0, now).granted ? 1 : 0;
            }
        }
        CHECK(large_granted >= 0.7 * std::min<double>(large_asked, limit * seconds));
        CHECK(large_granted + small_granted >= 0.9 * limit * seconds);
        CHECK(large_granted + small_granted <= limit * seconds + 3.0);
    }
}

TEST_CASE("a price falls to 0 until the bucket is full, and requests without an alternative pay any price") {
    permit_pool pool;
    pool.take(upstream, 1.0, 1.0, 100.0, start);
    const permit_decision rejected = pool.take(upstream, 1.0, 1.0, 100.0, start);
    CHECK_FALSE(rejected.granted);
    CHECK(rejected.wait == 1s);
    CHECK(rejected.price_ms > 0.0);
    CHECK(rejected.full_in == 2s);
    CHECK_FALSE(pool.take(upstream, 1.0, 1.0, 0.0, start + 1s).granted);
    CHECK(pool.take(upstream, 1.0, 1.0, no_alternative, start + 1s).granted);
    CHECK(pool.take(upstream, 1.0, 1.0, 0.0, start + 3s).granted);
}

TEST_CASE("an upstream with limit 0 gets a request now and then, which tells when the limit has ended") {
    permit_pool pool;
    int sent = 0;
    for (auto now = start; now < start + 60s; now += 50ms) {
        sent += pool.take(upstream, 0.0, 1.0, no_alternative, now).granted ? 1 : 0;
    }
    CHECK(sent >= 4);
    CHECK(sent <= 6);
}

TEST_CASE("permits saved under a higher limit are not used under a lower one") {
    permit_pool pool;
    CHECK(pool.take(upstream, 1'000.0, 1.0, no_alternative, start).granted);
    CHECK_FALSE(pool.take(upstream, 1'000.0, 1.0, no_alternative, start).granted);
    int sent = 0;
    for (int request = 0; request < 100; ++request) {
        sent += pool.take(upstream, 1.0, 1.0, no_alternative, start + 1s).granted ? 1 : 0;
    }
    CHECK(sent <= 1);
}

TEST_CASE("a coordinator without a share grants nothing") {
    permit_pool pool;
    CHECK_FALSE(pool.take(upstream, 100.0, 0.0, no_alternative, start).granted);
    CHECK_FALSE(pool.take(upstream, 100.0, 0.0, no_alternative, start + 1h).granted);
}

TEST_CASE("a team that sends far more than others does not displace them when capacity is short") {
    fair_admission admission;
    std::map<std::uint64_t, int> served;
    std::map<std::uint64_t, int> offered;
    std::mt19937 random{1};
    double capacity = 0.0;
    for (auto now = start; now < start + 20s; now += 10ms) {
        capacity = std::min(capacity + 0.2, 10.0); // 20 a second, as a token bucket
        // Team 0 sends nine of ten requests, 90 a second; the others 2.5 a second each.
        const std::uint64_t team = random() % 10 != 0 ? 0 : 1 + random() % 4;
        ++offered[team];
        const bool is_served = capacity >= 1.0 && admission.may_admit(team, 1.0, random(), now);
        capacity -= is_served ? 1.0 : 0.0;
        served[team] += is_served ? 1 : 0;
        admission.record(team, 1.0, is_served, now);
    }
    for (std::uint64_t team = 1; team <= 4; ++team) {
        CHECK(served[team] >= offered[team] / 2);
    }
    CHECK(served[0] + served[1] + served[2] + served[3] + served[4] >= 320);
}

TEST_CASE("rejected callers return one after the other, at the rate that can be served") {
    return_schedule schedule;
    CHECK(schedule.next(4.0, start) == 250ms);
    CHECK(schedule.next(4.0, start) == 500ms);
    CHECK(schedule.next(4.0, start + 1s) == 250ms);
    for (int rejected = 0; rejected < 100; ++rejected) {
        CHECK(schedule.next(4.0, start + 2s) <= 2s);
    }
}

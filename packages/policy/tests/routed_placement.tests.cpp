#include "citronwick/core/hash.hpp"
#include "citronwick/policy/engine_placement.hpp"
#include "citronwick/policy/prefix_directory.hpp"
#include "citronwick/policy/retry_window.hpp"
#include "citronwick/policy/upstream_health.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <random>
#include <ranges>
#include <set>
#include <string>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
const placement_parameters parameters;

std::vector<routed_candidate> make_upstreams(std::size_t count) {
    std::vector<routed_candidate> engines(count);
    for (std::size_t index = 0; index < count; ++index) {
        engines[index] = {
            .hash = hash64("engine" + std::to_string(index)), .slots = 96, .uncached_tokens = 8'000};
    }
    return engines;
}

/// Plays routers that place requests by counts that are up to `count_age` old.
/// @return share of the requests that reach an engine over the load bound
double share_over_bound(const placement_parameters& used, std::chrono::milliseconds count_age) {
    constexpr std::size_t engine_count = 140;
    constexpr std::size_t subject_count = 500;
    constexpr std::size_t request_count = 20'000;
    constexpr double requests_per_ms = 0.64;
    constexpr double mean_run_ms = 600.0;
    auto counted = make_upstreams(engine_count);
    std::ranges::for_each(counted, [](routed_candidate& each) { each.slots = 24; });
    std::vector<routed_candidate> actual = counted;
    std::multimap<double, std::size_t> ends;
    std::mt19937 random{1};
    const auto uniform = [&random] { return (static_cast<double>(random()) + 1.0) / 4'294'967'296.0; };
    double now = 0.0;
    double counted_at = 0.0;
    std::size_t over_bound = 0;
    for (std::size_t request = 0; request < request_count; ++request) {
        now -= std::log(uniform()) / requests_per_ms;
        while (!ends.empty() && ends.begin()->first <= now) {
            actual[ends.begin()->second].in_flight -= 1.0;
            ends.erase(ends.begin());
        }
        if (now - counted_at >= static_cast<double>(count_age.count())) {
            counted_at = now;
            std::ranges::transform(actual, counted.begin(), std::identity{});
        }
        // Popular subjects are asked for more often than others.
        const double popularity = uniform() * uniform();
        const auto subject = static_cast<std::uint64_t>(popularity * subject_count);
        const std::uint64_t affinity = hash64("subject" + std::to_string(subject));
        auto candidates = counted;
        for (std::size_t index = 0; index < engine_count; ++index) {
            const bool holds_prefix = hash64(std::to_string(subject), index) % engine_count < 5;
            candidates[index].uncached_tokens = holds_prefix ? 500 : 8'000;
        }
        const auto chosen = place_on_engine(affinity, candidates, used).index;
        if (!chosen) {
            continue;
        }
        over_bound += actual[*chosen].in_flight > load_limit(actual, parameters) ? 1 : 0;
        actual[*chosen].in_flight += 1.0;
        ends.emplace(now - mean_run_ms * std::log(uniform()), *chosen);
    }
    return static_cast<double>(over_bound) / static_cast<double>(request_count);
}

} // namespace

TEST_CASE("a request is placed on the engine that has cached its shared prefix") {
    auto engines = make_upstreams(9);
    engines[4].uncached_tokens = 500;
    for (const std::uint64_t affinity : std::views::iota(0U, 50U)) {
        CHECK(place_on_engine(affinity, engines, parameters).index == 4);
    }
}

TEST_CASE("a busy engine with the prefix is skipped if prefill on another engine is faster") {
    auto engines = make_upstreams(9);
    engines[4].uncached_tokens = 500;
    engines[4].backlog_tokens = 30'000;
    CHECK(place_on_engine(1, engines, parameters).index != 4);
}

TEST_CASE("an engine with the prefix is skipped only if its wait exceeds the acceptable wait") {
    auto engines = make_upstreams(9);
    engines[4].uncached_tokens = 500;
    engines[4].backlog_tokens = 16'000;
    CHECK(place_on_engine(1, engines, parameters).index != 4);
    auto tolerant = parameters;
    tolerant.acceptable_wait_ms = 500;
    CHECK(place_on_engine(1, engines, tolerant).index == 4);
    engines[4].backlog_tokens = 40'000;
    CHECK(place_on_engine(1, engines, tolerant).index != 4);
    engines[4].backlog_tokens = 9'000;
    engines[6].uncached_tokens = 500;
    CHECK(place_on_engine(1, engines, tolerant).index == 6);
}

TEST_CASE("an engine without the prefix fetches it from one that has it") {
    auto engines = make_upstreams(9);
    engines[4].uncached_tokens = 500;
    engines[4].cached_tokens = 7'500;
    const std::array sources{cache_source{engines[4].hash, 7'500}};
    SUBCASE("not if the one that has it is chosen") {
        const auto decision = place_on_engine(1, engines, parameters, sources);
        CHECK(decision.index == 4);
        CHECK_FALSE(decision.fetch);
    }
    SUBCASE("if the one that has it is busy") {
        engines[4].backlog_tokens = 30'000;
        const auto decision = place_on_engine(1, engines, parameters, sources);
        CHECK(decision.index != 4);
        REQUIRE(decision.fetch);
        CHECK(decision.fetch->source == 0);
        CHECK(decision.fetch->tokens == 7'500);
        CHECK(decision.expected_wait_ms < 8'000 / parameters.prefill_tokens_per_ms);
    }
    SUBCASE("if the one that has it accepts no requests") {
        engines.erase(engines.begin() + 4);
        const auto decision = place_on_engine(1, engines, parameters, sources);
        REQUIRE(decision.fetch);
        CHECK(decision.fetch->tokens == 7'500);
    }
    SUBCASE("not if fetching costs as much as prefill") {
        engines[4].usable = false;
        auto dear = parameters;
        dear.fetch_cost = 1.0;
        CHECK_FALSE(place_on_engine(1, engines, dear, sources).fetch);
    }
    SUBCASE("not if it lacks only a few tokens") {
        engines[4].usable = false;
        std::ranges::for_each(engines, [](routed_candidate& each) { each.cached_tokens = 7'400; });
        CHECK_FALSE(place_on_engine(1, engines, parameters, sources).fetch);
    }
}

TEST_CASE("a waiting holder is left sooner if its prefix can be fetched") {
    auto engines = make_upstreams(9);
    engines[4].uncached_tokens = 500;
    engines[4].cached_tokens = 7'500;
    engines[4].backlog_tokens = 6'000;
    const std::array sources{cache_source{engines[4].hash, 7'500}};
    CHECK(place_on_engine(1, engines, parameters).index == 4);
    CHECK(place_on_engine(1, engines, parameters, sources).index != 4);
}

TEST_CASE("engines that have the most of a prompt share the fetches") {
    auto engines = make_upstreams(9);
    const std::array sources{cache_source{hash64("a"), 7'500}, cache_source{hash64("b"), 2'000},
                             cache_source{hash64("c"), 7'500}};
    std::set<std::size_t> used;
    for (const std::uint64_t affinity : std::views::iota(0U, 100U)) {
        const auto decision =
            place_on_engine(hash64("subject" + std::to_string(affinity)), engines, parameters, sources);
        REQUIRE(decision.fetch);
        used.insert(decision.fetch->source);
    }
    CHECK(used == std::set<std::size_t>{0, 2});
}

TEST_CASE("without cache information, routers choose the same engine for a prompt and spread prompts over "
          "all engines") {
    const auto engines = make_upstreams(9);
    std::set<std::size_t> used;
    for (const std::uint64_t subject : std::views::iota(0U, 100U)) {
        const auto affinity = hash64("subject" + std::to_string(subject));
        const auto chosen = place_on_engine(affinity, engines, parameters).index;
        REQUIRE(chosen);
        CHECK(chosen == first_ranked_engine(affinity, engines));
        used.insert(*chosen);
    }
    CHECK(used.size() == engines.size());
}

TEST_CASE("an engine at the load bound is not chosen, even if only it holds the prefix") {
    auto engines = make_upstreams(4);
    engines[2].uncached_tokens = 0;
    engines[2].in_flight = 20;
    const double bound = load_limit(engines, parameters);
    CHECK(engines[2].in_flight + 1 > bound);
    CHECK(place_on_engine(1, engines, parameters).index != 2);
}

// Guards against engines that get over the set multiple of the mean load while a failure domain is evacuated.
TEST_CASE("evacuated engines count in the mean load, and so lower the bound of the others") {
    auto engines = make_upstreams(4);
    std::ranges::for_each(engines, [](routed_candidate& each) { each.in_flight = 9; });
    auto evacuated = parameters;
    evacuated.evacuated = 2;
    CHECK(load_limit(engines, evacuated) == doctest::Approx(2.0 * 4 * 9 / 6 + 3.0));
    CHECK(load_limit(engines, evacuated) < load_limit(engines, parameters));
}

TEST_CASE("an unusable engine is never chosen") {
    auto engines = make_upstreams(3);
    std::ranges::for_each(engines, [](routed_candidate& each) { each.usable = false; });
    CHECK_FALSE(place_on_engine(1, engines, parameters).index);
    engines[1].usable = true;
    CHECK(place_on_engine(1, engines, parameters).index == 1);
}

TEST_CASE("plain requests go to the least loaded upstream, with ties broken by failure domain") {
    auto upstreams = make_upstreams(3);
    std::ranges::for_each(upstreams, [](routed_candidate& each) { each.slots = 6; });
    upstreams[1].same_failure_domain = true;
    CHECK(place_on_plain_upstream(1, upstreams, parameters).index == 1);
    upstreams[1].in_flight = 1;
    CHECK(place_on_plain_upstream(1, upstreams, parameters).index != 1);
}

TEST_CASE("routers with the same old counts do not all run to one worker, but avoid a clogged one") {
    auto upstreams = make_upstreams(4);
    std::ranges::for_each(upstreams, [](routed_candidate& each) { each.slots = 6; });
    upstreams[0].in_flight = 2;
    upstreams[1].in_flight = 2;
    upstreams[3].in_flight = 6;
    auto with_turnover = parameters;
    with_turnover.load_turnover = 1.0;
    std::vector<int> chosen(upstreams.size());
    std::vector<int> chosen_without_turnover(upstreams.size());
    for (const std::uint64_t request : std::views::iota(0U, 400U)) {
        const std::uint64_t hash = hash64(std::to_string(request));
        ++chosen[*place_on_plain_upstream(hash, upstreams, with_turnover).index];
        ++chosen_without_turnover[*place_on_plain_upstream(hash, upstreams, parameters).index];
    }
    CHECK(chosen_without_turnover[2] == 400);
    CHECK(std::ranges::max(chosen) < 200);
    CHECK(chosen[3] == 0);
}

TEST_CASE("counts of a large fleet that are 300 ms old do not push engines over the load bound") {
    auto small_fleet = parameters;
    small_fleet.acceptable_wait_ms = 240;
    const auto large_fleet = adapt_to_fleet(small_fleet, 77, 60ms);
    CHECK(share_over_bound(small_fleet, 700ms) > 0.03);
    CHECK(share_over_bound(large_fleet, 300ms) <= 0.03);
}

TEST_CASE("in a large fleet an idle service still accepts requests") {
    const auto engines = make_upstreams(3);
    CHECK(place_on_engine(1, engines, adapt_to_fleet(parameters, 77, 60ms)).index);
}

TEST_CASE("a prefix expires after the retention time") {
    prefix_directory directory{60s};
    const std::vector<shared_prefix> prefixes{{1, 2'500}, {2, 8'600}};
    CHECK(directory.record(1, 7, start));
    CHECK(directory.record(2, 7, start));
    CHECK_FALSE(directory.record(2, 7, start + 30s));
    CHECK(directory.cached_tokens(prefixes, 7, start + 59s) == 8'600);
    CHECK(directory.cached_tokens(prefixes, 8, start) == 0);
    CHECK(directory.cached_tokens(prefixes, 7, start + 61s) == 8'600);
    CHECK_FALSE(directory.holds(1, 7, start + 61s));
    directory.expire(start + 91s);
    CHECK(directory.holder_count(2, start + 91s) == 0);
}

TEST_CASE("an upstream that fails far more than its service does is avoided, all alike are not") {
    upstream_health health;
    const std::vector<std::uint64_t> service{1, 2, 3};
    for (int count = 0; count < 10; ++count) {
        for (const std::uint64_t upstream : service) {
            health.record_outcome(upstream, count % 3 != 0, start);
        }
    }
    CHECK(health.outliers(service, start).empty());
    for (int count = 0; count < 20; ++count) {
        health.record_outcome(2, false, start);
    }
    CHECK(health.outliers(service, start) == std::set<std::uint64_t>{2});
    for (int count = 0; count < 30; ++count) {
        health.record_outcome(3, false, start);
    }
    CHECK(health.outliers(service, start).size() == 1);
    CHECK(health.outliers(service, start + 30s).empty());
}

TEST_CASE("the backoff of an unreachable upstream grows until a request succeeds") {
    upstream_health health;
    health.record_unreachable(1, start);
    CHECK(health.is_unreachable(1, start + 400ms));
    CHECK_FALSE(health.is_unreachable(1, start + 600ms));
    health.record_unreachable(1, start + 1s);
    CHECK(health.is_unreachable(1, start + 1900ms));
    health.record_outcome(1, true, start + 1950ms);
    CHECK_FALSE(health.is_unreachable(1, start + 1950ms));
}

TEST_CASE("retries in a window are limited to a share of its requests plus the router's part of the extra "
          "retries") {
    retry_window window;
    const retry_limits budget{.share = 0.2, .extra = 12.0, .window = 10s};
    for (int request = 0; request < 20; ++request) {
        window.record_request(start);
    }
    int granted = 0;
    while (window.take_retry(budget, 6, start + 1s)) {
        ++granted;
    }
    CHECK(granted == 6);
    CHECK_FALSE(window.has_retry(budget, 6, start + 9s));
    CHECK_FALSE(window.take_retry(budget, 6, start + 9s));
    CHECK(window.has_retry(budget, 6, start + 11s));
    CHECK(window.take_retry(budget, 6, start + 11s));
}

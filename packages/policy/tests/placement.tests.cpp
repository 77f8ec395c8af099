#include "citronwick/policy/placement.hpp"
#include "citronwick/core/hash.hpp"
#include "citronwick/core/registry.hpp"
#include "citronwick/policy/load_bound.hpp"
#include "citronwick/policy/rendezvous_ranking.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <ranges>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
const time_point long_ago{};

std::vector<std::string> make_names(std::size_t count) {
    std::vector<std::string> all(count);
    std::ranges::generate(all, [index = 0]() mutable { return "engine-" + std::to_string(index++); });
    return all;
}

std::vector<candidate> make_candidates(const std::vector<std::string>& engines) {
    std::vector<candidate> all(engines.size());
    std::ranges::transform(engines, all.begin(), [](const std::string& name) {
        return candidate{hash64(name), name, 1.0, 0.0, availability::ready, long_ago};
    });
    return all;
}

/// Number of chats whose first-ranked upstream differs between the two sets.
std::size_t count_moved_chats(std::span<const candidate> before, std::span<const candidate> after,
                              std::uint64_t chats) {
    return static_cast<std::size_t>(
        std::ranges::count_if(std::views::iota(std::uint64_t{0}, chats), [&](auto chat) {
            return before[rendezvous_ranking(chat, before)[0]].hash !=
                   after[rendezvous_ranking(chat, after)[0]].hash;
        }));
}

} // namespace

TEST_CASE("a lost engine moves only its own chats") {
    const auto engines = make_names(10);
    const auto before = make_candidates(engines);
    auto after = before;
    after.erase(after.begin() + 3);
    const std::uint64_t chats = 5000;
    CHECK(count_moved_chats(before, after, chats) < chats * 13 / 100);
    CHECK(count_moved_chats(before, after, chats) > chats * 7 / 100);
}

TEST_CASE("an engine ranks first in proportion to its weight") {
    const auto engines = make_names(4);
    auto upstreams = make_candidates(engines);
    upstreams[0].weight = 3.0;
    const int chats = 6000;
    const auto first = std::ranges::count_if(std::views::iota(0, chats), [&](int chat) {
        return rendezvous_ranking(static_cast<std::uint64_t>(chat), upstreams)[0] == 0;
    });
    CHECK(first > chats * 46 / 100);
    CHECK(first < chats * 54 / 100);
}

TEST_CASE("placement respects the load bound, the context hint and the availability of each engine") {
    const auto engines = make_names(5);
    const auto policy = registry<placement_policy>::instance().make("bounded_rendezvous");
    REQUIRE(policy);
    const preset settings{};
    auto upstreams = make_candidates(engines);
    const std::uint64_t chat = 42;
    const auto ranking = rendezvous_ranking(chat, upstreams);

    SUBCASE("an idle fleet uses the first rank") {
        const auto decision = policy->place({chat}, upstreams, settings, start);
        CHECK(decision.index == ranking[0]);
        CHECK(decision.reason == "first rank");
    }
    SUBCASE("a known context holder takes precedence over the ranking") {
        const auto decision = policy->place({chat, upstreams[ranking[3]].hash}, upstreams, settings, start);
        CHECK(decision.index == ranking[3]);
        CHECK(decision.reason == "context");
    }
    SUBCASE("an unknown context holder is ignored") {
        CHECK(policy->place({chat, 7}, upstreams, settings, start).index == ranking[0]);
    }
    SUBCASE("an engine over the bound is skipped in favor of the least loaded of the next ranks") {
        upstreams[ranking[0]].in_flight = 20;
        upstreams[ranking[1]].in_flight = 4;
        upstreams[ranking[2]].in_flight = 2;
        upstreams[ranking[3]].in_flight = 4;
        const auto decision = policy->place({chat}, upstreams, settings, start);
        CHECK(decision.index == ranking[2]);
        CHECK(decision.reason == "spill");
        CHECK(decision.skipped.at(0).reason == "over bound");
    }
    SUBCASE("leaving and unreachable engines receive no requests") {
        upstreams[ranking[0]].state = availability::leaving;
        upstreams[ranking[1]].state = availability::unreachable;
        const auto decision = policy->place({chat, upstreams[ranking[0]].hash}, upstreams, settings, start);
        CHECK(decision.index == ranking[2]);
        CHECK(decision.skipped.size() == 2);
    }
    SUBCASE("no engine is chosen if all are at their concurrency limit") {
        std::ranges::for_each(upstreams,
                              [&](candidate& each) { each.in_flight = settings.engine_concurrency; });
        const auto decision = policy->place({chat}, upstreams, settings, start);
        CHECK_FALSE(decision.index.has_value());
        CHECK(decision.reason == "all upstreams full");
    }
    SUBCASE("no engine is chosen from an empty fleet") {
        CHECK_FALSE(policy->place({chat}, {}, settings, start).index.has_value());
    }
}

TEST_CASE("the bound keeps each engine within the target multiple of the mean if no request ends") {
    const auto engines = make_names(10);
    const auto policy = registry<placement_policy>::instance().make("bounded_rendezvous");
    const preset settings{.skew_target = 1.25, .engine_concurrency = 1000};
    auto upstreams = make_candidates(engines);
    std::ranges::for_each(
        std::views::iota(std::uint64_t{0}, std::uint64_t{1000}), [&](std::uint64_t request) {
            const auto decision = policy->place({request * request % 37}, upstreams, settings, start);
            REQUIRE(decision.index.has_value());
            upstreams[*decision.index].in_flight += 1.0;
        });
    CHECK(std::ranges::max(upstreams, {}, &candidate::in_flight).in_flight <= 126);
}

TEST_CASE("the bound of a new engine ramps up during slow start") {
    const auto engines = make_names(2);
    auto upstreams = make_candidates(engines);
    upstreams[0].in_flight = 20;
    upstreams[1].joined_at = start;
    const preset settings{.slow_start = 10s};
    CHECK(load_bound{upstreams, settings, start}.limit(upstreams[1]) <= 3.0);
    CHECK(load_bound{upstreams, settings, start + 10s}.limit(upstreams[1]) == 14.0);
}

TEST_CASE("engines that are all in slow start share the load evenly and admit all requests") {
    const auto engines = make_names(3);
    auto upstreams = make_candidates(engines);
    for (candidate& each : upstreams) {
        each.in_flight = 10;
        each.joined_at = start;
    }
    const load_bound bound{upstreams, preset{.slow_start = 10s}, start};
    CHECK(std::ranges::all_of(upstreams, [&](const candidate& each) { return bound.admits(each); }));
}

TEST_CASE("every placement policy skips engines that accept no new work") {
    const auto engines = make_names(3);
    auto upstreams = make_candidates(engines);
    upstreams[0].state = availability::leaving;
    upstreams[1].state = availability::unreachable;
    for (const auto& name : registry<placement_policy>::instance().names()) {
        CAPTURE(name);
        const auto policy = registry<placement_policy>::instance().make(name);
        CHECK(policy->place({1}, upstreams, preset{}, start).index == 2U);
        CHECK_FALSE(policy->place({1}, std::span{upstreams}.first(2), preset{}, start).index.has_value());
    }
}

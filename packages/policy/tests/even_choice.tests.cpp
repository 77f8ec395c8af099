// The load: many routers that choose between few upstreams of unequal speed by counts that are older than
// a request takes, while the load rises and falls.

#include "citronwick/policy/even_choice.hpp"

#include "citronwick/core/hash.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <doctest/doctest.h>
#include <functional>
#include <limits>
#include <numbers>
#include <queue>
#include <random>
#include <vector>

using namespace citronwick;

namespace {

constexpr std::array<double, 4> slowness{1.0, 1.0, 1.3, 1.0};
constexpr std::size_t upstream_count = slowness.size();
constexpr int slots = 6;
constexpr double run_s = 0.06;

/// What a router knows when it places a request.
struct knowledge {
    std::array<double, upstream_count> reported{}; ///< in flight, of all routers
    double expected_arrivals = 0.0;
    std::uint64_t request = 0;
};

using rule = std::function<std::size_t(const knowledge&)>;

/// How evenly a rule loads the upstreams.
struct outcome {
    double idle_share = 0.0; ///< of the time: an upstream has free slots while others have none and a queue
    double peak_to_mean = 0.0;
};

/// Plays requests at `load` times the capacity, whose counts are reported to all routers each `age_s`.
outcome play(const rule& choose, double age_s, double load) {
    constexpr double length_s = 40.0;
    constexpr double wave_s = 11.0;
    constexpr double swing = 0.27;
    constexpr double window_s = 0.2;
    std::mt19937_64 random{1};
    const auto uniform = [&random] {
        return (static_cast<double>(random() >> 11U) + 0.5) / 9007199254740992.0;
    };
    double capacity = 0.0;
    std::ranges::for_each(slowness, [&](double each) { capacity += slots / (run_s * each); });
    std::array<double, upstream_count> in_flight{};
    std::array<std::vector<double>, upstream_count> slot_free_at;
    std::ranges::for_each(slot_free_at, [](auto& each) { each.assign(slots, 0.0); });
    std::priority_queue<std::pair<double, std::size_t>, std::vector<std::pair<double, std::size_t>>,
                        std::greater<>>
        ends;
    knowledge known;
    std::array<double, upstream_count> area{};
    double now = 0.0;
    double reported_at = 0.0;
    double window_began = 0.0;
    double idle_s = 0.0;
    double ratios = 0.0;
    int windows = 0;
    while (now < length_s) {
        const double rate = load * capacity * (1.0 + swing * std::sin(2.0 * std::numbers::pi * now / wave_s));
        const double next = now - std::log(uniform()) / rate;
        while (!ends.empty() && ends.top().first <= next) {
            in_flight.at(ends.top().second) -= 1.0;
            ends.pop();
        }
        const auto [least, most] = std::ranges::minmax(in_flight);
        idle_s += least < slots && most > slots ? next - now : 0.0;
        for (std::size_t index = 0; index < upstream_count; ++index) {
            area.at(index) += in_flight.at(index) * (next - now);
        }
        now = next;
        if (now - window_began >= window_s) {
            const double sum = std::reduce(area.begin(), area.end());
            ratios += sum > 0.0 ? std::ranges::max(area) * upstream_count / sum : 1.0;
            ++windows;
            window_began = now;
            area.fill(0.0);
        }
        if (now - reported_at >= age_s) {
            reported_at = now;
            known.reported = in_flight;
        }
        known.expected_arrivals = rate * age_s;
        known.request = random();
        const std::size_t chosen = choose(known);
        auto& free_at = slot_free_at.at(chosen);
        const auto slot = std::ranges::min_element(free_at);
        *slot = std::max(*slot, now) + run_s * slowness.at(chosen) * (0.8 + 0.4 * uniform());
        ends.emplace(*slot, chosen);
        in_flight.at(chosen) += 1.0;
    }
    return {idle_s / length_s, ratios / windows};
}

std::size_t choose_even(const knowledge& known) {
    std::vector<known_load> loads;
    for (std::size_t index = 0; index < upstream_count; ++index) {
        loads.push_back({known.reported.at(index), slots / slowness.at(index)});
    }
    return *choose_evenly(loads, known.expected_arrivals, known.request);
}

std::size_t choose_least(const knowledge& known) {
    return static_cast<std::size_t>(std::ranges::min_element(known.reported) - known.reported.begin());
}

std::size_t choose_less_of_two(const knowledge& known) {
    const std::size_t first = known.request % upstream_count;
    const std::size_t second =
        (first + 1 + hash64("second", known.request) % (upstream_count - 1)) % upstream_count;
    return known.reported.at(first) <= known.reported.at(second) ? first : second;
}

std::size_t choose_any(const knowledge& known) {
    return known.request % upstream_count;
}

} // namespace

TEST_CASE("old counts load upstreams more evenly by an even choice than by the least count") {
    for (const double age_s : {0.1, 0.5, 2.0}) {
        CAPTURE(age_s);
        const outcome even = play(choose_even, age_s, 0.7);
        for (const rule& other : {rule{choose_least}, rule{choose_less_of_two}, rule{choose_any}}) {
            const outcome compared = play(other, age_s, 0.7);
            MESSAGE("age " << age_s << " s, even " << even.peak_to_mean << " (idle " << even.idle_share
                           << "), other " << compared.peak_to_mean << " (idle " << compared.idle_share
                           << ")");
            CHECK(even.peak_to_mean <= compared.peak_to_mean);
            CHECK(even.idle_share <= compared.idle_share);
        }
    }
}

TEST_CASE("an upstream gets what it lacks of an even division, and nothing beyond that") {
    const std::array<known_load, 3> loads{known_load{10.0, 1.0}, known_load{2.0, 1.0}, known_load{0.0, 2.0}};
    std::array<int, 3> chosen{};
    for (std::uint64_t request = 0; request < 4'000; ++request) {
        ++chosen.at(*choose_evenly(loads, 4.0, hash64("request", request)));
    }
    // 16 requests in shares of 4, 4 and 8: the upstreams lack 0, 2 and 8.
    CHECK(chosen[0] == 0);
    CHECK(chosen[1] == doctest::Approx(800).epsilon(0.1));
    CHECK(chosen[2] == doctest::Approx(3'200).epsilon(0.1));
}

TEST_CASE("the choice falls only on upstreams with capacity, whatever the hash and the loads") {
    constexpr std::uint64_t last = std::numeric_limits<std::uint64_t>::max();
    const std::array<known_load, 3> loads{known_load{0.0, 0.0}, known_load{1e9, 1.0}, known_load{0.0, 0.0}};
    for (const std::uint64_t hash : {std::uint64_t{0}, std::uint64_t{1}, last}) {
        CHECK(choose_evenly(loads, 0.0, hash) == 1);
    }
    CHECK_FALSE(choose_evenly({}, 1.0, 1));
    const std::array<known_load, 1> none{known_load{3.0, 0.0}};
    CHECK_FALSE(choose_evenly(none, 1.0, 1));
}

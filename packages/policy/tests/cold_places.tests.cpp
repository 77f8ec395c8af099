// The load: many routers before an upstream that bears a few requests a second, with routers that
// restart, pause and disagree on the list of routers.

#include "citronwick/policy/cold_places.hpp"

#include "citronwick/policy/send_window.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <limits>
#include <numeric>
#include <optional>
#include <ranges>
#include <vector>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t upstream = 77;
const time_point start{1h};

std::vector<std::uint64_t> fleet_of(std::size_t routers, std::uint64_t first = 1'000) {
    std::vector<std::uint64_t> hashes(routers);
    std::iota(hashes.begin(), hashes.end(), first);
    return hashes;
}

int sum_places(std::size_t routers, double per_second) {
    const auto fleet = fleet_of(routers);
    return std::accumulate(fleet.begin(), fleet.end(), 0, [&](int sum, std::uint64_t self) {
        return sum + cold_allowance_of(upstream, per_second, self, fleet).places;
    });
}

/// The most sends within any second, each of them given by its time.
std::ptrdiff_t most_in_a_second(std::vector<time_point> sends) {
    std::ranges::sort(sends);
    std::ptrdiff_t most = 0;
    for (auto first = sends.begin(); first != sends.end(); ++first) {
        const auto last = std::ranges::lower_bound(first, sends.end(), *first + 1s);
        most = std::max(most, last - first);
    }
    return most;
}

/// A router that sends whenever it may.
struct greedy_router {
    std::uint64_t hash;
    std::vector<std::uint64_t> known; ///< routers, as far as it knows
    std::optional<send_window> window{std::in_place};

    void send(double per_second, time_point now, std::vector<time_point>& sends) {
        const auto allowance = cold_allowance_of(upstream, per_second, hash, known);
        while (window->reserve(allowance, now)) {
            window->record_sent(now);
            sends.push_back(now);
        }
    }
};

/// Bound of the users' rule for a cold upstream.
double bound(double per_second) {
    constexpr double overshoot = 1.5;
    constexpr double slack = 5.0;
    return per_second * overshoot + slack;
}

} // namespace

TEST_CASE("the places of a cold upstream are within its rate, whatever the number of routers") {
    for (const std::size_t routers : {1, 6, 66, 295}) {
        CHECK(sum_places(routers, 11.0) == 9);
        CHECK(sum_places(routers, 9.4) == 8);
        CHECK(sum_places(routers, 0.5) == 1);
    }
}

TEST_CASE("a rate below one request a second makes the interval of the only place longer") {
    const auto fleet = fleet_of(1);
    CHECK(cold_allowance_of(upstream, 0.5, fleet[0], fleet).interval > 2s);
    CHECK(cold_allowance_of(upstream, 11.0, fleet[0], fleet).interval == 1s);
}

TEST_CASE("a rate that is no positive number allows a request now and then") {
    for (const double rate : {0.0, -3.0, std::numeric_limits<double>::quiet_NaN()}) {
        const auto fleet = fleet_of(1);
        const auto allowance = cold_allowance_of(upstream, rate, fleet[0], fleet);
        CHECK(allowance.places == 1);
        CHECK(allowance.interval > 60s);
    }
    CHECK(sum_places(3, 1e12) == 10'000);
}

TEST_CASE("routers that restart and pause under load send a cold upstream no more than it bears") {
    constexpr double rate = 11.0;
    constexpr std::size_t restart_steps = 37;
    constexpr std::size_t pause_steps = 23;
    for (const std::size_t routers : {6, 66, 295}) {
        std::deque<greedy_router> fleet;
        for (const std::uint64_t hash : fleet_of(routers)) {
            fleet.emplace_back(hash, fleet_of(routers));
        }
        std::vector<time_point> sends;
        for (std::size_t step = 0; step < 300; ++step) {
            const auto now = start + step * 20ms;
            for (std::size_t index = 0; index < routers; ++index) {
                const std::size_t phase = step + index;
                if (phase % restart_steps == 0) {
                    // The process ends and the next one knows nothing of what was sent.
                    fleet[index].window.emplace().close_until(now + 1s);
                }
                if (phase % pause_steps > 3) {
                    fleet[index].send(rate, now, sends);
                }
            }
        }
        CHECK(most_in_a_second(sends) <= static_cast<std::ptrdiff_t>(rate));
    }
}

TEST_CASE("routers with two lists of each other send a cold upstream no more than the users allow") {
    constexpr std::array sizes{std::size_t{6}, std::size_t{66}, std::size_t{295}};
    constexpr std::array rates{0.5, 4.0, 9.4, 11.0};
    for (std::size_t combination = 0; combination < sizes.size() * rates.size(); ++combination) {
        const std::size_t size = sizes.at(combination % sizes.size());
        const double rate = rates.at(combination / sizes.size());
        const auto before = fleet_of(size);
        auto after = before;
        std::erase_if(after, [](std::uint64_t router) { return router % 3 == 0; });
        std::ranges::copy(fleet_of(size / 3, 5'000), std::back_inserter(after));
        std::deque<greedy_router> fleet;
        std::ranges::for_each(before, [&](std::uint64_t hash) { fleet.emplace_back(hash, before); });
        std::ranges::for_each(after, [&](std::uint64_t hash) { fleet.emplace_back(hash, after); });
        std::vector<time_point> sends;
        for (int step = 0; step < 200; ++step) {
            for (greedy_router& each : fleet) {
                each.send(rate, start + step * 20ms, sends);
            }
        }
        CHECK(static_cast<double>(most_in_a_second(sends)) <= bound(rate));
    }
}

TEST_CASE("a place is not used again while its request connects, and is free if nothing was sent") {
    const cold_allowance one{.places = 1, .interval = 1s};
    send_window window;
    REQUIRE(window.reserve(one, start));
    CHECK_FALSE(window.has_room(one, start + 5s));
    window.release();
    REQUIRE(window.reserve(one, start + 5s));
    window.record_sent(start + 6s);
    CHECK_FALSE(window.has_room(one, start + 6'900ms));
    CHECK(window.has_room(one, start + 7s));
}

#include "citronwick/policy/brittle_places.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <limits>
#include <numeric>
#include <ranges>
#include <vector>

using namespace citronwick;

namespace {

constexpr std::uint64_t upstream = 77;

std::vector<std::uint64_t> fleet_of(std::size_t routers) {
    std::vector<std::uint64_t> hashes(routers);
    std::iota(hashes.begin(), hashes.end(), 1'000);
    return hashes;
}

/// Sum over all routers of what they may have in flight if each sees the same load.
int sum_allowed(std::size_t routers, std::uint32_t slots, double refusals, const brittle_load& load) {
    const auto fleet = fleet_of(routers);
    return std::accumulate(fleet.begin(), fleet.end(), 0, [&](int sum, std::uint64_t self) {
        return sum + brittle_places{upstream, slots, refusals, self, fleet}.allowed(load);
    });
}

} // namespace

TEST_CASE("routers that count nothing send a brittle upstream no more than it runs and may refuse") {
    for (const std::size_t routers : {1, 3, 6, 9, 91, 295}) {
        for (const double refusals : {0.0, 0.5, 1.0, 5.0, 40.0}) {
            const int sum = sum_allowed(routers, 6, refusals, {.remote_in_flight = 0});
            CHECK(sum >= 6);
            CHECK(sum <= 6 + static_cast<int>(refusals));
        }
    }
}

TEST_CASE("routers that count a full brittle upstream keep within its slots, and use them all") {
    for (const std::size_t routers : {1, 3, 6, 9, 91, 295}) {
        for (const std::uint32_t slots : {1, 6, 96, 128}) {
            CHECK(sum_allowed(routers, slots, 5.0, {.remote_in_flight = 1'000}) == static_cast<int>(slots));
        }
    }
}

TEST_CASE("a router that was refused returns to its part of a brittle upstream") {
    const auto fleet = fleet_of(3);
    const brittle_places places{upstream, 6, 5.0, fleet[1], fleet};
    CHECK(places.own() == 2);
    CHECK(places.allowed({.remote_in_flight = 0}) > 2);
    CHECK(places.allowed({.remote_in_flight = 0, .has_refused_lately = true}) == 2);
}

TEST_CASE("a router may fill a large brittle upstream that the others hardly use") {
    const auto fleet = fleet_of(6);
    const brittle_places places{upstream, 96, 5.0, fleet[2], fleet};
    CHECK(places.own() == 16);
    CHECK(places.allowed({.remote_in_flight = 10}) == 62);
    CHECK(places.allowed({.remote_in_flight = 80}) <= 17);
}

TEST_CASE("an allowance of refusals that is no usable number counts as none") {
    for (const double refusals :
         {-1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        CHECK(sum_allowed(6, 6, refusals, {}) == 6);
    }
}

TEST_CASE("the holders of places are the routers with a part, and their parts are all slots") {
    for (const std::size_t routers : {1, 3, 9, 77, 91, 295}) {
        const auto fleet = fleet_of(routers);
        for (const std::uint32_t slots : {0, 1, 2, 6, 9, 100}) {
            const auto holders = place_holders(upstream, slots, fleet);
            int held = 0;
            for (const std::uint64_t router : fleet) {
                const auto own = brittle_places{upstream, slots, 5.0, router, fleet}.own();
                CHECK((own > 0) == (std::ranges::find(holders, router) != holders.end()));
                held += own;
            }
            CHECK(held == static_cast<int>(slots));
        }
    }
}

TEST_CASE("a router with all of the load gets no more places than the slots and the refusals allow") {
    constexpr double refusals_per_second = 5.0;
    for (const std::size_t routers : {3, 9}) {
        const auto fleet = fleet_of(routers);
        for (const std::uint32_t slots : {3, 6, 24, 36, 100}) {
            const brittle_places busy{upstream, slots, refusals_per_second, fleet.front(), fleet};
            int most = busy.allowed({});
            for (const std::uint64_t idle : fleet | std::views::drop(1)) {
                const brittle_places lender{upstream, slots, refusals_per_second, idle, fleet};
                most += are_places_lent(slots, routers) ? lender.own() : 0;
            }
            CHECK(most <= static_cast<int>(slots) + 3);
        }
    }
}

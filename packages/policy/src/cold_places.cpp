#include "citronwick/policy/cold_places.hpp"

#include "citronwick/core/hash.hpp"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace citronwick {

namespace {

/// Part of the rate that is given out as places.
constexpr double placed_share = 0.9;
constexpr std::chrono::duration<double> place_interval{1.0};
/// Bounds that keep the interval and the number of places representable.
constexpr double min_rate = 0.01;
constexpr double max_places = 10'000.0;

/// Whether rendezvous hashing gives a place to this router.
bool holds_place(std::uint64_t place, std::uint64_t self, std::span<const std::uint64_t> routers) {
    const std::uint64_t own_score = hash_combine(place, self);
    return std::ranges::all_of(routers, [&](std::uint64_t router) {
        const std::uint64_t score = hash_combine(place, router);
        return score < own_score || (score == own_score && router <= self);
    });
}

} // namespace

cold_allowance cold_allowance_of(std::uint64_t upstream, double per_second, std::uint64_t self,
                                 std::span<const std::uint64_t> routers) {
    const double rate = placed_share * (per_second > min_rate ? per_second : min_rate);
    const double places = std::clamp(std::floor(rate * place_interval.count()), 1.0, max_places);
    const std::chrono::duration<double> interval{std::max(places / rate, place_interval.count())};
    const auto numbers = std::views::iota(std::uint64_t{0}, static_cast<std::uint64_t>(places));
    const auto own = std::ranges::count_if(numbers, [&](std::uint64_t number) {
        return holds_place(hash_combine(upstream, number), self, routers);
    });
    return {static_cast<std::int32_t>(own), std::chrono::duration_cast<duration>(interval)};
}

} // namespace citronwick

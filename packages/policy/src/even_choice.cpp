#include "citronwick/policy/even_choice.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <vector>

namespace citronwick {

namespace {

/// At least this request, the one that is placed, arrives.
constexpr double min_arrivals = 1.0;

double sum_of(std::span<const known_load> upstreams, double known_load::* member) {
    return std::transform_reduce(upstreams.begin(), upstreams.end(), 0.0, std::plus{},
                                 [member](const known_load& each) { return each.*member; });
}

/// Maps a hash to a number from 0 up to, but not including, 1.
double to_fraction(std::uint64_t hash) {
    constexpr unsigned unused_bits = 11; // a double holds 53
    constexpr double range = 9007199254740992.0;
    return static_cast<double>(hash >> unused_bits) / range;
}

} // namespace

std::optional<std::size_t> choose_evenly(std::span<const known_load> upstreams, double expected_arrivals,
                                         std::uint64_t request_hash) {
    const double capacity = sum_of(upstreams, &known_load::capacity);
    if (capacity <= 0.0) {
        return std::nullopt;
    }
    const double load = sum_of(upstreams, &known_load::in_flight) + std::max(expected_arrivals, min_arrivals);
    std::vector<double> shares;
    std::ranges::transform(upstreams, std::back_inserter(shares), [&](const known_load& each) {
        const double even = load * each.capacity / capacity;
        return each.capacity > 0.0 ? std::max(even - each.in_flight, 0.0) : 0.0;
    });
    std::partial_sum(shares.begin(), shares.end(), shares.begin());
    const auto chosen = std::ranges::upper_bound(shares, to_fraction(request_hash) * shares.back());
    return static_cast<std::size_t>(std::min(chosen, std::prev(shares.end())) - shares.begin());
}

} // namespace citronwick

#include "citronwick/policy/brittle_places.hpp"

#include "citronwick/policy/rendezvous_ranking.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

namespace citronwick {

namespace {

/// Part of the refusals that routers may cause by requests beyond their parts. The rest is left
/// for requests that were in flight before all routers knew that the upstream is brittle.
constexpr double spare_share = 0.6;
/// Slots for each router from which load counts are trusted: the requests of so large an
/// upstream last for many times the age of the counts.
constexpr std::size_t trusted_slots_per_router = 4;
/// Part of the slots of such an upstream that is left for requests that are not counted yet.
constexpr std::int32_t uncounted_part = 4;

/// Part of `total` for the router at a place in the order of all.
std::int32_t part_of(std::int32_t total, std::int32_t routers, std::int32_t place) {
    return total / routers + (place < total % routers ? 1 : 0);
}

/// By which routers are ordered in the division of an upstream's slots, the largest one first.
auto rank_key(std::uint64_t upstream, std::uint64_t router) {
    return std::pair{rendezvous_score(upstream, router), router};
}

/// Refusals that routers may cause, as a whole number.
std::int32_t spare_of_all(double refusals_per_second, std::int32_t slots) {
    if (!std::isfinite(refusals_per_second)) {
        return 0;
    }
    return static_cast<std::int32_t>(
        std::clamp(std::floor(spare_share * refusals_per_second), 0.0, static_cast<double>(slots)));
}

} // namespace

brittle_places::brittle_places(std::uint64_t upstream, std::uint32_t slots, double refusals_per_second,
                               std::uint64_t self, std::span<const std::uint64_t> routers)
    : slots_{static_cast<std::int32_t>(
          std::min<std::uint32_t>(slots, std::numeric_limits<std::int16_t>::max()))},
      routers_{std::max(static_cast<std::int32_t>(routers.size()), 1)} {
    const auto rank = static_cast<std::int32_t>(std::ranges::count_if(routers, [&](std::uint64_t router) {
        return rank_key(upstream, router) > rank_key(upstream, self);
    }));
    own_ = part_of(slots_, routers_, rank);
    // Those without a part of the remaining slots come first.
    const std::int32_t place = (rank + routers_ - slots_ % routers_) % routers_;
    spare_ = part_of(spare_of_all(refusals_per_second, slots_), routers_, place);
}

std::int32_t brittle_places::allowed(const brittle_load& load) const {
    if (load.has_refused_lately) {
        return own_;
    }
    const std::int32_t free = std::max(slots_ - load.remote_in_flight, 0);
    std::int32_t most = std::max(own_, std::min(own_ + spare_, free));
    if (!are_places_lent(static_cast<std::uint32_t>(slots_), static_cast<std::size_t>(routers_))) {
        most = std::max(most, free - std::max(routers_, slots_ / uncounted_part));
    }
    return most;
}

std::vector<std::uint64_t> place_holders(std::uint64_t upstream, std::uint32_t slots,
                                         std::span<const std::uint64_t> routers) {
    std::vector<std::uint64_t> holders{routers.begin(), routers.end()};
    if (slots < holders.size()) {
        std::ranges::nth_element(holders, holders.begin() + slots, std::greater{},
                                 [upstream](std::uint64_t router) { return rank_key(upstream, router); });
        holders.resize(slots);
    }
    return holders;
}

bool are_places_lent(std::uint32_t slots, std::size_t routers) {
    return slots < trusted_slots_per_router * routers;
}

} // namespace citronwick

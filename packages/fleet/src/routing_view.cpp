#include "citronwick/fleet/routing_view.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/fleet/upstream_limits.hpp"
#include "citronwick/policy/brittle_places.hpp"
#include "citronwick/policy/room_shortage.hpp"

#include <algorithm>
#include <ranges>
#include <utility>

namespace citronwick {

taken_place::taken_place(std::shared_ptr<upstream_load> load)
    : load_{std::move(load)}, taken_then_{load_->taken_places.fetch_add(1, std::memory_order_relaxed) + 1} {}

taken_place::~taken_place() {
    load_->taken_places.fetch_sub(1, std::memory_order_relaxed);
}

std::optional<lendable_places> places_to_lend(const routing_view& view, std::uint32_t upstream,
                                              const upstream_limits& limits, time_point now) {
    for (const auto& upstreams : view.upstreams | std::views::values) {
        const auto found = std::ranges::find(
            upstreams, upstream, [](const routed_upstream& each) { return short_hash(each.hash); });
        if (found != upstreams.end()) {
            const bool is_short = limits.summaries({found->hash}, now).front().is_short;
            const std::uint32_t places =
                is_short ? places_while_short(found->entry.slots) : found->entry.slots;
            const auto& routers = view.place_sharers(is_short);
            if (!are_places_lent(places, routers.size())) {
                return std::nullopt;
            }
            constexpr double no_refusals = 0.0; // only what exceeds the part depends on them
            const brittle_places parts{found->hash, places, no_refusals, view.self, routers};
            return lendable_places{found->load, parts.own()};
        }
    }
    return std::nullopt;
}

const routed_upstream* routing_view::find(std::string_view service, std::uint64_t upstream) const {
    const auto of_service = upstreams.find(service);
    if (of_service == upstreams.end()) {
        return nullptr;
    }
    const auto found = std::ranges::find(of_service->second, upstream, &routed_upstream::hash);
    return found == of_service->second.end() ? nullptr : &*found;
}

const std::vector<std::uint64_t>& routing_view::place_sharers(bool is_short) const {
    return is_short ? heard_routers : active_routers;
}

bool routing_view::accepts_requests(std::string_view service, std::uint64_t upstream) const {
    return find(service, upstream) != nullptr;
}

} // namespace citronwick

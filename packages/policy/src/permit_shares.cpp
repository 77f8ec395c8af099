#include "citronwick/policy/permit_shares.hpp"

#include <algorithm>
#include <ranges>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time after its last message at which a delegation lapses. Longer than three
/// intervals between two messages.
constexpr duration lapse_time = 1500ms;

} // namespace

void permit_shares::record_delegation(std::uint64_t router, time_point now) {
    const auto [found, is_new] = delegations_.try_emplace(router, delegation{now, now});
    delegation& known = found->second;
    if (now - known.last_at >= lapse_time) {
        known.first_at = now;
    }
    known.last_at = now;
}

double permit_shares::share(std::size_t active_routers, time_point now) const {
    const auto is_in_effect = [now](const delegation& each) {
        return now - each.last_at < lapse_time && now - each.first_at >= lapse_time;
    };
    const auto count = std::ranges::count_if(delegations_ | std::views::values, is_in_effect);
    const auto routers = static_cast<double>(std::max<std::size_t>(active_routers, 1));
    return std::min(static_cast<double>(count) / routers, 1.0);
}

} // namespace citronwick

#include "citronwick/policy/load_bound.hpp"

#include <algorithm>
#include <cmath>

namespace citronwick {

load_bound::load_bound(std::span<const candidate> upstreams, const preset& policy, time_point now)
    : policy_{policy}, now_{now} {
    std::ranges::for_each(upstreams, [this](const candidate& each) {
        if (each.state == availability::ready) {
            total_in_flight_ += each.in_flight;
            total_weight_ += each.weight;
        }
    });
}

double load_bound::ramp(const candidate& upstream) const {
    constexpr double smallest_share = 0.1;
    if (policy_.slow_start.count() == 0) {
        return 1.0;
    }
    const std::chrono::duration<double> age = now_ - upstream.joined_at;
    const double share = age / std::chrono::duration<double>{policy_.slow_start};
    return std::clamp(share, smallest_share, 1.0);
}

double load_bound::limit(const candidate& upstream) const {
    const double fair_share =
        (total_in_flight_ + 1.0) * upstream.weight / std::max(total_weight_, upstream.weight);
    const double bound = std::ceil(policy_.skew_target * fair_share) * ramp(upstream);
    const double ceiling = policy_.engine_concurrency;
    return std::max(1.0, std::min(bound, ceiling));
}

bool load_bound::admits(const candidate& upstream) const {
    return upstream.state == availability::ready && upstream.in_flight + 1.0 <= limit(upstream);
}

} // namespace citronwick

#include "citronwick/policy/load_bound.hpp"

#include <algorithm>
#include <cmath>

namespace citronwick {

load_bound::load_bound(std::span<const candidate> upstreams, const preset& settings, time_point now)
    : skew_target_{settings.skew_target}, concurrency_{static_cast<double>(settings.engine_concurrency)},
      slow_start_{settings.slow_start}, now_{now} {
    std::ranges::for_each(upstreams, [this](const candidate& each) {
        if (each.state == availability::ready) {
            total_in_flight_ += each.in_flight;
            total_weight_ += effective_weight(each);
        }
    });
}

double load_bound::effective_weight(const candidate& upstream) const {
    constexpr double min_ramp = 0.1;
    if (slow_start_.count() == 0.0) {
        return upstream.weight;
    }
    const std::chrono::duration<double> age = now_ - upstream.joined_at;
    const double ramp = age / slow_start_;
    return upstream.weight * std::clamp(ramp, min_ramp, 1.0);
}

double load_bound::limit(const candidate& upstream) const {
    const double weight = effective_weight(upstream);
    const double fair_share = (total_in_flight_ + 1.0) * weight / std::max(total_weight_, weight);
    const double bound = std::ceil(skew_target_ * fair_share);
    return std::max(1.0, std::min(bound, concurrency_));
}

bool load_bound::admits(const candidate& upstream) const {
    return upstream.state == availability::ready && upstream.in_flight + 1.0 <= limit(upstream);
}

} // namespace citronwick

#include "citronwick/policy/recent_keys.hpp"

#include <algorithm>

namespace citronwick {

void recent_keys::record(std::uint64_t key, time_point at) {
    if (recorded_at_.size() < capacity_ || recorded_at_.contains(key)) {
        recorded_at_[key] = std::max(recorded_at_[key], at);
    }
}

std::optional<time_point> recent_keys::recorded_at(std::uint64_t key, time_point now) const {
    const auto found = recorded_at_.find(key);
    const bool is_known = found != recorded_at_.end() && now - found->second < lifetime_;
    return is_known ? std::optional{found->second} : std::nullopt;
}

void recent_keys::expire(time_point now) {
    std::erase_if(recorded_at_, [&](const auto& entry) { return now - entry.second >= lifetime_; });
}

} // namespace citronwick

#include "citronwick/policy/recent_keys.hpp"

namespace citronwick {

void recent_keys::record(std::uint64_t key, time_point now) {
    if (recorded_at_.size() < capacity_ || recorded_at_.contains(key)) {
        recorded_at_[key] = now;
    }
}

bool recent_keys::contains(std::uint64_t key, time_point now) const {
    const auto found = recorded_at_.find(key);
    return found != recorded_at_.end() && now - found->second < lifetime_;
}

void recent_keys::expire(time_point now) {
    std::erase_if(recorded_at_, [&](const auto& entry) { return now - entry.second >= lifetime_; });
}

} // namespace citronwick

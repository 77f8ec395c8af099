#include "citronwick/policy/key_freshness.hpp"

#include <algorithm>

namespace citronwick {

void key_freshness::confirm(boot_time requested_at) {
    confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, requested_at) : requested_at;
}

bool key_freshness::confirm_by_peer(boot_time requested_at, duration age, store_position position,
                                    store_position own_position) {
    if (age < duration::zero()) {
        return false;
    }
    if (position > own_position) {
        pending_ = {position, requested_at - age};
        return false;
    }
    confirm(requested_at - age);
    return true;
}

bool key_freshness::advance(store_position own_position) {
    if (!pending_ || pending_->position > own_position) {
        return false;
    }
    confirm(pending_->confirmed_at);
    pending_.reset();
    return true;
}

std::optional<duration> key_freshness::age(boot_time now) const {
    if (!confirmed_at_) {
        return std::nullopt;
    }
    return now - *confirmed_at_;
}

bool key_freshness::is_fresh(boot_time now) const {
    const auto current = age(now);
    return current && *current < limit_;
}

} // namespace citronwick

#include "citronwick/policy/send_window.hpp"

#include "citronwick/policy/cold_places.hpp"

#include <algorithm>

namespace citronwick {

namespace {

/// Sends that are remembered; an allowance never needs more of them than its places.
constexpr std::size_t max_remembered = 10'000;

} // namespace

bool send_window::has_room(const cold_allowance& allowance, time_point now) const {
    const std::scoped_lock lock{mutex_};
    return has_room_locked(allowance, now);
}

bool send_window::has_room_locked(const cold_allowance& allowance, time_point now) const {
    if (now < opens_at_) {
        return false;
    }
    const auto recent = std::ranges::count_if(
        sent_at_, [&](time_point sent_at) { return now - sent_at < allowance.interval; });
    return reserved_ + recent < allowance.places;
}

bool send_window::reserve(const cold_allowance& allowance, time_point now) {
    const std::scoped_lock lock{mutex_};
    if (!has_room_locked(allowance, now)) {
        return false;
    }
    std::erase_if(sent_at_, [&](time_point sent_at) { return now - sent_at >= allowance.interval; });
    ++reserved_;
    return true;
}

void send_window::record_sent(time_point now) {
    const std::scoped_lock lock{mutex_};
    --reserved_;
    sent_at_.push_back(now);
    if (sent_at_.size() > max_remembered) {
        sent_at_.pop_front();
    }
}

void send_window::release() {
    const std::scoped_lock lock{mutex_};
    --reserved_;
}

void send_window::close_until(time_point opens_at) {
    const std::scoped_lock lock{mutex_};
    opens_at_ = std::max(opens_at_, opens_at);
}

} // namespace citronwick

#include "citronwick/fleet/store_outage.hpp"

#include <algorithm>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Shortest outage during which a lease may expire. Longer than the interval
/// between two confirmations from a peer that reaches the store, so that a router
/// that alone is rejected does not take that for an outage.
constexpr duration shortest_outage = 2s;

} // namespace

void store_outage::record_failure(time_point now) {
    if (!failing_since_) {
        failing_since_ = now;
    }
}

std::optional<duration> store_outage::record_service(time_point served_at) {
    if (served_at_ && served_at <= *served_at_) {
        return std::nullopt;
    }
    const auto previous = std::exchange(served_at_, served_at);
    if (!failing_since_ || served_at < *failing_since_) {
        return std::nullopt;
    }
    const time_point failing_since = *std::exchange(failing_since_, std::nullopt);
    const duration length = served_at - previous.value_or(failing_since);
    if (length < shortest_outage) {
        return std::nullopt;
    }
    extend_lapse_window(served_at + grace_);
    return length;
}

void store_outage::extend_lapse_window(time_point end) {
    lapse_window_end_ = lapse_window_end_ ? std::max(*lapse_window_end_, end) : end;
}

std::optional<time_point> store_outage::lapse_window_end(time_point now) const {
    return lapse_window_end_ && now < *lapse_window_end_ ? lapse_window_end_ : std::nullopt;
}

} // namespace citronwick

#include "citronwick/fleet/store_outage.hpp"

#include <algorithm>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Shortest outage during which a lease may expire. Longer than the interval
/// between two confirmations from a peer that reaches the store, so that a router
/// that alone is rejected does not take that for an outage.
constexpr duration shortest_outage = 1500ms;

} // namespace

void store_outage::record_failure(time_point now) {
    if (!failing_since_) {
        failing_since_ = now;
    }
}

std::optional<duration> store_outage::record_service(time_point served_at) {
    served_at_ = std::max(served_at_, served_at);
    if (!failing_since_ || served_at_ < *failing_since_) {
        return std::nullopt;
    }
    const duration length = served_at_ - *std::exchange(failing_since_, std::nullopt);
    if (length < shortest_outage) {
        return std::nullopt;
    }
    lapse_window_end_ = served_at_ + grace_;
    return length;
}

std::optional<time_point> store_outage::lapse_window_end(time_point now) const {
    return lapse_window_end_ && now < *lapse_window_end_ ? lapse_window_end_ : std::nullopt;
}

} // namespace citronwick

#include "citronwick/policy/retry_window.hpp"

#include <algorithm>

namespace citronwick {

void retry_window::expire(const retry_limits& limits, time_point now) {
    const auto has_left_window = [&](time_point at) { return now - at >= limits.window; };
    const auto erase_expired = [&](std::deque<time_point>& times) {
        times.erase(times.begin(), std::ranges::find_if_not(times, has_left_window));
    };
    erase_expired(requests_);
    erase_expired(retries_);
}

void retry_window::record_request(time_point now) {
    requests_.push_back(now);
}

bool retry_window::has_retry(const retry_limits& limits, std::size_t sharers, time_point now) {
    expire(limits, now);
    const double allowed = limits.share * static_cast<double>(requests_.size()) +
                           limits.extra / static_cast<double>(std::max<std::size_t>(sharers, 1));
    return static_cast<double>(retries_.size()) + 1.0 <= allowed;
}

bool retry_window::take_retry(const retry_limits& limits, std::size_t sharers, time_point now) {
    const bool is_allowed = has_retry(limits, sharers, now);
    if (is_allowed) {
        retries_.push_back(now);
    }
    return is_allowed;
}

} // namespace citronwick

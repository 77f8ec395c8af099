#include "citronwick/policy/recent_rate.hpp"

namespace citronwick {

namespace {

constexpr std::chrono::duration<double> window{2.0};
/// Events that are kept; a higher rate counts as this many in a window.
constexpr std::size_t max_events = 10'000;

} // namespace

void recent_rate::expire(time_point now) {
    while (!events_.empty() && (now - events_.front() >= window || events_.size() > max_events)) {
        events_.pop_front();
    }
}

void recent_rate::record(time_point now) {
    events_.push_back(now);
    expire(now);
}

double recent_rate::per_second(time_point now) {
    expire(now);
    return static_cast<double>(events_.size()) / window.count();
}

} // namespace citronwick

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
    extend_span({served_at, served_at});
    if (!failing_since_ || served_at < *failing_since_) {
        return std::nullopt;
    }
    const time_point failing_since = *std::exchange(failing_since_, std::nullopt);
    const service_span outage{previous.value_or(failing_since), served_at};
    const duration length = outage.end - outage.begin;
    if (length < shortest_outage || is_served_throughout(outage)) {
        return std::nullopt;
    }
    outage_ = outage;
    return length;
}

void store_outage::extend_lapse_window(time_point end) {
    const time_point outage_end = end - grace_;
    if (!outage_ || outage_end > outage_->end) {
        outage_ = {outage_end - shortest_outage, outage_end};
    }
}

void store_outage::record_peer_span(service_span span) {
    extend_span(span);
}

/// Joins a span to the known one, or replaces it by a later one.
void store_outage::extend_span(service_span other) {
    const bool is_adjacent =
        span_ && other.begin - span_->end < shortest_outage && span_->begin - other.end < shortest_outage;
    if (is_adjacent) {
        span_ = {std::min(span_->begin, other.begin), std::max(span_->end, other.end)};
    } else if (!span_ || other.end > span_->end) {
        span_ = other;
    }
}

/// Whether the store is known to have served the fleet during what seemed an outage.
bool store_outage::is_served_throughout(service_span outage) const {
    if (!span_) {
        return false;
    }
    const duration before = std::max(span_->begin - outage.begin, duration::zero());
    const duration after = std::max(outage.end - span_->end, duration::zero());
    return before + after < shortest_outage;
}

std::optional<time_point> store_outage::lapse_window_end(time_point now) const {
    std::optional<time_point> end;
    if (outage_ && now < outage_->end + grace_ && !is_served_throughout(*outage_)) {
        end = outage_->end + grace_;
    }
    if (restoration_window_end_ && now < *restoration_window_end_) {
        end = std::max(end.value_or(*restoration_window_end_), *restoration_window_end_);
    }
    return end;
}

} // namespace citronwick

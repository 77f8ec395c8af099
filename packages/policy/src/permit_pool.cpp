#include "citronwick/policy/permit_pool.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Rate at which requests are sent to an upstream whose limit is lower or 0. Their
/// responses tell when the limit has ended.
constexpr double min_rate = 0.1;
/// A bucket holds the permits of this time, and one more.
constexpr double capacity_seconds = 1.0;
/// Permits that a bucket may hold beyond its capacity because they were given to it.
constexpr double max_given = 3.0;
/// Permits that a full bucket gives away are those of this time, at least one.
constexpr double given_seconds = 0.1;
/// Requests for each permit up to which rejected routers are told to return with the
/// next permit. More than one, since not every router has a request by then.
constexpr double requests_per_permit = 1.5;
/// Rejections a second of one upstream up to which routers are told so in any case.
constexpr double accepted_rejections_per_second = 2.0;
/// Time constant for averaging the rate of rejections.
constexpr std::chrono::duration<double> averaging_time{1.0};
constexpr duration max_wait = 5s;

/// Weight of one request in the mean saving.
constexpr double mean_weight = 0.1;

double capacity(double rate) {
    return 1.0 + capacity_seconds * rate;
}

duration time_until(double target, double permits, double rate) {
    const std::chrono::duration<double> time{std::max(target - permits, 0.0) / std::max(rate, min_rate)};
    return std::chrono::ceil<duration>(std::min<std::chrono::duration<double>>(time, max_wait));
}

} // namespace

double permit_pool::price_ms(const bucket& filled) {
    const double missing = capacity(filled.rate) - filled.permits;
    const double range = capacity(filled.rate) - 1.0;
    if (range <= 0.0 || filled.mean_saving <= 0.0) {
        return 0.0;
    }
    return filled.mean_squared_saving / filled.mean_saving * std::sqrt(std::clamp(missing / range, 0.0, 1.0));
}

permit_pool::bucket& permit_pool::refill(std::uint32_t upstream, double limit, double share, time_point now) {
    const auto [found, is_new] = buckets_.try_emplace(upstream, bucket{.refilled_at = now});
    bucket& filled = found->second;
    if (is_new && share > 0.0 && limit >= min_rate) {
        filled.permits = 1.0;
    }
    const std::chrono::duration<double> elapsed = now - filled.refilled_at;
    filled.refilled_at = now;
    const double rate = std::max(limit, min_rate) * std::clamp(share, 0.0, 1.0);
    if (rate < filled.rate) {
        filled.permits = std::min(filled.permits, capacity(rate));
    }
    filled.rate = rate;
    const double added = filled.rate * std::max(elapsed.count(), 0.0);
    const double room = std::max(capacity(filled.rate) - filled.permits, 0.0);
    filled.permits += std::min(added, room);
    return filled;
}

permit_decision permit_pool::take(std::uint32_t upstream, double limit, double share, double saving_ms,
                                  time_point now) {
    bucket& filled = refill(upstream, limit, share, now);
    const double price = price_ms(filled);
    if (std::isfinite(saving_ms)) {
        filled.mean_saving += mean_weight * (saving_ms - filled.mean_saving);
        filled.mean_squared_saving += mean_weight * (saving_ms * saving_ms - filled.mean_squared_saving);
    }
    const bool is_granted = filled.permits >= 1.0 && saving_ms >= price;
    filled.permits -= is_granted ? 1.0 : 0.0;
    permit_decision decision{.granted = is_granted,
                             .price_ms = price_ms(filled),
                             .full_in = time_until(capacity(filled.rate), filled.permits, filled.rate)};
    if (is_granted || filled.permits >= 1.0) {
        return decision;
    }
    ++rejections_[upstream];
    const std::chrono::duration<double> elapsed = now - std::exchange(filled.rejected_at, now);
    filled.rejection_rate = filled.rejection_rate * std::exp(-elapsed / averaging_time) + 1.0;
    if (filled.rate <= 0.0) {
        decision.wait = max_wait;
        return decision;
    }
    const double accepted_rate = std::max(requests_per_permit * filled.rate, accepted_rejections_per_second);
    const double contention = std::max(1.0, filled.rejection_rate / accepted_rate);
    const std::chrono::duration<double> wait{contention * (1.0 - filled.permits) / filled.rate};
    decision.wait = std::chrono::ceil<duration>(std::min<std::chrono::duration<double>>(wait, max_wait));
    return decision;
}

std::uint32_t permit_pool::take_surplus(std::uint32_t upstream, double limit, double share, time_point now) {
    bucket& filled = refill(upstream, limit, share, now);
    if (filled.permits < capacity(filled.rate)) {
        return 0;
    }
    const double given = std::max(1.0, std::floor(given_seconds * filled.rate));
    filled.permits -= given;
    return static_cast<std::uint32_t>(given);
}

void permit_pool::add(std::uint32_t upstream, std::uint32_t permits, time_point now) {
    const auto [found, is_new] = buckets_.try_emplace(upstream, bucket{.refilled_at = now});
    bucket& filled = found->second;
    filled.permits = std::min(filled.permits + permits, capacity(filled.rate) + max_given);
}

std::map<std::uint32_t, std::uint32_t> permit_pool::take_rejections() {
    return std::exchange(rejections_, {});
}

void permit_pool::retain(const std::set<std::uint32_t>& limited) {
    std::erase_if(buckets_, [&](const auto& entry) { return !limited.contains(entry.first); });
}

} // namespace citronwick

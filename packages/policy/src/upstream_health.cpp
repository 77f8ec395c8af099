#include "citronwick/policy/upstream_health.hpp"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr duration initial_backoff = 500ms;
constexpr int max_doublings = 3;
/// Time after which a recorded outcome has half of its weight.
constexpr std::chrono::duration<double> half_life{2.0};
/// Minimum weight of recorded outcomes before an upstream is rated.
constexpr double min_outcomes = 3.0;
/// Failure rate above the baseline of the service at which an upstream is an outlier.
constexpr double outlier_excess = 0.2;
/// At most one in this many upstreams of a service is an outlier.
constexpr std::size_t upstreams_per_outlier = 3;

} // namespace

void upstream_health::decay(record& entry, time_point now) {
    const std::chrono::duration<double> passed = now - entry.decayed_at;
    const double factor = std::exp2(-passed / half_life);
    entry.successes *= factor;
    entry.failures *= factor;
    entry.decayed_at = now;
}

void upstream_health::record_unreachable(std::uint64_t upstream, time_point now) {
    record& entry = records_[upstream];
    const int doublings = std::min(entry.consecutive_failures, max_doublings);
    entry.backoff_until = now + initial_backoff * (1 << doublings);
    ++entry.consecutive_failures;
}

void upstream_health::record_outcome(std::uint64_t upstream, bool succeeded, time_point now) {
    record& entry = records_[upstream];
    decay(entry, now);
    (succeeded ? entry.successes : entry.failures) += 1.0;
    if (succeeded) {
        entry.consecutive_failures = 0;
        entry.backoff_until = {};
    }
    outcome_counts& unreported = unreported_[upstream];
    unreported.upstream = upstream;
    ++(succeeded ? unreported.successes : unreported.failures);
}

void upstream_health::merge_counts(const outcome_counts& reported, time_point now) {
    record& entry = records_[reported.upstream];
    decay(entry, now);
    entry.successes += reported.successes;
    entry.failures += reported.failures;
}

bool upstream_health::is_unreachable(std::uint64_t upstream, time_point now) const {
    const auto found = records_.find(upstream);
    return found != records_.end() && now < found->second.backoff_until;
}

std::set<std::uint64_t> upstream_health::outliers(const std::vector<std::uint64_t>& service,
                                                  time_point now) const {
    struct failure_rate {
        std::uint64_t upstream = 0;
        double rate = 0.0;
    };
    std::vector<failure_rate> rates;
    for (const std::uint64_t upstream : service) {
        const auto found = records_.find(upstream);
        record entry = found == records_.end() ? record{} : found->second;
        decay(entry, now);
        if (entry.successes + entry.failures >= min_outcomes) {
            rates.push_back({upstream, entry.failures / (entry.successes + entry.failures)});
        }
    }
    std::ranges::sort(rates, {}, &failure_rate::rate);
    std::set<std::uint64_t> found;
    if (rates.size() < 2) {
        return found;
    }
    // The baseline is the rate at the end of the best third, so that several
    // outliers do not raise it and hide each other.
    const double baseline = rates[(rates.size() - 1) / 3].rate;
    const auto max_outliers = std::min(service.size() / upstreams_per_outlier, rates.size());
    for (const failure_rate& each : rates | std::views::reverse | std::views::take(max_outliers)) {
        if (each.rate > baseline + outlier_excess) {
            found.insert(each.upstream);
        }
    }
    return found;
}

std::vector<outcome_counts> upstream_health::take_unreported_counts() {
    std::vector<outcome_counts> counts;
    std::ranges::copy(unreported_ | std::views::values, std::back_inserter(counts));
    unreported_.clear();
    return counts;
}

void upstream_health::retain(const std::set<std::uint64_t>& upstreams) {
    std::erase_if(records_, [&](const auto& entry) { return !upstreams.contains(entry.first); });
}

} // namespace citronwick

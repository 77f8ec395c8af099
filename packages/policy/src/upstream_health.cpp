#include "citronwick/policy/upstream_health.hpp"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr duration first_avoidance = 500ms;
constexpr int most_doublings = 3;
/// Time over which old answers lose half of their weight.
constexpr std::chrono::duration<double> half_life{2.0};
/// Answers that a verdict needs at least.
constexpr double least_evidence = 3.0;
/// Share of failures above the service's own from which an upstream is an outlier.
constexpr double outlier_excess = 0.2;
constexpr std::size_t outlier_share = 3; ///< at most one in this many is avoided

} // namespace

void upstream_health::decay(record& of, time_point now) {
    const std::chrono::duration<double> passed = now - of.decayed_at;
    const double factor = std::exp2(-passed / half_life);
    of.good *= factor;
    of.bad *= factor;
    of.decayed_at = now;
}

void upstream_health::record_unreachable(std::uint64_t upstream, time_point now) {
    record& of = records_[upstream];
    const int doublings = std::min(of.failures_in_row, most_doublings);
    of.avoid_until = now + first_avoidance * (1 << doublings);
    ++of.failures_in_row;
}

void upstream_health::record_answer(std::uint64_t upstream, bool good, time_point now) {
    record& of = records_[upstream];
    decay(of, now);
    (good ? of.good : of.bad) += 1.0;
    if (good) {
        of.failures_in_row = 0;
        of.avoid_until = {};
    }
    health_evidence& news = unreported_[upstream];
    news.upstream = upstream;
    ++(good ? news.good : news.bad);
}

void upstream_health::record_evidence(const health_evidence& seen, time_point now) {
    record& of = records_[seen.upstream];
    decay(of, now);
    of.good += seen.good;
    of.bad += seen.bad;
}

bool upstream_health::is_unreachable(std::uint64_t upstream, time_point now) const {
    const auto found = records_.find(upstream);
    return found != records_.end() && now < found->second.avoid_until;
}

std::set<std::uint64_t> upstream_health::outliers(const std::vector<std::uint64_t>& service,
                                                  time_point now) const {
    struct share {
        std::uint64_t upstream = 0;
        double failures = 0.0;
    };
    std::vector<share> shares;
    for (const std::uint64_t upstream : service) {
        const auto found = records_.find(upstream);
        record of = found == records_.end() ? record{} : found->second;
        decay(of, now);
        if (of.good + of.bad >= least_evidence) {
            shares.push_back({upstream, of.bad / (of.good + of.bad)});
        }
    }
    std::ranges::sort(shares, {}, &share::failures);
    std::set<std::uint64_t> found;
    if (shares.size() < 2) {
        return found;
    }
    // The better third tells what is usual, so that several outliers do not
    // hide each other.
    const double usual = shares[(shares.size() - 1) / 3].failures;
    const auto most = std::min(service.size() / outlier_share, shares.size());
    for (const share& each : shares | std::views::reverse | std::views::take(most)) {
        if (each.failures > usual + outlier_excess) {
            found.insert(each.upstream);
        }
    }
    return found;
}

std::vector<health_evidence> upstream_health::take_evidence() {
    std::vector<health_evidence> news;
    std::ranges::copy(unreported_ | std::views::values, std::back_inserter(news));
    unreported_.clear();
    return news;
}

void upstream_health::retain(const std::set<std::uint64_t>& upstreams) {
    std::erase_if(records_, [&](const auto& entry) { return !upstreams.contains(entry.first); });
}

} // namespace citronwick

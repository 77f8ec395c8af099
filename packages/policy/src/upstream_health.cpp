#include "citronwick/policy/upstream_health.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
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
    std::vector<share> suspects;
    double good = 0.0;
    double bad = 0.0;
    std::vector<record> current;
    for (const std::uint64_t upstream : service) {
        const auto found = records_.find(upstream);
        record of = found == records_.end() ? record{} : found->second;
        decay(of, now);
        good += of.good;
        bad += of.bad;
        current.push_back(of);
    }
    for (std::size_t index = 0; index < service.size(); ++index) {
        const record& of = current[index];
        const double answers = of.good + of.bad;
        const double others = good + bad - answers;
        const double usual = others > 0.0 ? (bad - of.bad) / others : 0.0;
        if (answers >= least_evidence && of.bad / answers > usual + outlier_excess) {
            suspects.push_back({service[index], of.bad / answers});
        }
    }
    std::ranges::sort(suspects, std::ranges::greater{}, &share::failures);
    suspects.resize(std::min(suspects.size(), service.size() / outlier_share));
    std::set<std::uint64_t> found;
    std::ranges::transform(suspects, std::inserter(found, found.end()), &share::upstream);
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

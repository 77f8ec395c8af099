#include "citronwick/policy/fair_admission.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <numeric>
#include <ranges>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr duration window = 4s;
/// Growth of the rejected part with each rejection within a share, and its decline
/// with each served request. Their ratio is the part of the requests within their
/// share that is still rejected.
constexpr double growth = 0.1;
constexpr double decline = 0.01;
constexpr double max_rejected_part = 0.95;
/// Time after which the rejected part is down to 37 in 100 without any request.
constexpr std::chrono::duration<double> decline_time{4.0};

} // namespace

void fair_admission::expire(time_point now) {
    const std::chrono::duration<double> elapsed = now - std::exchange(updated_at_, now);
    rejected_part_ *= std::exp(-elapsed / decline_time);
    while (!entries_.empty() && now - entries_.front().at >= window) {
        const entry& oldest = entries_.front();
        counts& group = groups_[oldest.group];
        group.offered -= 1.0;
        group.served -= oldest.was_served ? 1.0 : 0.0;
        entries_.pop_front();
    }
    std::erase_if(groups_, [](const auto& each) { return each.second.offered <= 0.0; });
}

/// Requests for each unit of weight at which the groups' shares add up to what was
/// served; no group gets more than it asks for.
double fair_admission::fair_level() const {
    std::vector<counts> groups;
    std::ranges::copy(groups_ | std::views::values, std::back_inserter(groups));
    std::ranges::sort(groups, {}, [](const counts& group) { return group.offered / group.weight; });
    double left = std::accumulate(groups.begin(), groups.end(), 0.0,
                                  [](double sum, const counts& group) { return sum + group.served; });
    double weights = std::accumulate(groups.begin(), groups.end(), 0.0,
                                     [](double sum, const counts& group) { return sum + group.weight; });
    for (const counts& group : groups) {
        const double level = left / weights;
        if (group.offered / group.weight >= level) {
            return level;
        }
        left -= group.offered;
        weights -= group.weight;
    }
    return std::numeric_limits<double>::infinity();
}

bool fair_admission::exceeds_share(std::uint64_t group, double weight) const {
    const auto found = groups_.find(group);
    return found != groups_.end() && found->second.served > weight * fair_level();
}

bool fair_admission::may_admit(std::uint64_t group, double weight, std::uint64_t request_hash,
                               time_point now) {
    expire(now);
    constexpr double steps = 1'024.0;
    const double position = static_cast<double>(request_hash % static_cast<std::uint64_t>(steps)) / steps;
    return position >= rejected_part_ || !exceeds_share(group, weight);
}

void fair_admission::record(std::uint64_t group, double weight, bool was_served, time_point now) {
    expire(now);
    if (!exceeds_share(group, weight)) {
        const double change = was_served ? -decline : growth;
        rejected_part_ = std::clamp(rejected_part_ + change, 0.0, max_rejected_part);
    }
    entries_.push_back({now, group, was_served});
    counts& counted = groups_[group];
    counted.weight = weight;
    counted.offered += 1.0;
    counted.served += was_served ? 1.0 : 0.0;
}

} // namespace citronwick

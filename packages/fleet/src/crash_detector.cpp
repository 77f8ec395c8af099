#include "citronwick/fleet/crash_detector.hpp"

#include <algorithm>
#include <iterator>

namespace citronwick {

void crash_detector::record_broken_connection(const std::vector<crash_suspect>& suspects,
                                              std::uint64_t upstream, time_point now) {
    std::erase_if(broken_connections_,
                  [&](const broken_connection& each) { return now - each.at >= window_; });
    std::ranges::transform(
        suspects, std::back_inserter(broken_connections_),
        [&](const crash_suspect& suspect) { return broken_connection{suspect, upstream, now}; });
}

std::vector<crash_suspect> crash_detector::upstream_ended(std::uint64_t upstream, time_point now) {
    std::vector<crash_suspect> suspects;
    std::erase_if(broken_connections_, [&](const broken_connection& each) {
        const bool was_there = each.upstream == upstream;
        if (was_there && now - each.at < window_) {
            suspects.push_back(each.suspect);
        }
        return was_there;
    });
    return suspects;
}

} // namespace citronwick

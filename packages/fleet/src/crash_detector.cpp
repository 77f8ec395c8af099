#include "citronwick/fleet/crash_detector.hpp"

#include <algorithm>
#include <iterator>

namespace citronwick {

void crash_detector::record_broken_connection(std::uint64_t request, std::uint64_t upstream, time_point now) {
    std::erase_if(broken_connections_,
                  [&](const broken_connection& each) { return now - each.at >= window_; });
    broken_connections_.push_back({request, upstream, now});
}

std::vector<std::uint64_t> crash_detector::upstream_ended(std::uint64_t upstream, time_point now) {
    std::vector<std::uint64_t> suspects;
    std::erase_if(broken_connections_, [&](const broken_connection& each) {
        const bool was_there = each.upstream == upstream;
        if (was_there && now - each.at < window_) {
            suspects.push_back(each.request);
        }
        return was_there;
    });
    return suspects;
}

} // namespace citronwick

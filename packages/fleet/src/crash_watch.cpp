#include "citronwick/fleet/crash_watch.hpp"

#include <algorithm>
#include <iterator>

namespace citronwick {

void crash_watch::record_break(std::uint64_t request, std::uint64_t upstream, time_point now) {
    std::erase_if(breaks_, [&](const broken_request& each) { return now - each.at >= patience_; });
    breaks_.push_back({request, upstream, now});
}

std::vector<std::uint64_t> crash_watch::upstream_ended(std::uint64_t upstream, time_point now) {
    std::vector<std::uint64_t> suspects;
    std::erase_if(breaks_, [&](const broken_request& each) {
        const bool was_there = each.upstream == upstream;
        if (was_there && now - each.at < patience_) {
            suspects.push_back(each.request);
        }
        return was_there;
    });
    return suspects;
}

} // namespace citronwick

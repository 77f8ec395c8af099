#include "citronwick/policy/prefix_directory.hpp"

#include <algorithm>
#include <ranges>

namespace citronwick {

bool prefix_directory::record(std::uint64_t prefix, std::uint64_t upstream, time_point now) {
    auto& known = holders_[prefix];
    const auto found = std::ranges::find(known, upstream, &holder::upstream);
    if (found == known.end()) {
        known.push_back({upstream, now, now});
        return true;
    }
    const bool had_expired = now - found->used_at >= retention_;
    if (had_expired) {
        found->held_since = now;
    }
    found->used_at = now;
    return had_expired;
}

bool prefix_directory::holds(std::uint64_t prefix, std::uint64_t upstream, time_point now,
                             duration min_age) const {
    const auto known = holders_.find(prefix);
    return known != holders_.end() && std::ranges::any_of(known->second, [&](const holder& each) {
               return each.upstream == upstream && now - each.used_at < retention_ &&
                      now - each.held_since >= min_age;
           });
}

std::uint32_t prefix_directory::cached_tokens(const std::vector<shared_prefix>& prefixes,
                                              std::uint64_t upstream, time_point now,
                                              duration min_age) const {
    const auto longest_first = prefixes | std::views::reverse;
    const auto longest = std::ranges::find_if(
        longest_first, [&](const shared_prefix& each) { return holds(each.key, upstream, now, min_age); });
    return longest == longest_first.end() ? 0 : longest->tokens;
}

std::size_t prefix_directory::holder_count(std::uint64_t prefix, time_point now) const {
    const auto known = holders_.find(prefix);
    if (known == holders_.end()) {
        return 0;
    }
    return static_cast<std::size_t>(std::ranges::count_if(
        known->second, [&](const holder& each) { return now - each.used_at < retention_; }));
}

void prefix_directory::expire(time_point now) {
    for (auto& known : holders_ | std::views::values) {
        std::erase_if(known, [&](const holder& each) { return now - each.used_at >= retention_; });
    }
    std::erase_if(holders_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace citronwick

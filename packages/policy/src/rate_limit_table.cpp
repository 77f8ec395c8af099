#include "citronwick/policy/rate_limit_table.hpp"

#include <algorithm>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time for which an ended limit is kept, so that older reports do not restore it.
constexpr duration ended_lifetime = 10s;

} // namespace

bool rate_limit_table::record_limit(std::uint32_t upstream, double per_second, time_point now) {
    return merge(upstream, {per_second, now, std::nullopt});
}

bool rate_limit_table::record_no_limit(std::uint32_t upstream, time_point sent_at) {
    const auto found = entries_.find(upstream);
    return found != entries_.end() &&
           merge(upstream, {found->second.per_second, found->second.named_at, sent_at});
}

bool rate_limit_table::merge(std::uint32_t upstream, const rate_limit& other) {
    const auto before = limit_of(upstream);
    const auto [found, is_new] = entries_.try_emplace(upstream, other);
    rate_limit& known = found->second;
    if (!is_new && other.named_at >= known.named_at) {
        known.per_second = other.per_second;
        known.named_at = other.named_at;
    }
    if (other.unlimited_at) {
        known.unlimited_at =
            known.unlimited_at ? std::max(*known.unlimited_at, *other.unlimited_at) : *other.unlimited_at;
    }
    return limit_of(upstream) != before;
}

std::optional<double> rate_limit_table::limit_of(std::uint32_t upstream) const {
    const auto found = entries_.find(upstream);
    if (found == entries_.end() || !found->second.holds()) {
        return std::nullopt;
    }
    return found->second.per_second;
}

void rate_limit_table::expire(const std::set<std::uint32_t>& upstreams, time_point now) {
    std::erase_if(entries_, [&](const auto& entry) {
        const rate_limit& limit = entry.second;
        const bool has_ended = !limit.holds() && now - *limit.unlimited_at >= ended_lifetime;
        return has_ended || !upstreams.contains(entry.first);
    });
}

void rate_limit_table::remove_named_before(time_point oldest) {
    std::erase_if(entries_, [oldest](const auto& entry) { return entry.second.named_at < oldest; });
}

} // namespace citronwick

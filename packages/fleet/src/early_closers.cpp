#include "citronwick/fleet/early_closers.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/io/log.hpp"

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time for which an upstream's closes prove nothing after an early one.
constexpr duration lifetime = 10min;
/// Beyond that, other upstreams are not remembered until some have expired.
constexpr std::size_t max_entries = 1'024;

std::string milliseconds_text(duration value) {
    return std::to_string(value / 1ms);
}

} // namespace

void early_closers::record(std::uint64_t upstream, const std::string& id, time_point now) {
    const std::scoped_lock lock{mutex_};
    const auto found = entries_.find(upstream);
    if (found != entries_.end()) {
        found->second.closed_at = now;
        return;
    }
    const bool has_room = entries_.size() < max_entries;
    if (has_room) {
        entries_.emplace(upstream, entry{id, now});
    }
    log_warn("upstream_doubted", {{"upstream", id},
                                  {"upstream_hash", std::to_string(short_hash(upstream))},
                                  {"lifetime_ms", milliseconds_text(lifetime)},
                                  {"remembered", has_room ? "yes" : "no"}});
}

std::optional<duration> early_closers::age(std::uint64_t upstream, time_point now) const {
    const std::scoped_lock lock{mutex_};
    const auto found = entries_.find(upstream);
    const bool is_known = found != entries_.end() && now - found->second.closed_at < lifetime;
    return is_known ? std::optional{now - found->second.closed_at} : std::nullopt;
}

void early_closers::expire(time_point now) {
    const std::scoped_lock lock{mutex_};
    std::erase_if(entries_, [now](const auto& each) {
        const auto& [upstream, known] = each;
        const auto age = now - known.closed_at;
        const bool is_over = age >= lifetime;
        if (is_over) {
            log_info("upstream_doubt_ended", {{"upstream", known.id},
                                              {"upstream_hash", std::to_string(short_hash(upstream))},
                                              {"age_ms", milliseconds_text(age)}});
        }
        return is_over;
    });
}

} // namespace citronwick

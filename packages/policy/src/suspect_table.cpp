#include "citronwick/policy/suspect_table.hpp"

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time after the last new crash or successful run at which an entry expires.
constexpr duration retention = 10min;

} // namespace

std::uint8_t suspect_table::record_crash(fingerprint request, crash_id crash, time_point now) {
    merge(request, crash, now);
    return crashes(request, now);
}

bool suspect_table::merge(fingerprint request, crash_id crash, time_point now) {
    entry& known = entries_[request];
    if (now - known.updated_at >= retention) {
        known = {};
    }
    const bool is_new = known.crashes.insert(crash).second;
    if (is_new) {
        known.updated_at = now;
    }
    return is_new;
}

bool suspect_table::record_served(fingerprint request, time_point now) {
    const auto found = entries_.find(request);
    if (found == entries_.end() || found->second.was_served) {
        return false;
    }
    found->second.was_served = true;
    found->second.updated_at = now;
    return true;
}

std::uint8_t suspect_table::crashes(fingerprint request, time_point now) const {
    const auto found = entries_.find(request);
    const bool is_suspect =
        found != entries_.end() && !found->second.was_served && now - found->second.updated_at < retention;
    return is_suspect ? static_cast<std::uint8_t>(found->second.crashes.size()) : std::uint8_t{0};
}

void suspect_table::expire(time_point now) {
    std::erase_if(entries_, [now](const auto& each) { return now - each.second.updated_at >= retention; });
}

} // namespace citronwick

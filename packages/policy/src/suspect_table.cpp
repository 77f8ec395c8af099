#include "citronwick/policy/suspect_table.hpp"

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time for which a crash is held against a request.
constexpr duration memory = 10min;

} // namespace

std::uint8_t suspect_table::record_crash(fingerprint request, crash_id crash, time_point now) {
    merge(request, crash, now);
    return crashes(request, now);
}

bool suspect_table::merge(fingerprint request, crash_id crash, time_point now) {
    entry& known = entries_[request];
    if (now - known.last >= memory) {
        known = {};
    }
    const bool is_news = known.crashes.insert(crash).second;
    if (is_news) {
        known.last = now;
    }
    return is_news;
}

bool suspect_table::absolve(fingerprint request, time_point now) {
    const auto found = entries_.find(request);
    if (found == entries_.end() || found->second.is_absolved) {
        return false;
    }
    found->second.is_absolved = true;
    found->second.last = now;
    return true;
}

std::uint8_t suspect_table::crashes(fingerprint request, time_point now) const {
    const auto found = entries_.find(request);
    const bool is_suspect =
        found != entries_.end() && !found->second.is_absolved && now - found->second.last < memory;
    return is_suspect ? static_cast<std::uint8_t>(found->second.crashes.size()) : std::uint8_t{0};
}

void suspect_table::expire(time_point now) {
    std::erase_if(entries_, [now](const auto& each) { return now - each.second.last >= memory; });
}

} // namespace citronwick

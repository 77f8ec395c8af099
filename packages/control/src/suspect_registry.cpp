#include "citronwick/control/suspect_registry.hpp"

#include <utility>

namespace citronwick {

std::uint8_t suspect_registry::record_crash(std::uint64_t request, time_point now) {
    const std::scoped_lock lock{mutex_};
    const auto crashes = table_.record_crash(request, now);
    news_.push_back({request, crashes});
    return crashes;
}

std::uint8_t suspect_registry::crashes(std::uint64_t request, time_point now) const {
    const std::scoped_lock lock{mutex_};
    return table_.crashes(request, now);
}

void suspect_registry::merge(const std::vector<wire::suspect_entry>& entries, time_point now) {
    const std::scoped_lock lock{mutex_};
    for (const wire::suspect_entry& entry : entries) {
        if (table_.merge(entry.fingerprint, entry.crashes, now)) {
            news_.push_back(entry);
        }
    }
}

std::vector<wire::suspect_entry> suspect_registry::take_news() {
    const std::scoped_lock lock{mutex_};
    return std::exchange(news_, {});
}

void suspect_registry::expire(time_point now) {
    const std::scoped_lock lock{mutex_};
    table_.expire(now);
}

} // namespace citronwick

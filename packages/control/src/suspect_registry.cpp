#include "citronwick/control/suspect_registry.hpp"

#include <utility>

namespace citronwick {

namespace {

/// Value of `suspect_entry::crash` in the record of a served request.
constexpr std::uint32_t no_crash = 0;

} // namespace

std::uint8_t suspect_registry::record_crash(std::uint64_t request, std::uint32_t crash, time_point now) {
    const std::scoped_lock lock{mutex_};
    updates_.push_back({request, crash});
    return table_.record_crash(request, crash, now);
}

void suspect_registry::record_served(std::uint64_t request, time_point now) {
    const std::scoped_lock lock{mutex_};
    if (table_.record_served(request, now)) {
        updates_.push_back({request, no_crash});
    }
}

std::uint8_t suspect_registry::crashes(std::uint64_t request, time_point now) const {
    const std::scoped_lock lock{mutex_};
    return table_.crashes(request, now);
}

void suspect_registry::merge(const std::vector<wire::suspect_entry>& entries, time_point now) {
    const std::scoped_lock lock{mutex_};
    for (const wire::suspect_entry& entry : entries) {
        const bool is_new = entry.crash == no_crash ? table_.record_served(entry.fingerprint, now)
                                                    : table_.merge(entry.fingerprint, entry.crash, now);
        if (is_new) {
            updates_.push_back(entry);
        }
    }
}

std::vector<wire::suspect_entry> suspect_registry::take_updates() {
    const std::scoped_lock lock{mutex_};
    return std::exchange(updates_, {});
}

void suspect_registry::expire(time_point now) {
    const std::scoped_lock lock{mutex_};
    table_.expire(now);
}

} // namespace citronwick

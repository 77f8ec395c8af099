#include "citronwick/control/suspect_registry.hpp"

#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Value of `suspect_entry::crash` in the record of a served request.
constexpr std::uint32_t no_crash = 0;
/// Time for which a served part is not accused. Keeps the most frequent parts, which
/// are sound, out of the messages about each crash.
constexpr duration served_lifetime = 2s;
constexpr std::size_t max_served_parts = 16'384;
/// Interval at which the records of a refused suspect are sent again.
constexpr duration repeat_interval = 1s;

} // namespace

suspect_registry::suspect_registry() : served_parts_{served_lifetime, max_served_parts} {}

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

void suspect_registry::record_served_part(std::uint64_t part, time_point sent_at, time_point now) {
    const std::scoped_lock lock{mutex_};
    served_parts_.record(part, now);
    if (table_.was_suspected_at(part, sent_at) && table_.record_served(part, now)) {
        updates_.push_back({part, no_crash});
    }
}

bool suspect_registry::was_served_recently(std::uint64_t part, time_point now) const {
    const std::scoped_lock lock{mutex_};
    return served_parts_.contains(part, now);
}

std::optional<std::uint64_t> suspect_registry::refused_part(std::span<const std::uint64_t> parts,
                                                            std::uint8_t limit, time_point now) const {
    const std::scoped_lock lock{mutex_};
    return table_.refused_part(parts, limit, now);
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

std::vector<wire::suspect_entry> suspect_registry::take_updates(time_point now) {
    const std::scoped_lock lock{mutex_};
    auto updates = std::exchange(updates_, {});
    if (now - repeated_at_ >= repeat_interval) {
        repeated_at_ = now;
        for (const auto& record : table_.next_refused(last_repeated_, suspect_table::crash_limit, now)) {
            last_repeated_ = record.suspect;
            updates.push_back({record.suspect, record.crash});
        }
    }
    return updates;
}

void suspect_registry::expire(time_point now) {
    const std::scoped_lock lock{mutex_};
    table_.expire(now);
    served_parts_.expire(now);
}

} // namespace citronwick

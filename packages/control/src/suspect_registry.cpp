#include "citronwick/control/suspect_registry.hpp"

#include "citronwick/io/log.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Value of `suspect_entry::crash` in the record of a served request.
constexpr std::uint32_t no_crash = 0;
/// Time for which it is remembered that a part was served.
constexpr duration served_lifetime = 10s;
/// Time for which a part that was served is not suspected. Keeps the most frequent
/// parts out of the messages about each crash.
constexpr duration immunity = 2s;
constexpr std::size_t max_served_parts = 16'384;
/// Interval at which the records of a refused suspect are sent again.
constexpr duration repeat_interval = 1s;

std::uint16_t to_age(duration value) {
    return static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(value / wire::crash_age_unit, 0, std::numeric_limits<std::uint16_t>::max()));
}

} // namespace

suspect_registry::suspect_registry() : served_parts_{served_lifetime, max_served_parts} {}

std::uint8_t suspect_registry::record_crash(std::uint64_t request, std::uint32_t crash, time_point now) {
    const std::scoped_lock lock{mutex_};
    updates_.push_back({request, crash, now});
    return table_.record_crash(request, crash, now);
}

void suspect_registry::record_served(std::uint64_t request, time_point now) {
    const std::scoped_lock lock{mutex_};
    record_served_locked(request, now);
}

void suspect_registry::record_served_locked(std::uint64_t suspect, time_point now) {
    if (table_.record_served(suspect, now)) {
        updates_.push_back({suspect, no_crash, now});
        log_info("suspect_cleared",
                 {{"fingerprint", std::to_string(suspect)},
                  {"crashes", std::to_string(table_.suspicion_of(suspect, now).crashes)}});
    }
}

void suspect_registry::record_served_part(std::uint64_t part, time_point sent_at, time_point now) {
    const std::scoped_lock lock{mutex_};
    served_parts_.record(part, sent_at);
    if (table_.was_suspected_at(part, sent_at)) {
        record_served_locked(part, now);
    }
}

bool suspect_registry::was_served_recently(std::uint64_t part, time_point now) const {
    const std::scoped_lock lock{mutex_};
    const auto sent_at = served_parts_.recorded_at(part, now);
    return sent_at && now - *sent_at < immunity;
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

suspect_table::suspicion suspect_registry::suspicion_of(std::uint64_t suspect, time_point now) const {
    const std::scoped_lock lock{mutex_};
    return table_.suspicion_of(suspect, now);
}

void suspect_registry::merge(const std::vector<wire::suspect_entry>& entries, time_point now) {
    const std::scoped_lock lock{mutex_};
    for (const wire::suspect_entry& entry : entries) {
        if (entry.crash == no_crash) {
            record_served_locked(entry.fingerprint, now);
            continue;
        }
        const time_point crashed_at = now - entry.age * wire::crash_age_unit;
        if (table_.merge(entry.fingerprint, entry.crash, crashed_at, now)) {
            updates_.push_back({entry.fingerprint, entry.crash, crashed_at});
            log_repeated_crash(entry.fingerprint, crashed_at, now);
        }
        const auto served_at = served_parts_.recorded_at(entry.fingerprint, now);
        if (served_at && *served_at > crashed_at) {
            record_served_locked(entry.fingerprint, now);
        }
    }
}

/// Logs a crash learnt from another router, unless it is the first one of the suspect.
void suspect_registry::log_repeated_crash(std::uint64_t suspect, time_point crashed_at,
                                          time_point now) const {
    const auto known = table_.suspicion_of(suspect, now);
    if (known.crashes > 1) {
        log_info("suspect_learnt", {{"fingerprint", std::to_string(suspect)},
                                    {"crashes", std::to_string(known.crashes)},
                                    {"separate", std::to_string(known.separate_crashes)},
                                    {"served", known.was_served ? "yes" : "no"},
                                    {"age_ms", std::to_string((now - crashed_at) / 1ms)}});
    }
}

std::vector<wire::suspect_entry> suspect_registry::take_updates(time_point now) {
    const std::scoped_lock lock{mutex_};
    auto updates = std::exchange(updates_, {});
    if (now - repeated_at_ >= repeat_interval) {
        repeated_at_ = now;
        for (const auto& record : table_.next_refused(last_repeated_, suspect_table::crash_limit, now)) {
            last_repeated_ = record.suspect;
            updates.push_back({record.suspect, record.crash, record.crashed_at});
        }
    }
    std::vector<wire::suspect_entry> entries;
    std::ranges::transform(updates, std::back_inserter(entries), [now](const update& each) {
        return wire::suspect_entry{each.suspect, each.crash, to_age(now - each.crashed_at)};
    });
    return entries;
}

void suspect_registry::expire(time_point now) {
    const std::scoped_lock lock{mutex_};
    table_.expire(now);
    served_parts_.expire(now);
}

} // namespace citronwick

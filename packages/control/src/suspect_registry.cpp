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

wire::suspect_entry to_wire(const suspect_table::record& record, time_point now) {
    return {record.suspect, record.crash, to_age(now - record.at)};
}

} // namespace

suspect_registry::suspect_registry() : served_parts_{served_lifetime, max_served_parts} {}

std::uint8_t suspect_registry::record_crash(std::uint64_t request, std::uint32_t crash, time_point now) {
    const std::scoped_lock lock{mutex_};
    if (table_.merge(request, crash, now, now)) {
        updates_.push_back({{request, crash, now}, true});
        digest_.reset();
    }
    return table_.crashes(request, now);
}

void suspect_registry::record_served(std::uint64_t request, time_point now) {
    const std::scoped_lock lock{mutex_};
    record_served_locked(request, now, true, now);
}

void suspect_registry::record_served_locked(std::uint64_t suspect, time_point served_at, bool is_own,
                                            time_point now) {
    if (table_.record_served(suspect, served_at)) {
        updates_.push_back({{suspect, no_crash, served_at}, is_own});
        digest_.reset();
        log_info("suspect_cleared", {{"fingerprint", std::to_string(suspect)},
                                     {"crashes", std::to_string(table_.suspicion_of(suspect, now).crashes)},
                                     {"left", std::to_string(table_.crashes(suspect, now))}});
    }
}

void suspect_registry::record_served_part(std::uint64_t part, time_point sent_at, time_point now) {
    const std::scoped_lock lock{mutex_};
    served_parts_.record(part, sent_at);
    if (table_.was_suspected_at(part, sent_at)) {
        record_served_locked(part, sent_at, true, now);
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
        const time_point at = now - entry.age * wire::crash_age_unit;
        if (entry.crash == no_crash) {
            record_served_locked(entry.fingerprint, at, false, now);
            continue;
        }
        if (table_.merge(entry.fingerprint, entry.crash, at, now)) {
            updates_.push_back({{entry.fingerprint, entry.crash, at}, false});
            digest_.reset();
            log_repeated_crash(entry.fingerprint, at, now);
        }
        const auto served_at = served_parts_.recorded_at(entry.fingerprint, now);
        if (served_at && *served_at > at) {
            record_served_locked(entry.fingerprint, *served_at, true, now);
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
    std::vector<wire::suspect_entry> entries;
    std::ranges::transform(std::exchange(updates_, {}), std::back_inserter(entries),
                           [now](const update& each) { return to_wire(each.record, now); });
    if (now - repeated_at_ >= repeat_interval) {
        repeated_at_ = now;
        for (const auto& record : table_.next_refused(last_repeated_, suspect_table::crash_limit, now)) {
            last_repeated_ = record.suspect;
            entries.push_back(to_wire(record, now));
        }
    }
    return entries;
}

suspect_registry::news suspect_registry::take_news(time_point now) {
    const std::scoped_lock lock{mutex_};
    news taken;
    for (const update& each : std::exchange(updates_, {})) {
        (each.is_own ? taken.own : taken.heard).push_back(to_wire(each.record, now));
    }
    return taken;
}

const std::vector<std::uint16_t>& suspect_registry::digest_locked(time_point now) {
    if (!digest_) {
        const auto hashes = table_.digest(now);
        digest_.emplace(hashes.begin(), hashes.end());
    }
    return *digest_;
}

std::vector<std::uint16_t> suspect_registry::digest(time_point now) {
    const std::scoped_lock lock{mutex_};
    return digest_locked(now);
}

std::vector<wire::suspect_entry> suspect_registry::records_unlike(const std::vector<std::uint16_t>& digest,
                                                                  std::size_t max_records, time_point now) {
    const std::scoped_lock lock{mutex_};
    const std::vector<std::uint16_t>& own = digest_locked(now);
    std::vector<wire::suspect_entry> found;
    if (digest.size() != own.size()) {
        return found;
    }
    // What is refused, or soon may be, comes first.
    append_records_unlike(digest, 0, suspect_table::repeated_groups, max_records, now, found);
    append_records_unlike(digest, suspect_table::repeated_groups, suspect_table::digest_groups,
                          max_records - found.size(), now, found);
    return found;
}

/// Appends records of the groups from `first` to before `last` that differ from a digest.
void suspect_registry::append_records_unlike(const std::vector<std::uint16_t>& digest, std::size_t first,
                                             std::size_t last, std::size_t max_records, time_point now,
                                             std::vector<wire::suspect_entry>& found) {
    std::vector<wire::suspect_entry> records;
    for (std::size_t group = first; group < last; ++group) {
        if (digest_locked(now)[group] != digest[group]) {
            std::ranges::transform(table_.records_of_group(group, now), std::back_inserter(records),
                                   [now](const auto& record) { return to_wire(record, now); });
        }
    }
    if (records.size() > max_records) {
        // Begins elsewhere each time, so that all records get their turn.
        const auto begin = static_cast<std::ptrdiff_t>(sent_records_ % records.size());
        std::ranges::rotate(records, records.begin() + begin);
        records.resize(max_records);
        sent_records_ += max_records;
    }
    std::ranges::copy(records, std::back_inserter(found));
}

void suspect_registry::expire(time_point now) {
    const std::scoped_lock lock{mutex_};
    table_.expire(now);
    served_parts_.expire(now);
    digest_.reset();
}

} // namespace citronwick

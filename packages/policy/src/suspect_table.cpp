#include "citronwick/policy/suspect_table.hpp"

#include "citronwick/core/hash.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <ranges>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time after its last crash or answer at which a suspect is forgotten.
constexpr duration retention = 10min;
constexpr std::size_t max_entries = 16'384;
/// Crashes kept for one suspect: those with the lowest identifiers, so that all
/// routers keep the same ones, from the whole time of the crashes.
constexpr std::size_t max_crashes = 64;
/// Shortest time between two crashes that count separately against a prompt part.
constexpr duration crash_separation = 500ms;
/// One of so many crashes of a part may be missing from the suspect that explains the
/// others, as records get lost.
constexpr std::size_t crashes_per_lost_record = 8;
/// Stands in the digest for the fact that no crash counts against a suspect.
constexpr std::uint64_t served_fact = std::numeric_limits<std::uint64_t>::max();

/// Group of a suspect in the digest: those of several crashes form the first half.
std::size_t group_of(suspect_table::fingerprint suspect, std::size_t crashes) {
    return suspect % suspect_table::repeated_groups + (crashes > 1 ? 0 : suspect_table::repeated_groups);
}

} // namespace

std::size_t suspect_table::entry::counted_crashes() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        crashes | std::views::values, [this](time_point crashed_at) { return counts(crashed_at); }));
}

std::uint8_t suspect_table::record_crash(fingerprint request, crash_id crash, time_point now) {
    merge(request, crash, now, now);
    return crashes(request, now);
}

bool suspect_table::merge(fingerprint request, crash_id crash, time_point crashed_at, time_point now) {
    if (now - crashed_at >= retention) {
        return false;
    }
    entry& known = entry_of(request);
    if (now - known.updated_at >= retention) {
        known = {};
    }
    if (!known.crashes.emplace(crash, crashed_at).second) {
        return false;
    }
    known.updated_at = std::max(known.updated_at, crashed_at);
    if (known.crashes.size() > max_crashes) {
        const auto surplus = std::prev(known.crashes.end());
        const bool is_new_one = surplus->first == crash;
        known.crashes.erase(surplus);
        return !is_new_one;
    }
    return true;
}

bool suspect_table::record_served(fingerprint request, time_point served_at) {
    const auto found = entries_.find(request);
    if (found == entries_.end()) {
        return false;
    }
    entry& known = found->second;
    const std::size_t before = known.counted_crashes();
    known.served_at = std::max(known.served_at.value_or(served_at), served_at);
    known.updated_at = std::max(known.updated_at, served_at);
    return known.counted_crashes() < before;
}

const suspect_table::entry* suspect_table::find(fingerprint request, time_point now) const {
    const auto found = entries_.find(request);
    const bool is_known = found != entries_.end() && now - found->second.updated_at < retention;
    return is_known ? &found->second : nullptr;
}

std::uint8_t suspect_table::crashes(fingerprint request, time_point now) const {
    const entry* const known = find(request, now);
    return known == nullptr ? std::uint8_t{0} : static_cast<std::uint8_t>(known->counted_crashes());
}

suspect_table::suspicion suspect_table::suspicion_of(fingerprint suspect, time_point now) const {
    const entry* const known = find(suspect, now);
    if (known == nullptr) {
        return {};
    }
    return {known->crashes.size(), separate_crashes(suspect, now), known->counted_crashes() == 0};
}

bool suspect_table::was_suspected_at(fingerprint request, time_point then) const {
    const auto found = entries_.find(request);
    return found != entries_.end() &&
           std::ranges::any_of(found->second.crashes | std::views::values,
                               [then](time_point crashed_at) { return crashed_at <= then; });
}

/// Number of crashes that count against a suspect and are far enough apart in time.
std::size_t suspect_table::separate_crashes(fingerprint request, time_point now) const {
    const entry* const known = find(request, now);
    if (known == nullptr) {
        return 0;
    }
    std::vector<time_point> times;
    std::ranges::copy_if(known->crashes | std::views::values, std::back_inserter(times),
                         [known](time_point crashed_at) { return known->counts(crashed_at); });
    std::ranges::sort(times);
    std::size_t count = 0;
    time_point counted_at;
    for (const time_point crashed_at : times) {
        if (count == 0 || crashed_at - counted_at >= crash_separation) {
            counted_at = crashed_at;
            ++count;
        }
    }
    return count;
}

/// Whether another suspect may have caused the crashes that count against this one.
bool suspect_table::explains(fingerprint other, const entry& suspect, std::uint8_t limit,
                             time_point now) const {
    const entry* const known = find(other, now);
    if (known == nullptr || known->counted_crashes() < limit) {
        return false;
    }
    const auto unexplained = std::ranges::count_if(suspect.crashes, [&](const auto& crash) {
        return suspect.counts(crash.second) && !known->crashes.contains(crash.first);
    });
    return static_cast<std::size_t>(unexplained) <= suspect.counted_crashes() / crashes_per_lost_record;
}

std::optional<suspect_table::fingerprint>
suspect_table::refused_part(std::span<const fingerprint> parts, std::uint8_t limit, time_point now) const {
    const auto is_refused = [&](fingerprint part) {
        return separate_crashes(part, now) >= limit &&
               std::ranges::none_of(entries_ | std::views::keys, [&](fingerprint other) {
                   return std::ranges::find(parts, other) == parts.end() &&
                          explains(other, entries_.at(part), limit, now);
               });
    };
    const auto found = std::ranges::find_if(parts, is_refused);
    return found == parts.end() ? std::nullopt : std::optional{*found};
}

std::vector<suspect_table::record> suspect_table::next_refused(fingerprint previous, std::uint8_t limit,
                                                               time_point now) const {
    const auto is_refused = [&](const auto& each) { return crashes(each.first, now) >= limit; };
    const auto after = entries_.upper_bound(previous);
    auto found = std::find_if(after, entries_.end(), is_refused);
    if (found == entries_.end()) {
        found = std::find_if(entries_.begin(), after, is_refused);
    }
    std::vector<record> records;
    if (found != entries_.end() && is_refused(*found)) {
        std::ranges::transform(found->second.crashes, std::back_inserter(records), [&](const auto& crash) {
            return record{found->first, crash.first, crash.second};
        });
    }
    return records;
}

std::array<std::uint16_t, suspect_table::digest_groups> suspect_table::digest(time_point now) const {
    std::array<std::uint16_t, digest_groups> hashes{};
    for (const auto& [suspect, known] : entries_) {
        if (now - known.updated_at >= retention) {
            continue;
        }
        std::uint16_t& hash = hashes.at(group_of(suspect, known.crashes.size()));
        for (const crash_id crash : known.crashes | std::views::keys) {
            hash ^= static_cast<std::uint16_t>(hash_combine(suspect, crash));
        }
        if (known.counted_crashes() == 0) {
            hash ^= static_cast<std::uint16_t>(hash_combine(suspect, served_fact));
        }
    }
    return hashes;
}

std::vector<suspect_table::record> suspect_table::records_of_group(std::size_t group, time_point now) const {
    std::vector<record> records;
    for (const auto& [suspect, known] : entries_) {
        if (group_of(suspect, known.crashes.size()) != group || now - known.updated_at >= retention) {
            continue;
        }
        for (const auto& [crash, crashed_at] : known.crashes) {
            records.push_back({suspect, crash, crashed_at});
        }
        if (known.served_at) {
            records.push_back({suspect, 0, *known.served_at});
        }
    }
    return records;
}

suspect_table::entry& suspect_table::entry_of(fingerprint request) {
    if (entries_.size() >= max_entries && !entries_.contains(request)) {
        entries_.erase(
            std::ranges::min_element(entries_, {}, [](const auto& each) { return each.second.updated_at; }));
    }
    return entries_[request];
}

void suspect_table::expire(time_point now) {
    std::erase_if(entries_, [now](const auto& each) { return now - each.second.updated_at >= retention; });
}

} // namespace citronwick

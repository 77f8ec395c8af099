#include "citronwick/policy/suspect_table.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time after the last new crash or successful run at which an entry expires.
constexpr duration retention = 10min;
constexpr std::size_t max_entries = 16'384;
/// Crashes kept for one suspect; no limit is higher.
constexpr std::size_t max_crashes = 16;
/// Shortest time between two crashes that count separately against a prompt part.
constexpr duration crash_separation = 500ms;

} // namespace

std::uint8_t suspect_table::record_crash(fingerprint request, crash_id crash, time_point now) {
    merge(request, crash, now, now);
    return crashes(request, now);
}

bool suspect_table::merge(fingerprint request, crash_id crash, time_point crashed_at, time_point now) {
    entry& known = entry_of(request);
    if (now - known.updated_at >= retention) {
        known = {};
    }
    const bool is_new = known.crashes.size() < max_crashes && known.crashes.emplace(crash, crashed_at).second;
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

suspect_table::suspicion suspect_table::suspicion_of(fingerprint suspect, time_point now) const {
    const auto found = entries_.find(suspect);
    if (found == entries_.end()) {
        return {};
    }
    return {found->second.crashes.size(), separate_crashes(suspect, now), found->second.was_served};
}

bool suspect_table::was_suspected_at(fingerprint request, time_point then) const {
    const auto found = entries_.find(request);
    return found != entries_.end() &&
           std::ranges::any_of(found->second.crashes | std::views::values,
                               [then](time_point crashed_at) { return crashed_at <= then; });
}

/// Number of crashes of a suspect that are far enough apart in time.
std::size_t suspect_table::separate_crashes(fingerprint request, time_point now) const {
    if (crashes(request, now) == 0) {
        return 0;
    }
    std::vector<time_point> times;
    std::ranges::copy(entries_.at(request).crashes | std::views::values, std::back_inserter(times));
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

std::optional<suspect_table::fingerprint>
suspect_table::refused_part(std::span<const fingerprint> parts, std::uint8_t limit, time_point now) const {
    const auto is_refused = [&](fingerprint part) {
        if (separate_crashes(part, now) < limit) {
            return false;
        }
        const auto to_explain = entries_.at(part).crashes | std::views::keys;
        return std::ranges::none_of(entries_, [&](const auto& each) {
            return std::ranges::find(parts, each.first) == parts.end() && crashes(each.first, now) >= limit &&
                   std::ranges::includes(each.second.crashes | std::views::keys, to_explain);
        });
    };
    const auto found = std::ranges::find_if(parts, is_refused);
    return found == parts.end() ? std::nullopt : std::optional{*found};
}

std::vector<suspect_table::crash_record> suspect_table::next_refused(fingerprint previous, std::uint8_t limit,
                                                                     time_point now) const {
    const auto is_refused = [&](const auto& each) { return crashes(each.first, now) >= limit; };
    const auto after = entries_.upper_bound(previous);
    auto found = std::find_if(after, entries_.end(), is_refused);
    if (found == entries_.end()) {
        found = std::find_if(entries_.begin(), after, is_refused);
    }
    std::vector<crash_record> records;
    if (found != entries_.end() && is_refused(*found)) {
        std::ranges::transform(found->second.crashes, std::back_inserter(records), [&](const auto& crash) {
            return crash_record{found->first, crash.first, crash.second};
        });
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

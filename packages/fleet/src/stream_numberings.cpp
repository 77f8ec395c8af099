#include "citronwick/fleet/stream_numberings.hpp"

#include <algorithm>
#include <chrono>
#include <limits>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time after which a version's numbering must have been seen again.
constexpr duration lifetime = 10min;
/// Age from which on a numbering that is seen again is told again.
constexpr duration renewal_interval = 1min;
/// Messages that tell a change, since any may be lost.
constexpr std::size_t repetitions = 3;
/// Beyond that, new versions are not remembered until others have expired.
constexpr std::size_t max_entries = 1'024;
/// Entries in one message; keeps datagrams small.
constexpr std::size_t entries_per_message = 32;

} // namespace

void stream_numberings::record(std::uint32_t version, stream_numbering seen, time_point now) {
    const std::scoped_lock lock{mutex_};
    if (update(version, seen, now, now)) {
        entries_.at(version).untold = repetitions;
    }
}

/// @return whether other routers may lack it
bool stream_numberings::update(std::uint32_t version, stream_numbering seen, time_point seen_at,
                               time_point now) {
    if (now - seen_at >= lifetime) {
        return false;
    }
    const auto found = entries_.find(version);
    if (found == entries_.end()) {
        return entries_.size() < max_entries && entries_.emplace(version, entry{seen, seen_at}).second;
    }
    entry& known = found->second;
    const bool is_known = now - known.seen_at < lifetime;
    if (is_known && known.numbering == stream_numbering::with_gaps && seen == stream_numbering::consecutive) {
        return false;
    }
    if (!is_known || known.numbering != seen) {
        known = {seen, seen_at};
        return true;
    }
    const bool is_renewed = seen_at - known.seen_at >= renewal_interval;
    known.seen_at = std::max(known.seen_at, seen_at);
    return is_renewed;
}

std::optional<stream_numbering> stream_numberings::numbering_of(std::uint32_t version, time_point now) const {
    const std::scoped_lock lock{mutex_};
    const auto found = entries_.find(version);
    const bool is_known = found != entries_.end() && now - found->second.seen_at < lifetime;
    return is_known ? std::optional{found->second.numbering} : std::nullopt;
}

std::optional<wire::stream_numbering> stream_numberings::entry_of(std::uint32_t version,
                                                                  time_point now) const {
    const std::scoped_lock lock{mutex_};
    const auto found = entries_.find(version);
    const bool is_known = found != entries_.end() && now - found->second.seen_at < lifetime;
    return is_known ? std::optional{to_wire(version, found->second, now)} : std::nullopt;
}

wire::stream_numbering stream_numberings::to_wire(std::uint32_t version, const entry& known, time_point now) {
    // Rounded up, so that no entry gets younger as routers pass it on.
    const auto age = std::chrono::ceil<std::chrono::seconds>(std::max(now - known.seen_at, duration{0}));
    constexpr std::chrono::seconds longest{std::numeric_limits<std::uint16_t>::max()};
    return {version, static_cast<std::uint16_t>(std::min(age, longest).count()),
            known.numbering == stream_numbering::with_gaps};
}

void stream_numberings::merge(const std::vector<wire::stream_numbering>& entries, relay mode,
                              time_point now) {
    const std::scoped_lock lock{mutex_};
    for (const wire::stream_numbering& each : entries) {
        const auto seen = each.has_gaps ? stream_numbering::with_gaps : stream_numbering::consecutive;
        const bool is_news = update(each.version, seen, now - std::chrono::seconds{each.age}, now);
        if (is_news && mode == relay::once) {
            entries_.at(each.version).untold = repetitions;
        }
    }
}

std::vector<wire::stream_numbering> stream_numberings::take_updates(time_point now) {
    const std::scoped_lock lock{mutex_};
    std::vector<wire::stream_numbering> updates;
    for (auto& [version, known] : entries_) {
        if (known.untold > 0 && updates.size() < entries_per_message) {
            --known.untold;
            updates.push_back(to_wire(version, known, now));
        }
    }
    return updates;
}

void stream_numberings::tell_again() {
    const std::scoped_lock lock{mutex_};
    std::ranges::for_each(entries_, [](auto& each) { each.second.untold = repetitions; });
}

void stream_numberings::expire(time_point now) {
    const std::scoped_lock lock{mutex_};
    std::erase_if(entries_, [now](const auto& each) { return now - each.second.seen_at >= lifetime; });
}

} // namespace citronwick

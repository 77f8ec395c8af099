#include "citronwick/fleet/last_events.hpp"

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time after which the last event of a version must have been seen again.
constexpr duration lifetime = 10min;
/// Streams that must have ended alike. Events that only look alike differ, or occur elsewhere, in some.
constexpr std::size_t streams_of_proof = 3;
/// Beyond that, new versions are not remembered until others have expired.
constexpr std::size_t max_entries = 1'024;

} // namespace

const last_events::entry* last_events::find(std::uint32_t version, time_point now) const {
    const auto found = entries_.find(version);
    const bool is_known = found != entries_.end() && now - found->second.seen_at < lifetime;
    return is_known ? &found->second : nullptr;
}

void last_events::record_end(std::uint32_t version, std::uint64_t data, time_point now) {
    const std::scoped_lock lock{mutex_};
    const bool is_known = find(version, now) != nullptr;
    if (!is_known && entries_.size() >= max_entries && !entries_.contains(version)) {
        return;
    }
    entry& known = entries_[version];
    known = is_known ? known : entry{.data = data};
    known.varies = known.varies || known.data != data;
    ++known.streams;
    known.seen_at = now;
}

void last_events::record_followed(std::uint32_t version, time_point now) {
    const std::scoped_lock lock{mutex_};
    const auto found = entries_.find(version);
    if (found != entries_.end()) {
        found->second.varies = true;
        found->second.seen_at = now;
    }
}

std::optional<std::uint64_t> last_events::last_event_of(std::uint32_t version, time_point now) const {
    const std::scoped_lock lock{mutex_};
    const entry* const known = find(version, now);
    return known != nullptr && !known->varies ? std::optional{known->data} : std::nullopt;
}

bool last_events::is_last_event(std::uint32_t version, std::uint64_t data, time_point now) const {
    const std::scoped_lock lock{mutex_};
    const entry* const known = find(version, now);
    return known != nullptr && !known->varies && known->streams >= streams_of_proof && known->data == data;
}

void last_events::expire(time_point now) {
    const std::scoped_lock lock{mutex_};
    std::erase_if(entries_, [now](const auto& each) { return now - each.second.seen_at >= lifetime; });
}

} // namespace citronwick

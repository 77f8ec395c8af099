#include "citronwick/fleet/begun_streams.hpp"

#include "citronwick/core/hash.hpp"

namespace citronwick {

namespace {

/// Beyond that, new streams are not remembered until others have expired.
constexpr std::size_t max_entries = 32'768;

} // namespace

std::uint64_t begun_streams::key(std::string_view team, std::string_view attempt) {
    return hash_combine(hash64(team), hash64(attempt));
}

std::uint32_t begun_streams::version_hash(std::string_view service, std::string_view version) {
    return short_hash(hash_combine(hash64(service), hash64(version)));
}

void begun_streams::record(std::uint64_t key, std::uint32_t version, time_point now) {
    const std::scoped_lock lock{mutex_};
    if (entries_.size() < max_entries || entries_.contains(key)) {
        entries_[key] = {version, now};
    } else {
        omitted_at_ = now;
    }
}

std::optional<std::uint32_t> begun_streams::version_of(std::uint64_t key, time_point now) const {
    const std::scoped_lock lock{mutex_};
    const auto found = entries_.find(key);
    const bool is_known = found != entries_.end() && now - found->second.recorded_at < lifetime;
    return is_known ? std::optional{found->second.version} : std::nullopt;
}

bool begun_streams::is_complete(time_point now) const {
    const std::scoped_lock lock{mutex_};
    return !omitted_at_ || now - *omitted_at_ >= lifetime;
}

void begun_streams::expire(time_point now) {
    const std::scoped_lock lock{mutex_};
    std::erase_if(entries_, [now](const auto& each) { return now - each.second.recorded_at >= lifetime; });
}

} // namespace citronwick

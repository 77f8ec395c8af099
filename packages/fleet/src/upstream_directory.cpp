#include "citronwick/fleet/upstream_directory.hpp"

#include "citronwick/core/hash.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace citronwick {

std::uint64_t upstream_hash(const upstream_entry& entry) {
    return hash64(entry.id, entry.incarnation);
}

namespace {

/// Whether an entry states less than the known one, although its position is newer:
/// the store has come back from a copy that was taken before.
bool is_older_state(const upstream_entry& entry, const upstream_entry& known) {
    return entry.incarnation != known.incarnation ? entry.incarnation < known.incarnation
                                                  : entry.sequence < known.sequence;
}

/// Added to an upstream's cold time, as others are told of its end later than itself.
constexpr duration cold_margin = std::chrono::milliseconds{200};

time_point cold_end(const upstream_entry& entry, time_point now) {
    return entry.cold_time > std::chrono::milliseconds{0} ? now + entry.cold_time + cold_margin
                                                          : time_point{};
}

routed_upstream make_upstream(const upstream_entry& entry, time_point now) {
    return {.entry = entry,
            .hash = upstream_hash(entry),
            .load = std::make_shared<upstream_load>(),
            .cold_until = cold_end(entry, now),
            .cold = std::nullopt};
}

} // namespace

bool upstream_directory::is_older_than_removal(const upstream_entry& entry, store_position position) const {
    const auto found = removals_.find(entry.id);
    if (found == removals_.end()) {
        return false;
    }
    const removal& removed = found->second;
    const bool is_of_copy = position.era > removed.position.era;
    return position <= removed.position ||
           (is_of_copy && (entry.incarnation < removed.incarnation ||
                           (entry.incarnation == removed.incarnation && entry.sequence <= removed.sequence)));
}

void upstream_directory::apply_mark(routed_upstream& upstream) const {
    upstream.entry.leaving = upstream.entry.leaving || said_leaving_.contains(upstream.hash);
}

std::optional<ended_upstream> upstream_directory::put(const upstream_entry& entry, store_position position,
                                                      time_point now) {
    if (is_older_than_removal(entry, position)) {
        return std::nullopt;
    }
    const auto found = entries_.find(entry.id);
    if (found == entries_.end()) {
        entries_[entry.id] = {make_upstream(entry, now), position};
        apply_mark(entries_[entry.id].upstream);
        return std::nullopt;
    }
    tracked_entry& old = found->second;
    if (position < old.position) {
        return std::nullopt;
    }
    const bool is_of_copy = position.era > old.position.era;
    const bool is_known = position == old.position;
    old.position = position;
    old.usable_until.reset();
    if (is_of_copy && is_older_state(entry, old.upstream.entry)) {
        return std::nullopt;
    }
    if (old.upstream.entry.incarnation == entry.incarnation) {
        const bool was_leaving = old.upstream.entry.leaving;
        old.upstream.entry = entry;
        old.upstream.entry.leaving = was_leaving || entry.leaving;
        if (!is_known) {
            old.upstream.cold_until = cold_end(entry, now);
        }
        return std::nullopt;
    }
    ended_upstream ended{old.upstream.entry, "replaced by a new incarnation"};
    old.upstream = make_upstream(entry, now);
    apply_mark(old.upstream);
    return ended;
}

std::optional<ended_upstream> upstream_directory::remove(const std::string& id, store_position position,
                                                         std::optional<time_point> usable_until,
                                                         std::string_view reason) {
    removal& removed = removals_[id];
    removed.position = std::max(removed.position, position);
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.position > position) {
        return std::nullopt;
    }
    const upstream_entry& known = found->second.upstream.entry;
    removed.incarnation = known.incarnation;
    removed.sequence = known.sequence;
    if (usable_until) {
        if (!found->second.usable_until) {
            found->second.usable_until = usable_until;
        }
        return std::nullopt;
    }
    ended_upstream ended{known, reason};
    entries_.erase(found);
    return ended;
}

std::vector<ended_upstream> upstream_directory::retain(const std::set<std::string>& ids,
                                                       store_position position,
                                                       std::optional<time_point> usable_until) {
    std::vector<std::string> missing;
    for (const auto& id : entries_ | std::views::keys) {
        if (!ids.contains(id)) {
            missing.push_back(id);
        }
    }
    std::vector<ended_upstream> ended;
    for (const std::string& id : missing) {
        if (auto removed = remove(id, position, usable_until, "not listed")) {
            ended.push_back(std::move(*removed));
        }
    }
    return ended;
}

bool upstream_directory::mark_leaving(std::uint64_t hash) {
    const auto found = std::ranges::find_if(
        entries_, [hash](const auto& each) { return each.second.upstream.hash == hash; });
    if (found != entries_.end()) {
        found->second.upstream.entry.leaving = true;
    }
    return said_leaving_.insert(hash).second;
}

void upstream_directory::close_lapse_window(time_point now) {
    for (tracked_entry& each : entries_ | std::views::values) {
        if (each.usable_until) {
            each.usable_until = std::min(*each.usable_until, now);
        }
    }
}

std::vector<ended_upstream> upstream_directory::expire(time_point now) {
    std::vector<ended_upstream> ended;
    std::erase_if(entries_, [&](const auto& entry) {
        const bool is_over = entry.second.usable_until && now >= *entry.second.usable_until;
        if (is_over) {
            ended.push_back({entry.second.upstream.entry, "not restored within the lapse window"});
        }
        return is_over;
    });
    return ended;
}

std::map<std::string, std::vector<routed_upstream>, std::less<>> upstream_directory::usable() const {
    return by_service(false);
}

std::map<std::string, std::vector<routed_upstream>, std::less<>> upstream_directory::leaving() const {
    return by_service(true);
}

std::map<std::string, std::vector<routed_upstream>, std::less<>>
upstream_directory::by_service(bool leaving) const {
    std::map<std::string, std::vector<routed_upstream>, std::less<>> found;
    for (const tracked_entry& each : entries_ | std::views::values) {
        if (each.upstream.entry.leaving == leaving) {
            found[each.upstream.entry.service].push_back(each.upstream);
        }
    }
    return found;
}

std::shared_ptr<upstream_load> upstream_directory::load_of(std::uint64_t hash) const {
    const auto values = entries_ | std::views::values;
    const auto found = std::ranges::find_if(
        values, [hash](const tracked_entry& each) { return each.upstream.hash == hash; });
    return found == values.end() ? nullptr : (*found).upstream.load;
}

const upstream_entry* upstream_directory::entry_of(std::uint64_t hash) const {
    const auto found = std::ranges::find_if(
        entries_, [hash](const auto& each) { return each.second.upstream.hash == hash; });
    return found == entries_.end() ? nullptr : &found->second.upstream.entry;
}

std::set<std::uint64_t> upstream_directory::hashes() const {
    std::set<std::uint64_t> found;
    std::ranges::transform(entries_ | std::views::values, std::inserter(found, found.end()),
                           [](const tracked_entry& each) { return each.upstream.hash; });
    return found;
}

} // namespace citronwick

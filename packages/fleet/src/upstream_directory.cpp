#include "citronwick/fleet/upstream_directory.hpp"

#include "citronwick/core/hash.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace citronwick {

std::uint64_t upstream_hash(const upstream_entry& entry) {
    return hash64(entry.id, entry.incarnation);
}

std::optional<ended_upstream> upstream_directory::put(const upstream_entry& entry, std::int64_t revision,
                                                      time_point /*now*/) {
    const auto removal = removal_revisions_.find(entry.id);
    if (removal != removal_revisions_.end() && removal->second >= revision) {
        return std::nullopt;
    }
    const auto found = entries_.find(entry.id);
    if (found == entries_.end()) {
        entries_[entry.id] = {{entry, upstream_hash(entry), std::make_shared<upstream_load>()}, revision};
        return std::nullopt;
    }
    tracked_entry& old = found->second;
    if (revision < old.revision) {
        return std::nullopt;
    }
    old.revision = revision;
    old.usable_until.reset();
    if (old.upstream.entry.incarnation == entry.incarnation) {
        const bool was_leaving = old.upstream.entry.leaving;
        old.upstream.entry = entry;
        old.upstream.entry.leaving = was_leaving || entry.leaving;
        return std::nullopt;
    }
    ended_upstream ended{old.upstream.entry, "replaced by a new incarnation"};
    old.upstream = {entry, upstream_hash(entry), std::make_shared<upstream_load>()};
    return ended;
}

std::optional<ended_upstream> upstream_directory::remove(const std::string& id, std::int64_t revision,
                                                         std::optional<time_point> usable_until,
                                                         std::string_view reason) {
    auto& removal = removal_revisions_[id];
    removal = std::max(removal, revision);
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.revision > revision) {
        return std::nullopt;
    }
    if (usable_until) {
        if (!found->second.usable_until) {
            found->second.usable_until = usable_until;
        }
        return std::nullopt;
    }
    ended_upstream ended{found->second.upstream.entry, reason};
    entries_.erase(found);
    return ended;
}

std::vector<ended_upstream> upstream_directory::retain(const std::set<std::string>& ids,
                                                       std::int64_t revision,
                                                       std::optional<time_point> usable_until) {
    std::vector<std::string> missing;
    for (const auto& id : entries_ | std::views::keys) {
        if (!ids.contains(id)) {
            missing.push_back(id);
        }
    }
    std::vector<ended_upstream> ended;
    for (const std::string& id : missing) {
        if (auto removed = remove(id, revision, usable_until, "not listed")) {
            ended.push_back(std::move(*removed));
        }
    }
    return ended;
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
    std::map<std::string, std::vector<routed_upstream>, std::less<>> found;
    for (const tracked_entry& each : entries_ | std::views::values) {
        if (!each.upstream.entry.leaving) {
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

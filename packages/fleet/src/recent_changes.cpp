#include "citronwick/fleet/recent_changes.hpp"

#include "citronwick/io/watched_kv_client.hpp"

#include <algorithm>
#include <ranges>

namespace citronwick {

namespace {

std::size_t size_of(const wire::change_entry& entry) {
    return entry.key.size() + entry.value.size();
}

} // namespace

void recent_changes::record(const kv_changes& applied, store_position previous) {
    if (previous != newest_) {
        changes_.clear();
        bytes_ = 0;
    }
    for (const kv_change& change : applied.changes) {
        changes_.push_back({change.key, change.value.value_or(""), !change.value, previous.revision,
                            change.position.revision});
        bytes_ += size_of(changes_.back());
        previous = change.position;
    }
    newest_ = previous;
    while (bytes_ > max_bytes_) {
        bytes_ -= size_of(changes_.front());
        changes_.pop_front();
    }
}

std::vector<wire::change_entry> recent_changes::since(store_position position) const {
    const auto first =
        std::ranges::upper_bound(changes_, position.revision, {}, &wire::change_entry::revision);
    if (position.era != newest_.era || first == changes_.end() || first->previous > position.revision) {
        return {};
    }
    return {first, changes_.end()};
}

} // namespace citronwick

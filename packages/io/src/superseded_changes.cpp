#include "citronwick/io/superseded_changes.hpp"

#include <algorithm>
#include <map>
#include <ranges>

namespace citronwick {

void drop_superseded(kv_changes& batch) {
    std::map<std::string_view, bool> next_is_value;
    std::vector<bool> is_superseded(batch.changes.size());
    for (std::size_t index = batch.changes.size(); index-- > 0;) {
        const kv_change& change = batch.changes[index];
        const auto next = next_is_value.find(change.key);
        is_superseded[index] = change.value && next != next_is_value.end() && next->second;
        next_is_value[change.key] = change.value.has_value();
    }
    std::vector<kv_change> kept;
    for (std::size_t index = 0; index < batch.changes.size(); ++index) {
        if (!is_superseded[index]) {
            kept.push_back(std::move(batch.changes[index]));
        }
    }
    batch.changes = std::move(kept);
}

} // namespace citronwick

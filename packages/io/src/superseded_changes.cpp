#include "citronwick/io/superseded_changes.hpp"

#include <algorithm>
#include <map>
#include <ranges>

namespace citronwick {

void drop_superseded(kv_changes& seen) {
    std::map<std::string_view, bool> next_is_value;
    std::vector<bool> is_superseded(seen.changes.size());
    for (std::size_t index = seen.changes.size(); index-- > 0;) {
        const kv_change& change = seen.changes[index];
        const auto next = next_is_value.find(change.key);
        is_superseded[index] = change.value && next != next_is_value.end() && next->second;
        next_is_value[change.key] = change.value.has_value();
    }
    std::vector<kv_change> kept;
    for (std::size_t index = 0; index < seen.changes.size(); ++index) {
        if (!is_superseded[index]) {
            kept.push_back(std::move(seen.changes[index]));
        }
    }
    seen.changes = std::move(kept);
}

} // namespace citronwick

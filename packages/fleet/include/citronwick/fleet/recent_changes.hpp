#ifndef CITRONWICK_FLEET_RECENT_CHANGES_HPP_INCLUDED
#define CITRONWICK_FLEET_RECENT_CHANGES_HPP_INCLUDED

#include "citronwick/core/store_position.hpp"
#include "citronwick/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace citronwick {

struct kv_changes;

/// The newest changes of the store that this router has applied, without gaps, from
/// which it answers routers that have missed some of them.
class recent_changes {
public:
    /// @param max_bytes size of keys and values from which the oldest changes are dropped
    explicit recent_changes(std::size_t max_bytes) : max_bytes_{max_bytes} {}

    /// Adds changes that have been applied.
    /// @param previous position before the first of them; if it is not that of the newest
    ///        known change, earlier changes are dropped
    void record(const kv_changes& applied, store_position previous);

    /// Changes after a position.
    /// @return empty if some of them are not known any more, or if there are none
    std::vector<wire::change_entry> since(store_position position) const;

private:
    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    store_position newest_;
    std::deque<wire::change_entry> changes_;
};

} // namespace citronwick

#endif

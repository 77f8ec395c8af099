#ifndef CITRONWICK_FLEET_MISSED_CHANGES_HPP_INCLUDED
#define CITRONWICK_FLEET_MISSED_CHANGES_HPP_INCLUDED

#include "citronwick/core/store_position.hpp"
#include "citronwick/core/time.hpp"

#include <cstdint>
#include <optional>

namespace citronwick {

/// Decides which other router to ask for changes of the store that have not arrived here.
///
/// Changes are forwarded once and may get lost. A router that is rejected by the store,
/// or cut off from it, cannot read them there, and without them it may confirm no keys.
class missed_changes {
public:
    /// Records that another router has followed the store up to a position.
    /// @param own position of this router
    void record_position(std::uint64_t router, store_position theirs, store_position own, time_point now);

    /// The router to ask now, if any. Counts as asked from then on.
    std::optional<std::uint64_t> router_to_ask(store_position own, time_point now);

private:
    store_position missed_; ///< oldest position that another router has named and this one lacks
    time_point missed_since_;
    store_position newest_; ///< newest position that another router has named
    std::uint64_t router_ = 0;
    time_point asked_at_;
};

} // namespace citronwick

#endif

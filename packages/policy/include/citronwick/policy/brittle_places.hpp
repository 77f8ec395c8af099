#ifndef CITRONWICK_POLICY_BRITTLE_PLACES_HPP_INCLUDED
#define CITRONWICK_POLICY_BRITTLE_PLACES_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace citronwick {

/// Load on a brittle upstream, as one router knows it.
struct brittle_load {
    std::int32_t remote_in_flight = 0; ///< requests of the other routers, by their last reports
    bool has_refused_lately = false;   ///< it refused a request of this router for want of room
};

/// Requests that one router may have in flight on an upstream that ends if it refuses too many.
///
/// The slots are divided between the routers, so that nothing has to wait on the upstream whatever
/// the age of the load counts. Counts that show free slots allow a router some requests beyond
/// its part. Those of all routers together are fewer than the refusals that the upstream bears in
/// a second: if all routers err at the same time, it stays up, and each of them returns to its part.
class brittle_places {
public:
    /// @param upstream hash of its incarnation
    /// @param slots requests that the upstream runs concurrently
    /// @param refusals_per_second that it bears; negative or not finite counts as 0
    /// @param self hash of this router
    /// @param routers hashes of all routers that may send requests, including this one
    brittle_places(std::uint64_t upstream, std::uint32_t slots, double refusals_per_second,
                   std::uint64_t self, std::span<const std::uint64_t> routers);

    /// Requests that this router may have in flight, whatever the others do.
    std::int32_t own() const { return own_; }

    /// Requests that this router may have in flight at a load of the upstream.
    std::int32_t allowed(const brittle_load& load) const;

private:
    std::int32_t slots_;
    std::int32_t routers_;
    std::int32_t own_;
    std::int32_t spare_; ///< requests beyond `own_` that the refusals allow
};

/// Routers that may have requests in flight on a brittle upstream whatever the others do.
/// @param routers hashes of all routers that may send requests
std::vector<std::uint64_t> place_holders(std::uint64_t upstream, std::uint32_t slots,
                                         std::span<const std::uint64_t> routers);

/// Whether routers lend each other places on a brittle upstream. They do not where load counts are
/// trusted beyond the parts: what is lent besides could exceed the slots.
bool are_places_lent(std::uint32_t slots, std::size_t routers);

} // namespace citronwick

#endif

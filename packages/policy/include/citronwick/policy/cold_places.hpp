#ifndef CITRONWICK_POLICY_COLD_PLACES_HPP_INCLUDED
#define CITRONWICK_POLICY_COLD_PLACES_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <span>

namespace citronwick {

/// What one router may send to an upstream that has started lately and bears few requests a second.
struct cold_allowance {
    std::int32_t places = 0; ///< requests that may be sent within any `interval`
    duration interval{0};
};

/// A router's part of the requests a second that a cold upstream bears.
///
/// The load: many routers before an upstream that bears less than one request a second of each. The
/// rate is divided into places of one request an interval. Rendezvous hashing gives each place to
/// one router, so the sum over all routers needs no message. Routers whose lists of each other differ
/// for a moment may use a place twice, and a request that is delayed on the way may arrive within a
/// second of the next one; a part of the rate is left for these.
///
/// @param upstream hash of its incarnation
/// @param per_second requests that the upstream bears; what is no positive number counts as the least
///        rate
/// @param self hash of this router
/// @param routers hashes of all routers that may send requests, including this one
cold_allowance cold_allowance_of(std::uint64_t upstream, double per_second, std::uint64_t self,
                                 std::span<const std::uint64_t> routers);

} // namespace citronwick

#endif

#ifndef CITRONWICK_POLICY_EVEN_CHOICE_HPP_INCLUDED
#define CITRONWICK_POLICY_EVEN_CHOICE_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <span>

namespace citronwick {

/// Load of an upstream as it was known some time ago.
struct known_load {
    double in_flight = 0.0;
    double capacity = 1.0; ///< relative to the other upstreams; 0 excludes it from the choice
};

/// Chooses an upstream so that many routers with the same old knowledge load all upstreams evenly.
///
/// The load: many routers choose between few upstreams by counts that are older than a request takes.
/// If each of them chose the least loaded one, all would choose the same until the next report. The
/// requests that have arrived since are not known, but about as many are expected as usually arrive in
/// that time. Each upstream is chosen with the probability with which, if all routers do so, the known
/// and the expected requests together are divided by capacity.
/// @param expected_arrivals requests from all routers since the loads were known
/// @param request_hash takes the place of a random number
/// @return index into `upstreams`, none if none has capacity
std::optional<std::size_t> choose_evenly(std::span<const known_load> upstreams, double expected_arrivals,
                                         std::uint64_t request_hash);

} // namespace citronwick

#endif

#ifndef CITRONWICK_TRAFFIC_PERMIT_WAITER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_PERMIT_WAITER_HPP_INCLUDED

#include "citronwick/io/task.hpp"
#include "citronwick/policy/permit_pool.hpp"

#include <cstdint>
#include <optional>

namespace citronwick {

class routing_plane;

/// Requests a permit for one request to a rate-limited upstream and waits for the
/// reply of the permit coordinator.
/// @param upstream hash of its incarnation
/// @param saving_ms see `permit_pool::take`
/// @return none if the coordinator did not answer in time
task<std::optional<permit_decision>> acquire_permit(routing_plane& plane, std::uint64_t upstream,
                                                    double saving_ms);

} // namespace citronwick

#endif

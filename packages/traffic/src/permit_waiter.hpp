#ifndef CITRONWICK_TRAFFIC_PERMIT_WAITER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_PERMIT_WAITER_HPP_INCLUDED

#include "citronwick/io/task.hpp"
#include "citronwick/policy/permit_pool.hpp"

#include <cstdint>
#include <memory>
#include <optional>

namespace citronwick {

class borrowed_place;
class routing_plane;

/// Requests a permit for one request to a rate-limited upstream and waits for the
/// reply of the permit coordinator.
/// @param upstream hash of its incarnation
/// @param saving_ms see `permit_pool::take`
/// @return none if the coordinator did not answer in time
task<std::optional<permit_decision>> acquire_permit(routing_plane& plane, std::uint64_t upstream,
                                                    double saving_ms);

/// Asks another router for one of its places on a brittle upstream and waits for the reply.
/// @param upstream hash of its incarnation
/// @param lifetime time after which the request for which it is has ended in any case
/// @return none if the router did not reply in time, null if it has no place to lend
task<std::optional<std::shared_ptr<const borrowed_place>>>
acquire_place(routing_plane& plane, std::uint64_t lender, std::uint64_t upstream, duration lifetime);

} // namespace citronwick

#endif

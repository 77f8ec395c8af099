#ifndef CITRONWICK_FLEET_COORDINATOR_NETWORK_HPP_INCLUDED
#define CITRONWICK_FLEET_COORDINATOR_NETWORK_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace citronwick {

/// Callbacks by which exchanges between routers read who the other routers are, and
/// send. One router of each failure domain, its watcher, is the domain's coordinator.
struct coordinator_network {
    std::function<std::uint64_t(time_point)> coordinator; ///< of this failure domain
    /// Routers that may send requests, including this one.
    std::function<std::size_t(time_point)> active_routers;
    /// Routers to which this one reports what all must know: every other one in a small
    /// fleet, the coordinator in a large one.
    std::function<std::vector<std::uint64_t>(time_point)> report_targets;
    /// Possible coordinators of the other failure domains.
    std::function<std::vector<std::uint64_t>(time_point)> other_coordinators;
    std::function<bool()> is_full_mesh; ///< whether `report_targets` are all routers
    std::function<void(const wire::gossip&, std::uint64_t to, time_point)> send;
    /// Sends a list on its way from its coordinator to all routers of the failure domain.
    std::function<void(const wire::gossip&, const wire::list_id&, time_point)> relay;
};

} // namespace citronwick

#endif

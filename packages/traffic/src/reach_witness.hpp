#ifndef CITRONWICK_TRAFFIC_REACH_WITNESS_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_REACH_WITNESS_HPP_INCLUDED

#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/io/task.hpp"

#include <chrono>
#include <vector>

namespace citronwick {

class reach_monitor;

/// Upstreams that accept requests, of all services.
std::vector<routed_upstream> all_upstreams(const routing_view& view);

/// Tells an upstream whose process has ended from one that refuses connections because this router is
/// cut from all of them.
class reach_witness {
public:
    explicit reach_witness(reach_monitor& reach) : reach_{reach} {}

    /// Whether the process at an address that has just refused a connection has ended: this router
    /// reaches another upstream, and is refused again after that. False also if it cannot tell.
    /// @param known all upstreams
    task<bool> has_ended(endpoint refused_by, std::vector<routed_upstream> known,
                         std::chrono::milliseconds timeout);

private:
    task<bool> reaches(routed_upstream upstream, std::chrono::milliseconds timeout);

    reach_monitor& reach_;
};

} // namespace citronwick

#endif

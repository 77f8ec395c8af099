#ifndef CITRONWICK_BENCH_ROUTER_USAGE_HPP_INCLUDED
#define CITRONWICK_BENCH_ROUTER_USAGE_HPP_INCLUDED

#include "arm_figures.hpp"
#include "fleet.hpp"

#include <chrono>
#include <map>
#include <string>

namespace citronwick::bench {

/// What all routers have spent on control at one instant.
struct router_usage {
    std::map<std::string, double> control_bytes;
    double control_seconds = 0.0; ///< processor time of the control threads
    double rss_mb = 0.0;
    std::chrono::steady_clock::time_point at;
};

/// Reads metrics pages and the kernel's figures of the router processes.
router_usage read_router_usage(harness::fleet& system);

/// Writes the rates between two instants, per router.
void add_usage(arm_figures& figures, const router_usage& before, const router_usage& after,
               std::size_t routers);

} // namespace citronwick::bench

#endif

#ifndef CITRONWICK_BENCH_ROUTER_USAGE_HPP_INCLUDED
#define CITRONWICK_BENCH_ROUTER_USAGE_HPP_INCLUDED

#include "arm_results.hpp"
#include "fleet.hpp"

#include <chrono>
#include <map>
#include <string>

namespace citronwick::bench {

/// Resources that all routers together have used for control up to one instant.
struct router_usage {
    std::map<std::string, double> control_bytes;
    double control_seconds = 0.0; ///< processor time of the control threads
    double rss_mb = 0.0;
    std::chrono::steady_clock::time_point at;
};

/// Reads the routers' metrics pages and their process statistics in /proc.
router_usage read_router_usage(harness::fleet& system);

/// Adds the mean rates per router between two instants to the results.
void add_usage_rates(arm_results& results, const router_usage& before, const router_usage& after,
                     std::size_t routers);

} // namespace citronwick::bench

#endif

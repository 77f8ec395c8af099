#ifndef CITRONWICK_TRAFFIC_ROUTE_CONTEXT_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_ROUTE_CONTEXT_HPP_INCLUDED

#include "citronwick/policy/fair_admission.hpp"
#include "citronwick/policy/retry_window.hpp"
#include "citronwick/policy/return_schedule.hpp"
#include "citronwick/traffic/connection_pool.hpp"
#include "citronwick/traffic/tunnel_opener.hpp"
#include "crash_probe.hpp"
#include "place_queue.hpp"
#include "relayed_connections.hpp"

#include <map>
#include <memory>
#include <string>

namespace citronwick {

class request_dialect;
class route_metrics;
class routing_plane;
struct traffic_settings;

/// Division of a service's capacity while its upstreams have rate limits.
struct service_capacity {
    fair_admission by_team;
    fair_admission by_route;
    return_schedule returns;
};

/// State that the requests of one traffic thread share.
struct route_context {
    const traffic_settings& settings;
    routing_plane& plane;
    const request_dialect& dialect;
    route_metrics& counters;
    tunnel_opener tunnels; ///< used by the connections of the pools
    connection_pool pool;
    relayed_connections relayed;                                    ///< connections through other routers
    std::map<std::string, retry_window, std::less<>> retry_windows; ///< by service
    crash_probe probe;
    std::map<std::string, service_capacity, std::less<>> capacities{}; ///< by service
    /// By service with brittle upstreams.
    std::map<std::string, std::shared_ptr<place_queue>, std::less<>> place_queues{};
    /// Routers that did not reply to a request for a place, until when they are not asked.
    std::map<std::uint64_t, time_point> silent_lenders{};
    std::uint64_t loan_requests = 0;   ///< number of requests for places of other routers
    time_point permits_paused_until{}; ///< set after the permit coordinator did not answer
};

} // namespace citronwick

#endif

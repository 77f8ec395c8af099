#ifndef CITRONWICK_TRAFFIC_ROUTE_SERVER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_ROUTE_SERVER_HPP_INCLUDED

#include "citronwick/traffic/operator_server.hpp"
#include "citronwick/traffic/request_server.hpp"

namespace citronwick {

class platform_adapter;
class route_metrics;
class routing_plane;
struct traffic_settings;

/// Returns a factory of servers for routed requests. The arguments must outlive
/// the factory and its servers.
request_server_factory make_route_servers(const traffic_settings& settings, routing_plane& plane,
                                          const platform_adapter& adapter, route_metrics& counters);

/// Returns the operators' pages of a router that serves routes. The arguments
/// must outlive the pages.
operator_pages make_route_pages(const routing_plane& plane, const platform_adapter& adapter,
                                route_metrics& counters);

} // namespace citronwick

#endif

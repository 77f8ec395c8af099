#ifndef CITRONWICK_FLEET_VERSIONED_SERVICES_HPP_INCLUDED
#define CITRONWICK_FLEET_VERSIONED_SERVICES_HPP_INCLUDED

#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/fleet/version_assignment.hpp"

#include <chrono>
#include <map>
#include <string>

namespace citronwick {

class upstream_observations;

/// The services to which routes of resumable streams lead, with the capacity of each
/// software version. A version none of whose upstreams is reachable has none.
/// @param upstreams that accept requests, by service
/// @param staleness longest time for which a router begins streams without knowing a change
std::map<std::string, versioned_service>
versioned_services(const routing_configuration& config,
                   const std::map<std::string, std::vector<routed_upstream>, std::less<>>& upstreams,
                   const upstream_observations& observations, std::chrono::milliseconds staleness,
                   time_point now);

} // namespace citronwick

#endif

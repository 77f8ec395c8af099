#ifndef CITRONWICK_CONTROL_FLEET_VIEW_HPP_INCLUDED
#define CITRONWICK_CONTROL_FLEET_VIEW_HPP_INCLUDED

#include "citronwick/config/configuration.hpp"
#include "citronwick/core/endpoint.hpp"
#include "citronwick/core/time.hpp"
#include "citronwick/policy/candidate.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace citronwick {

struct upstream_usage;

/// State of one upstream, published by the control thread.
struct upstream_view {
    std::string name;
    std::uint64_t hash = 0;
    std::string service;
    std::string failure_domain;
    endpoint address;
    double weight = 1.0;
    std::uint64_t incarnation = 0; ///< start time reported by the upstream, 0 if unknown
    availability state = availability::ready;
    time_point joined_at;
    bool owns_count = false; ///< whether this router owns the count of its requests
    std::shared_ptr<upstream_usage> usage;
};

/// Estimated in-flight requests of all routers on an upstream.
double estimated_in_flight(const upstream_view& upstream);

/// Converts an upstream to the input of a placement policy.
candidate to_candidate(const upstream_view& upstream);

/// Immutable snapshot of the fleet for the traffic threads; replaced as a whole.
struct fleet_view {
    std::shared_ptr<const configuration> config; ///< null until a configuration is known
    std::map<std::string, std::vector<upstream_view>, std::less<>> upstreams; ///< by service
    std::size_t live_routers = 1;
};

} // namespace citronwick

#endif

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

/// One upstream as the control thread sees it.
struct upstream_view {
    std::string name;
    std::uint64_t hash = 0;
    std::string service;
    std::string failure_domain;
    endpoint address;
    double weight = 1.0;
    std::uint64_t incarnation = 0; ///< start time that the upstream reports, 0 while unknown
    availability state = availability::ready;
    time_point joined_at;
    bool owns_count = false; ///< this router keeps the count of its requests
    std::shared_ptr<upstream_usage> usage;
};

/// Requests estimated on an upstream, from all routers.
double estimated_in_flight(const upstream_view& upstream);

/// The upstream as a placement policy sees it.
candidate to_candidate(const upstream_view& upstream);

/// What traffic threads decide on; replaced whole, never changed.
struct fleet_view {
    std::shared_ptr<const configuration> config;                              ///< null until one is known
    std::map<std::string, std::vector<upstream_view>, std::less<>> upstreams; ///< by service
    std::size_t live_routers = 1;
};

} // namespace citronwick

#endif

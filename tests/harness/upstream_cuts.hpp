#ifndef CITRONWICK_TESTS_HARNESS_UPSTREAM_CUTS_HPP_INCLUDED
#define CITRONWICK_TESTS_HARNESS_UPSTREAM_CUTS_HPP_INCLUDED

#include "routed_fleet.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace citronwick::harness {

/// Time from the beginning of a cut after which callers are to be served as before.
inline constexpr std::chrono::seconds time_to_recover{3};

/// Ways in which the proxies cut routers off: packets are dropped, all connections are reset, or
/// open ones live on while new ones are reset. A refusal of the handshake itself is not covered.
inline constexpr const char* packets_dropped = "dropped_sources";
inline constexpr const char* connections_reset = "refused_sources";
inline constexpr const char* new_connections_reset = "newly_refused_sources";

/// Cuts these routers, and no others, from all upstreams.
/// @param routers indices
void cut_off(routed_fleet& system, const std::vector<std::size_t>& routers, const char* how);

/// Sends a request that must be answered soon.
reply ask_once(routed_fleet& system, const node& router, const std::string& path, const std::string& attempt);

/// Sends requests to a router for some time, one after another.
/// @return number of requests that got no success
int failures_of(routed_fleet& system, const node& router, const std::string& path, const std::string& name,
                std::chrono::milliseconds time);

} // namespace citronwick::harness

#endif

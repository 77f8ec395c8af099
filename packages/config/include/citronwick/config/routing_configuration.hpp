#ifndef CITRONWICK_CONFIG_ROUTING_CONFIGURATION_HPP_INCLUDED
#define CITRONWICK_CONFIG_ROUTING_CONFIGURATION_HPP_INCLUDED

#include "citronwick/core/store_position.hpp"
#include "citronwick/policy/route_table.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace citronwick {

/// Capacity of a model engine.
struct engine_profile {
    std::uint32_t slots = 1;        ///< requests processed concurrently
    std::uint32_t cache_tokens = 0; ///< KV cache size, shared by running and cached prompts
};

/// Service that is the target of routes.
struct routed_service {
    std::string name;
    std::uint32_t connection_limit = 64;    ///< connections that one upstream accepts from all callers
    std::optional<engine_profile> engine{}; ///< none for a plain service
    /// Requests a second that one of its upstreams bears while it is cold; none for no limit.
    std::optional<double> cold_rate{};
};

/// Team that may send requests, with the API keys that authenticate it.
struct routed_team {
    std::string name;
    std::vector<std::string> keys;
    std::uint32_t priority = 0; ///< 0 is the most urgent
};

/// Size and time limits of a caller's requests and connections.
struct caller_limits {
    std::uint32_t header_bytes = 16'384;
    std::uint32_t body_bytes = 4'194'304;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// Routes, services, teams and limits that the operators declare.
struct routing_declaration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<routed_service> services;
    std::vector<routed_team> teams;
    caller_limits limits;
};

/// One version of the routing declaration, indexed for lookups.
class routing_configuration {
public:
    /// @param position of the store at which this version was written
    routing_configuration(routing_declaration declared, store_position position);

    std::uint64_t version() const { return declared_.version; }
    store_position position() const { return position_; }
    const caller_limits& limits() const { return declared_.limits; }
    const route_table& routes() const { return routes_; }
    const std::vector<routed_service>& services() const { return declared_.services; }
    std::size_t team_count() const { return declared_.teams.size(); }

    /// @return null if the service is not declared
    const routed_service* find_service(std::string_view name) const;

    /// @return null if the key belongs to no team
    const routed_team* find_team(const std::string& key) const;

private:
    routing_declaration declared_;
    store_position position_;
    route_table routes_;
    std::unordered_map<std::string, std::size_t> team_by_key_;
};

} // namespace citronwick

#endif

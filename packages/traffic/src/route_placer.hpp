#ifndef CITRONWICK_TRAFFIC_ROUTE_PLACER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_ROUTE_PLACER_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/policy/engine_placement.hpp"
#include "citronwick/policy/prompt.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

class borrowed_place;
class upstream_limits;
class upstream_observations;

/// Properties of a request that determine its placement.
struct routed_placement_request {
    const routed_service* service = nullptr;
    std::uint64_t request_hash = 0;      ///< hash of the request identifier
    std::vector<shared_prefix> prefixes; ///< of the prompt, shortest first
    std::uint32_t prompt_tokens = 0;
    std::optional<std::string> version{};     ///< of the upstreams that may be chosen, none for any
    std::vector<std::uint64_t> tried;         ///< hashes of upstreams that earlier attempts used
    std::optional<std::uint64_t> preferred{}; ///< hash of the upstream to choose, none for any
    bool may_use_limited = true;              ///< whether upstreams with a rate limit may be chosen
    bool has_permit = false;                  ///< for the chosen upstream, which has a rate limit
    /// Whether to choose an upstream for which a place is to be borrowed, this router's own
    /// being taken.
    bool borrows = false;
    std::vector<std::uint64_t> not_lent; ///< hashes of upstreams on which it found no place to borrow
    /// Whether cold upstreams may be chosen. They may not while this router's list of routers is old.
    bool may_use_cold = true;
};

/// Upstream chosen for a request, and the estimates behind the choice.
struct routed_placement {
    routed_upstream upstream;
    std::uint32_t uncached_tokens = 0; ///< prompt tokens that are not expected in the upstream's cache
    double in_flight = 0.0;            ///< estimated requests in flight on the upstream
    double expected_wait_ms = 0.0;
    std::string_view reason;
    bool is_reachable = true;                   ///< directly, as far as this router knows
    std::optional<double> rate_limit;           ///< requests a second, if the upstream named a limit
    double saving_ms = 0.0;                     ///< see `routed_decision`
    double queue_wait_ms = 0.0;                 ///< see `routed_decision`
    std::optional<upstream_entry> fetch_from{}; ///< upstream whose cache holds prompt tokens that it lacks
    std::uint32_t fetched_tokens = 0;           ///< part of the uncached tokens that it can fetch there
    /// Requests that this router may have in flight on the upstream, this one included; none if
    /// it is neither brittle nor short of room.
    std::optional<std::int32_t> most_in_flight{};
    bool is_short = false;           ///< of room, see `upstream_limits`
    std::uint32_t shared_places = 0; ///< that the routers share on it, if it is brittle or short of room
    std::shared_ptr<const borrowed_place> borrowed{}; ///< place of another router, if it is used
    std::optional<cold_allowance> cold{};             ///< of this router, if the upstream is cold
};

/// Chooses the upstream of a request from the current view and from observations
/// of earlier requests.
/// @param failure_domain failure domain of this router
/// @return none if the service has no untried upstream, or all of them have reached
///         their rate limits, or are brittle and have no place for a request of this router
std::optional<routed_placement>
choose_upstream(const routed_placement_request& request, const routing_view& view,
                const upstream_observations& observations, const upstream_limits& limits,
                placement_parameters parameters, std::string_view failure_domain, time_point now);

/// Requests that this router may have in flight on the upstreams that could still take a request.
/// @return none if no upstream of these is brittle or short of room
std::optional<std::int32_t> places_on_brittle(const routed_placement_request& request,
                                              const routing_view& view, const upstream_limits& limits,
                                              time_point now);

/// Places of this router on the upstreams that could still take a request, if all of these are cold.
/// @return none if any of them is not cold, or there are none
std::optional<std::int32_t> places_on_cold(const routed_placement_request& request, const routing_view& view,
                                           time_point now);

/// Counts a request as in flight on an upstream during its lifetime.
class in_flight_guard {
public:
    in_flight_guard(const routed_placement& placement, time_point now);
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;
    ~in_flight_guard();

    /// Whether the request has a place, if the upstream is brittle or cold.
    bool has_place() const { return has_place_; }

    /// Counts the request as sent, if the upstream is cold.
    /// @return false if the upstream is cold and the request has no place, as that was not known before
    bool begin_send(bool is_cold, time_point now);

    /// Removes the request's prompt tokens from the upstream's backlog.
    void mark_prompt_processed();

private:
    std::shared_ptr<upstream_load> load_;
    std::int32_t unprocessed_tokens_;
    std::optional<taken_place> place_; ///< of this router's own
    bool has_place_;
    bool has_cold_place_ = false; ///< reserved, and nothing was sent yet
};

} // namespace citronwick

#endif

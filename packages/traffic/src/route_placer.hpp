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

class upstream_observations;

/// Request that needs an upstream.
struct placement_question {
    const routed_service* service = nullptr;
    std::uint64_t request = 0;           ///< hash of the request's identifier
    std::vector<shared_prefix> prefixes; ///< of its prompt, shortest first
    std::uint32_t prompt_tokens = 0;
    std::vector<std::uint64_t> tried; ///< upstreams that it was sent to before
};

/// Upstream that a request goes to.
struct placed_request {
    routed_upstream upstream;
    std::uint32_t missing_tokens = 0; ///< of its prompt, not expected in the upstream's cache
    double in_flight = 0.0;           ///< requests there, as far as known
    double expected_wait_ms = 0.0;
    std::string_view reason;
};

/// Finds the upstream of a request from the newest view and what requests have
/// shown of the upstreams.
/// @param failure_domain of this router
/// @return none where the service has no upstream left to try
std::optional<placed_request> place_request(const placement_question& question, const routing_view& view,
                                            const upstream_observations& memory,
                                            const placement_parameters& limits,
                                            std::string_view failure_domain, time_point now);

/// Counts a request on an upstream for as long as this lives.
class work_guard {
public:
    /// @param missing_tokens prompt tokens that the upstream has to read
    work_guard(std::shared_ptr<upstream_load> work, std::uint32_t missing_tokens);
    work_guard(const work_guard&) = delete;
    work_guard& operator=(const work_guard&) = delete;
    ~work_guard();

    /// Notes that the upstream has read the prompt.
    void prompt_was_read();

private:
    std::shared_ptr<upstream_load> work_;
    std::int32_t unread_;
};

} // namespace citronwick

#endif

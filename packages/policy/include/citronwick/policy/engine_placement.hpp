#ifndef CITRONWICK_POLICY_ENGINE_PLACEMENT_HPP_INCLUDED
#define CITRONWICK_POLICY_ENGINE_PLACEMENT_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string_view>

namespace citronwick {

/// Properties of one upstream that the placement of a routed request takes into account.
struct routed_candidate {
    std::uint64_t hash = 0;       ///< hash of identifier and incarnation
    double in_flight = 0.0;       ///< concurrent requests from all routers
    double slots = 1.0;           ///< requests that the upstream runs concurrently
    double slowness = 1.0;        ///< time that work takes there, as a multiple of the usual one
    double backlog_tokens = 0.0;  ///< prompt tokens waiting for prefill
    double uncached_tokens = 0.0; ///< prompt tokens of this request that the upstream has not cached
    double cached_tokens = 0.0;   ///< prompt tokens of this request that the upstream has cached
    bool usable = true;           ///< not of another version, leaving, unreachable, ejected or already tried
    bool rate_limited = false;    ///< named a rate limit, which keeps its load low
    double permit_price_ms = 0.0; ///< saving below which it gets no permit, if rate-limited
    bool same_failure_domain = false; ///< as this router
};

/// Tuning parameters for the placement of routed requests.
struct placement_parameters {
    double load_multiple = 2.0;          ///< load bound as a multiple of the service's mean load
    double load_slack = 3.0;             ///< requests that the bound allows beyond that multiple
    std::size_t evacuated = 0;           ///< further upstreams of the service, which count in its mean load
    double prefill_tokens_per_ms = 30.0; ///< assumed prefill speed of an engine
    double acceptable_wait_ms = 0.0;     ///< time to first token that still meets the latency target
    /// Requests to plain upstreams that arrive while the load counts grow old, as a multiple of those in
    /// flight; 0 if the counts are younger than requests last.
    double load_turnover = 0.0;
    /// Cost of fetching a prompt token from another engine's cache, as a share of the
    /// cost of prefilling it. From 1 on, nothing is fetched.
    double fetch_cost = 0.2;
};

/// Adapts the parameters to the age of the load counts in a fleet of this size.
///
/// In a large fleet counts are a fraction of a second old, and other routers send
/// requests meanwhile.
/// @param response_time of plain upstreams, on average
placement_parameters adapt_to_fleet(placement_parameters parameters, std::size_t live_routers,
                                    duration response_time);

/// An engine from whose cache others can fetch, also if it accepts no requests itself.
struct cache_source {
    std::uint64_t hash = 0;     ///< hash of identifier and incarnation
    double cached_tokens = 0.0; ///< prompt tokens of the request that it has cached
};

/// Prompt tokens that the chosen engine fetches from another engine's cache.
struct cache_fetch {
    std::size_t source = 0; ///< index into the sources
    double tokens = 0.0;
};

/// Result of a placement.
struct routed_decision {
    std::optional<std::size_t> index; ///< index into the candidates; empty if no upstream is usable
    std::optional<cache_fetch> fetch; ///< if another engine has enough that the chosen one lacks
    std::string_view reason;
    double expected_wait_ms = 0.0; ///< time to first token on an engine, load per slot on a plain upstream
    double queue_wait_ms = 0.0;    ///< part of it that the engine spends on other requests
    /// If the chosen upstream is rate-limited, the cost that it saves compared with the
    /// best one without a limit.
    double saving_ms = std::numeric_limits<double>::infinity();
};

/// Chooses the engine with the lowest estimated cost for a request.
///
/// The cost is the prefill time for the prompt tokens that the engine has not
/// cached, plus the cost of the time to first token, which includes the queued
/// prompt tokens and the slowdown from concurrent requests. Tokens that another
/// engine has cached are fetched from it instead of prefilled where that costs less;
/// among equal sources `affinity` and the chosen engine decide, so that the sources
/// share the work. Waiting time up to
/// `acceptable_wait_ms` has a low weight, so that a busy engine that holds the
/// prefix is abandoned only if the response would be late: prefilling the prefix
/// on another engine takes up space in that engine's cache too. Engines at the
/// load bound are skipped. A rate-limited engine costs its permit price in addition,
/// so that permits go to the requests that need them most. Ties are broken by the
/// rendezvous score for `affinity`, so that routers make the same choice without
/// communicating.
/// @param sources engines that have a part of the prompt cached, in any order
routed_decision place_on_engine(std::uint64_t affinity, std::span<const routed_candidate> engines,
                                const placement_parameters& parameters,
                                std::span<const cache_source> sources = {});

/// The engine that ranks first for `affinity` by rendezvous hashing. If no engine
/// is known to hold a prompt's shared prefix, all routers assume that this one does.
/// @return index into the engines; empty if there are no engines
std::optional<std::size_t> first_ranked_engine(std::uint64_t affinity,
                                               std::span<const routed_candidate> engines);

/// Chooses the plain upstream with the lowest load per slot. Ties are broken by
/// rendezvous hashing of `request`, with a bonus for upstreams in this router's
/// failure domain.
///
/// If many routers share load counts that are older than the duration of a
/// request, they would all choose the same upstream. A `load_turnover` above 0
/// prevents this: see `choose_evenly`.
routed_decision place_on_plain_upstream(std::uint64_t request, std::span<const routed_candidate> upstreams,
                                        const placement_parameters& parameters);

/// Maximum number of concurrent requests on one upstream under the load bound. The
/// mean is that of the upstreams without a rate limit, if there are any.
double load_limit(std::span<const routed_candidate> upstreams, const placement_parameters& parameters);

} // namespace citronwick

#endif

#ifndef CITRONWICK_POLICY_ENGINE_PLACEMENT_HPP_INCLUDED
#define CITRONWICK_POLICY_ENGINE_PLACEMENT_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace citronwick {

/// One upstream as the placement of a routed request sees it.
struct routed_candidate {
    std::uint64_t hash = 0; ///< of identifier and incarnation
    double in_flight = 0.0; ///< requests from all routers
    double slots = 1.0;     ///< requests that run at once
    double backlog = 0.0;   ///< prompt tokens that wait to be read
    double missing = 0.0;   ///< prompt tokens of this request that are not cached there
    bool usable = true;     ///< neither leaving, unreachable, ejected nor tried before
    bool is_near = false;   ///< in this router's failure domain
};

/// Figures that the placement of routed requests is steered by.
struct placement_limits {
    double load_multiple = 2.0;          ///< bound on requests relative to the mean of the service
    double load_slack = 3.0;             ///< requests above that bound that are always allowed
    double prefill_tokens_per_ms = 30.0; ///< reading speed assumed where none is known
    double comfortable_wait_ms = 0.0;    ///< wait for a first token that harms nobody
    double plain_tie = 0.0;              ///< load per slot within which plain upstreams count as equal
};

/// Outcome of a placement.
struct routed_decision {
    std::optional<std::size_t> index; ///< into the candidates
    std::string_view reason;
    double expected_wait_ms = 0.0; ///< estimated time until the first token or the answer begins
};

/// Chooses the engine on which a request costs least.
///
/// It costs the time in which the engine reads what its cache lacks, and the
/// wait for the first token: the prompt tokens that wait there and the slowdown
/// by the requests that run. A wait within what is comfortable counts little,
/// so that a busy holder is left only where the answer would be late; each
/// reading elsewhere takes room in another cache. Engines at the load bound are
/// passed over. Ties go to the order of rendezvous hashing by `affinity`, so
/// that routers choose alike without messages.
routed_decision place_on_engine(std::uint64_t affinity, std::span<const routed_candidate> engines,
                                const placement_limits& limits);

/// The engine on which all routers expect a prompt's shared beginning where
/// they know of no other: the first in the order of rendezvous hashing.
/// @return index into the engines, none where there are none
std::optional<std::size_t> home_engine(std::uint64_t affinity, std::span<const routed_candidate> engines);

/// Chooses the plain upstream with the least load per slot; among equals one
/// of this failure domain, then by rendezvous hashing of `request`.
///
/// Where many routers share counts that are older than a request takes, all of
/// them would run to the same upstream. `plain_tie` then has upstreams whose
/// load differs little count as equal, near or not, so that requests spread.
routed_decision place_on_worker(std::uint64_t request, std::span<const routed_candidate> workers,
                                const placement_limits& limits);

/// Requests that one upstream may hold under the load bound.
double load_limit(std::span<const routed_candidate> upstreams, const placement_limits& limits);

} // namespace citronwick

#endif

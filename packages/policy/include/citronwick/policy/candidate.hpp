#ifndef CITRONWICK_POLICY_CANDIDATE_HPP_INCLUDED
#define CITRONWICK_POLICY_CANDIDATE_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <string_view>

namespace citronwick {

/// Whether an upstream may take new work, and if not, why.
enum class availability : std::uint8_t { ready, leaving, unreachable, excluded };

/// Text for log lines; empty for `ready`.
std::string_view to_text(availability value);

/// Properties of one upstream that a placement policy takes into account.
struct candidate {
    std::uint64_t hash = 0; ///< hash of the name, identical on all routers
    std::string_view name;
    double weight = 1.0;    ///< relative capacity, greater than zero
    double in_flight = 0.0; ///< estimated number of concurrent requests from all routers
    availability state = availability::ready;
    time_point joined_at; ///< when this router first saw this incarnation
};

} // namespace citronwick

#endif

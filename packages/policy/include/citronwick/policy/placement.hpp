#ifndef CITRONWICK_POLICY_PLACEMENT_HPP_INCLUDED
#define CITRONWICK_POLICY_PLACEMENT_HPP_INCLUDED

#include "citronwick/policy/candidate.hpp"
#include "citronwick/policy/preset.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace citronwick {

/// What is known of a request that needs an upstream.
struct placement_request {
    std::uint64_t chat = 0;                    ///< hash of team and chat
    std::optional<std::uint64_t> context_at{}; ///< upstream that holds the chat's context, if known
};

/// Upstream that a decision passed over.
struct skipped_candidate {
    std::size_t index = 0;
    std::string_view reason;
};

/// Outcome of a placement with what a log line needs to explain it.
struct placement_decision {
    std::optional<std::size_t> index; ///< into the candidates; none where all are full or unavailable
    std::string_view reason;
    std::vector<skipped_candidate> skipped{};
    std::optional<double> limit{}; ///< requests that the chosen upstream may hold, if the policy bounds them
};

/// Strategy that chooses the upstream of a request. Implementations register
/// themselves by name, hold no per-chat state and are safe to share by threads.
class placement_policy {
public:
    placement_policy() = default;
    placement_policy(const placement_policy&) = delete;
    placement_policy& operator=(const placement_policy&) = delete;
    virtual ~placement_policy();

    virtual placement_decision place(const placement_request& request, std::span<const candidate> upstreams,
                                     const preset& policy, time_point now) const = 0;
};

} // namespace citronwick

#endif

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

/// Properties of a request that needs an upstream.
struct placement_request {
    std::uint64_t chat = 0;                        ///< hash of team and chat
    std::optional<std::uint64_t> context_holder{}; ///< hash of the upstream with the chat's context, if known
};

/// An upstream that was considered and not chosen.
struct skipped_candidate {
    std::size_t index = 0;
    std::string_view reason;
};

/// Result of a placement, with the details that explain it in the log.
struct placement_decision {
    std::optional<std::size_t> index; ///< index into the candidates; empty if all are full or unavailable
    std::string_view reason;
    std::vector<skipped_candidate> skipped{};
    std::optional<double> limit{}; ///< load bound of the chosen upstream, if the policy has one
};

/// Strategy that chooses the upstream for a request. Implementations register
/// themselves by name, keep no state per chat and are thread-safe.
class placement_policy {
public:
    placement_policy() = default;
    placement_policy(const placement_policy&) = delete;
    placement_policy& operator=(const placement_policy&) = delete;
    virtual ~placement_policy();

    virtual placement_decision place(const placement_request& request, std::span<const candidate> upstreams,
                                     const preset& settings, time_point now) const = 0;
};

} // namespace citronwick

#endif

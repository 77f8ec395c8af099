#include "citronwick/policy/descriptor_shares.hpp"

#include <algorithm>

namespace citronwick {

namespace {

/// Upper bounds of the reserves. Processes with few descriptors reserve a share of them instead.
constexpr std::size_t max_file_descriptors = 200;
constexpr std::size_t max_control_connections = 64; ///< store, other routers and operators
constexpr std::size_t max_refusals = 64;
constexpr std::size_t file_divisor = 4;
constexpr std::size_t control_divisor = 8;
constexpr std::size_t refusal_divisor = 8;
constexpr std::size_t upstream_divisor = 4;

} // namespace

descriptor_shares share_descriptors(std::size_t available, std::size_t max_callers) {
    const std::size_t connections = available - std::min(max_file_descriptors, available / file_divisor);
    const std::size_t control = std::min(max_control_connections, connections / control_divisor);
    const std::size_t refusals = std::min(max_refusals, connections / refusal_divisor);
    const std::size_t for_requests = connections - control - refusals;
    const std::size_t upstreams = for_requests / upstream_divisor;
    return {std::min(max_callers, for_requests - upstreams), refusals, upstreams};
}

} // namespace citronwick

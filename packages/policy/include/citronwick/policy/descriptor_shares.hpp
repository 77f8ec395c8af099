#ifndef CITRONWICK_POLICY_DESCRIPTOR_SHARES_HPP_INCLUDED
#define CITRONWICK_POLICY_DESCRIPTOR_SHARES_HPP_INCLUDED

#include <cstddef>

namespace citronwick {

/// Division of the descriptors that a process may open.
struct descriptor_shares {
    std::size_t callers = 0;   ///< connections of callers
    std::size_t refusals = 0;  ///< connections beyond these that are being refused
    std::size_t upstreams = 0; ///< connections to upstreams, at least
};

/// Divides the descriptors so that callers cannot take those for files, for connections to
/// upstreams, and for the connections to the store, other routers and operators.
/// @param available number of descriptors that the process may open
/// @param max_callers configured limit on the callers' connections
descriptor_shares share_descriptors(std::size_t available, std::size_t max_callers);

} // namespace citronwick

#endif

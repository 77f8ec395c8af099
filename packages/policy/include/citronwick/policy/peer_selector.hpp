#ifndef CITRONWICK_POLICY_PEER_SELECTOR_HPP_INCLUDED
#define CITRONWICK_POLICY_PEER_SELECTOR_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace citronwick {

/// Chooses the routers through which a request may reach an upstream.
class peer_selector {
public:
    /// Records that a router did not reach an upstream, or did not reply.
    void record_failure(std::uint64_t peer, time_point now);

    /// Ranks routers for a request by rendezvous hashing, which spreads requests over them. Those that
    /// failed lately come last.
    /// @param peers hashes of live routers
    /// @return the same routers, best first
    std::vector<std::uint64_t> rank(std::vector<std::uint64_t> peers, std::uint64_t request,
                                    time_point now) const;

private:
    std::map<std::uint64_t, time_point> avoided_until_;
};

} // namespace citronwick

#endif

#ifndef CITRONWICK_POLICY_LOAD_BOUND_HPP_INCLUDED
#define CITRONWICK_POLICY_LOAD_BOUND_HPP_INCLUDED

#include "citronwick/policy/candidate.hpp"
#include "citronwick/policy/preset.hpp"

#include <span>

namespace citronwick {

/// Bound on the requests that one upstream may hold, relative to the mean
/// over those that take new work ("consistent hashing with bounded loads").
class load_bound {
public:
    load_bound(std::span<const candidate> upstreams, const preset& policy, time_point now);

    /// Whether the upstream may take one more request.
    bool admits(const candidate& upstream) const;

    /// Requests that the upstream may hold, at least one.
    double limit(const candidate& upstream) const;

private:
    /// Capacity that counts: the weight, less while the upstream is new.
    double share(const candidate& upstream) const;

    double skew_target_;
    double concurrency_;
    std::chrono::duration<double> slow_start_;
    time_point now_;
    double total_in_flight_ = 0.0;
    double total_share_ = 0.0;
};

} // namespace citronwick

#endif

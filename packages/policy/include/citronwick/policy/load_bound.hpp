#ifndef CITRONWICK_POLICY_LOAD_BOUND_HPP_INCLUDED
#define CITRONWICK_POLICY_LOAD_BOUND_HPP_INCLUDED

#include "citronwick/policy/candidate.hpp"
#include "citronwick/policy/preset.hpp"

#include <span>

namespace citronwick {

/// Upper bound on the concurrent requests of one upstream, relative to the mean
/// over all upstreams that accept new work ("consistent hashing with bounded loads").
class load_bound {
public:
    load_bound(std::span<const candidate> upstreams, const preset& settings, time_point now);

    /// Whether the upstream accepts new work and is below its bound.
    bool admits(const candidate& upstream) const;

    /// Maximum number of concurrent requests on the upstream; at least one.
    double limit(const candidate& upstream) const;

private:
    /// Weight of the upstream, reduced during its slow start.
    double effective_weight(const candidate& upstream) const;

    double skew_target_;
    double concurrency_;
    std::chrono::duration<double> slow_start_;
    time_point now_;
    double total_in_flight_ = 0.0;
    double total_weight_ = 0.0;
};

} // namespace citronwick

#endif

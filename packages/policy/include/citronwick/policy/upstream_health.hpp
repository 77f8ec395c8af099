#ifndef CITRONWICK_POLICY_UPSTREAM_HEALTH_HPP_INCLUDED
#define CITRONWICK_POLICY_UPSTREAM_HEALTH_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace citronwick {

/// Request outcomes of one upstream since the last report to other routers.
struct outcome_counts {
    std::uint64_t upstream = 0;
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;
};

/// Passive health checks and outlier detection, based on the outcomes of requests
/// and independent of the upstreams' own health endpoints.
///
/// An upstream that cannot be reached is avoided for a period that doubles with
/// each consecutive failure, up to a limit. An upstream whose failure rate is much
/// higher than is usual for its service is reported as an outlier.
class upstream_health {
public:
    /// Records that a connection could not be opened or stopped responding.
    void record_unreachable(std::uint64_t upstream, time_point now);

    /// Records the outcome of a request that reached the upstream.
    void record_outcome(std::uint64_t upstream, bool succeeded, time_point now);

    /// Adds the outcomes that another router reported.
    void merge_counts(const outcome_counts& reported, time_point now);

    /// Whether the upstream is still in its backoff period after it was unreachable.
    bool is_unreachable(std::uint64_t upstream, time_point now) const;

    /// Upstreams of one service that should be avoided because of their failure
    /// rate; at most a third of the service.
    std::set<std::uint64_t> outliers(const std::vector<std::uint64_t>& service, time_point now) const;

    /// Outcomes that this router recorded since the last call.
    std::vector<outcome_counts> take_unreported_counts();

    /// Removes the records of all other upstreams.
    void retain(const std::set<std::uint64_t>& upstreams);

private:
    struct record {
        double successes = 0.0; ///< decays exponentially
        double failures = 0.0;  ///< decays exponentially
        time_point decayed_at;
        int consecutive_failures = 0;
        time_point backoff_until;
    };

    static void decay(record& entry, time_point now);

    std::map<std::uint64_t, record> records_;
    std::map<std::uint64_t, outcome_counts> unreported_;
};

} // namespace citronwick

#endif

#ifndef CITRONWICK_POLICY_RETRY_WINDOW_HPP_INCLUDED
#define CITRONWICK_POLICY_RETRY_WINDOW_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstddef>
#include <deque>

namespace citronwick {

/// Limits on the retries that all routers together may send to one service.
struct retry_limits {
    double share = 0.1;  ///< retries allowed per request within the window
    double extra = 10.0; ///< retries allowed beyond that share, in total for all routers
    std::chrono::milliseconds window{10'000};
};

/// Counts requests to a service and their retries in a sliding window, on one
/// thread of a router.
///
/// The extra retries are divided evenly among all such counters of the fleet. The
/// divisor is based on the registered routers rather than the reachable ones, so
/// that an isolated router takes no larger part than in a connected fleet.
class retry_window {
public:
    /// Records the first attempt of a request.
    void record_request(time_point now);

    /// Whether the limits allow a retry.
    bool has_retry(const retry_limits& limits, std::size_t sharers, time_point now);

    /// Records a retry if the limits allow it.
    /// @param sharers number of counters that share the extra retries, including this one
    /// @return whether the retry is allowed
    bool take_retry(const retry_limits& limits, std::size_t sharers, time_point now);

private:
    void expire(const retry_limits& limits, time_point now);

    std::deque<time_point> requests_;
    std::deque<time_point> retries_;
};

} // namespace citronwick

#endif

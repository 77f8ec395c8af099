#ifndef CITRONWICK_POLICY_RETRY_WINDOW_HPP_INCLUDED
#define CITRONWICK_POLICY_RETRY_WINDOW_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstddef>
#include <deque>

namespace citronwick {

/// Limits of the retries that a fleet may send to one service.
struct retry_limits {
    double share = 0.1;  ///< retries for each request within the window
    double extra = 10.0; ///< retries beyond the share, by all routers together
    std::chrono::milliseconds window{10'000};
};

/// Counts one router's requests and retries of a service over a sliding window.
///
/// The extra retries are divided by the number of live routers; a router that
/// hears no other one takes no more than a router of the usual fleet would.
class retry_window {
public:
    /// Counts the first sending of a request.
    void record_request(time_point now);

    /// Takes one retry if the window allows it.
    /// @param routers live routers that share the extra retries, this one included
    bool take_retry(const retry_limits& limits, std::size_t routers, time_point now);

private:
    void expire(const retry_limits& limits, time_point now);

    std::deque<time_point> requests_;
    std::deque<time_point> retries_;
};

} // namespace citronwick

#endif

#ifndef CITRONWICK_POLICY_RECENT_RATE_HPP_INCLUDED
#define CITRONWICK_POLICY_RECENT_RATE_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <deque>

namespace citronwick {

/// Number of events a second, averaged over the last two seconds.
class recent_rate {
public:
    void record(time_point now);

    /// Events a second.
    double per_second(time_point now);

private:
    void expire(time_point now);

    std::deque<time_point> events_;
};

} // namespace citronwick

#endif

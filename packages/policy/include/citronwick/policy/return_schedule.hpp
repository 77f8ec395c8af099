#ifndef CITRONWICK_POLICY_RETURN_SCHEDULE_HPP_INCLUDED
#define CITRONWICK_POLICY_RETURN_SCHEDULE_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <chrono>

namespace citronwick {

/// Tells rejected callers when to come back, so that they return in the order in
/// which they were rejected and at the rate at which capacity becomes free.
class return_schedule {
public:
    /// Time after which the next rejected caller should retry.
    /// @param rate requests a second that this router expects to be able to serve again
    std::chrono::milliseconds next(double rate, time_point now);

private:
    time_point last_return_at_;
};

} // namespace citronwick

#endif

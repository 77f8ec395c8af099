#ifndef CITRONWICK_POLICY_FAIR_ADMISSION_HPP_INCLUDED
#define CITRONWICK_POLICY_FAIR_ADMISSION_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace citronwick {

/// Divides what a service with too little capacity takes between groups of requests.
///
/// Shares are weighted max-min fair over a sliding window. When requests of groups
/// within their share are rejected for lack of capacity, a growing part of the
/// requests of groups beyond their share is rejected first. That part shrinks again
/// while nobody within its share is rejected, so that no capacity is left unused.
class fair_admission {
public:
    /// Whether a request of the group may use scarce capacity.
    /// @param weight of the group, greater than zero
    /// @param request_hash selects the requests that are rejected
    bool may_admit(std::uint64_t group, double weight, std::uint64_t request_hash, time_point now);

    /// Records the outcome of a request.
    void record(std::uint64_t group, double weight, bool was_served, time_point now);

private:
    struct entry {
        time_point at;
        std::uint64_t group = 0;
        bool was_served = false;
    };
    struct counts {
        double weight = 1.0;
        double offered = 0.0;
        double served = 0.0;
    };

    void expire(time_point now);
    double fair_level() const;
    bool exceeds_share(std::uint64_t group, double weight) const;

    std::deque<entry> entries_;
    std::map<std::uint64_t, counts> groups_;
    double rejected_part_ = 0.0; ///< of the requests of groups beyond their share
    time_point updated_at_;
};

} // namespace citronwick

#endif

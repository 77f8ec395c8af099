#ifndef CITRONWICK_POLICY_PERMIT_POOL_HPP_INCLUDED
#define CITRONWICK_POLICY_PERMIT_POOL_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace citronwick {

/// Decision on a request for a permit.
struct permit_decision {
    bool granted = false;
    duration wait{0}; ///< if not granted, time after which to ask again
};

/// Permits to send requests to rate-limited upstreams, of one permit coordinator.
///
/// A token bucket for each upstream is refilled with this coordinator's share of
/// the limit. Permits of a full bucket may be given to coordinators that had to
/// reject requests, so that the sum of all coordinators stays within the limit
/// while the permits go to where the requests are.
class permit_pool {
public:
    /// Takes a permit for one request.
    /// @param limit requests a second that the upstream takes from all routers
    /// @param share this coordinator's part of it, from 0 to 1
    permit_decision take(std::uint32_t upstream, double limit, double share, time_point now);

    /// Refills a bucket and, if it is full, removes permits that others may use.
    /// @return number of permits removed
    std::uint32_t take_surplus(std::uint32_t upstream, double limit, double share, time_point now);

    /// Adds permits that another coordinator has given.
    void add(std::uint32_t upstream, std::uint32_t permits, time_point now);

    /// Requests rejected since the last call, by upstream.
    std::map<std::uint32_t, std::uint32_t> take_rejections();

    /// Removes the buckets of upstreams without a limit.
    /// @param limited upstreams whose limit holds
    void retain(const std::set<std::uint32_t>& limited);

private:
    struct bucket {
        double permits = 0.0;
        double rate = 0.0; ///< permits a second
        time_point refilled_at;
        double rejection_rate = 0.0; ///< a second, averaged
        time_point rejected_at;
    };

    bucket& refill(std::uint32_t upstream, double limit, double share, time_point now);

    std::map<std::uint32_t, bucket> buckets_;
    std::map<std::uint32_t, std::uint32_t> rejections_;
};

} // namespace citronwick

#endif

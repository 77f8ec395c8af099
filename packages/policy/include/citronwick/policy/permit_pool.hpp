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
    duration wait{0};      ///< if not granted for lack of permits, time after which to ask again
    double price_ms = 0.0; ///< saving that a request must reach after that
    duration full_in{0};   ///< time until the bucket is full and the price 0, if nobody gets a permit
};

/// Permits to send requests to rate-limited upstreams, of one permit coordinator.
///
/// A token bucket for each upstream is refilled with this coordinator's share of
/// the limit. Permits of a full bucket may be given to coordinators that had to
/// reject requests, so that the sum of all coordinators stays within the limit
/// while the permits go to where the requests are.
///
/// A permit goes first to requests that save much by it. The price, which a request's
/// saving must reach, is the mean saving of the requests, weighted by their savings,
/// while a bucket holds a single permit, and falls to 0 until the bucket is full, so that no permit is lost
/// for want of requests that reach the price.
class permit_pool {
public:
    /// Takes a permit for one request.
    /// @param limit requests a second that the upstream takes from all routers
    /// @param share this coordinator's part of it, from 0 to 1
    /// @param saving_ms cost that this upstream saves compared with the best one without a limit;
    ///        infinity if there is none
    permit_decision take(std::uint32_t upstream, double limit, double share, double saving_ms,
                         time_point now);

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
        double rate = 0.0;        ///< permits a second
        double mean_saving = 0.0; ///< of the requests for permits, in milliseconds
        double mean_squared_saving = 0.0;
        time_point refilled_at;
        double rejection_rate = 0.0; ///< a second, averaged
        time_point rejected_at;
    };

    bucket& refill(std::uint32_t upstream, double limit, double share, time_point now);
    static double price_ms(const bucket& filled);

    std::map<std::uint32_t, bucket> buckets_;
    std::map<std::uint32_t, std::uint32_t> rejections_;
};

} // namespace citronwick

#endif

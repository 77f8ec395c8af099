#ifndef CITRONWICK_FLEET_LOAD_TOTALS_HPP_INCLUDED
#define CITRONWICK_FLEET_LOAD_TOTALS_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace citronwick {

/// Load on one upstream.
struct load_amount {
    std::int32_t in_flight = 0;
    std::int32_t backlog = 0; ///< prompt tokens not yet processed

    load_amount& operator+=(const load_amount& other);
    load_amount& operator-=(const load_amount& other);
    friend bool operator==(const load_amount&, const load_amount&) = default;
};

/// Load by the short hash of the upstream.
using load_table = std::map<std::uint32_t, load_amount>;

/// Sums the load of the other routers on each upstream.
///
/// In a small fleet each router reports to all others, so the sum over the
/// reports is recent. In a large fleet a router receives the reports of each
/// other one only every few seconds. There, one router of each failure domain is
/// its load aggregator: it sums the reports of its domain, exchanges the sums
/// with the aggregators of the other domains, and distributes the total of the
/// fleet. While such a total is fresh, it is used in place of the sum over the
/// reports.
class load_totals {
public:
    /// Replaces the reported load of a router.
    void set_router_load(std::uint64_t router, load_table load);
    void remove_router(std::uint64_t router);
    bool contains(std::uint64_t router) const { return by_router_.contains(router); }

    /// Sets the load of a failure domain as reported by its aggregator.
    /// @param domain hash of the domain's name
    void set_domain_load(std::uint64_t domain, load_table load, time_point now);

    /// Sets the load of the whole fleet as reported by the aggregator of this
    /// router's failure domain.
    /// @param local part of it that this router reported
    void set_fleet_load(load_table load, const load_table& local, time_point now);

    /// Load of the given routers plus that of this one.
    load_table sum_of(const std::vector<std::uint64_t>& routers, load_table local) const;

    /// Load of the fleet: that of this failure domain plus that of the other
    /// domains whose aggregators have reported recently.
    /// @param domain hash of this failure domain's name
    /// @param own_domain load of this failure domain
    load_table fleet_load(std::uint64_t domain, load_table own_domain, time_point now) const;

    /// Load of the other routers on an upstream.
    load_amount remote_load(std::uint32_t upstream, time_point now) const;

    /// Whether an aggregator's total is in use.
    bool has_fresh_fleet_load(time_point now) const;

private:
    struct timed_table {
        load_table load;
        time_point received_at;
    };

    std::map<std::uint64_t, load_table> by_router_;
    load_table routers_sum_; ///< over `by_router_`
    std::map<std::uint64_t, timed_table> by_domain_;
    load_table fleet_remote_load_;
    time_point fleet_load_set_at_;
    bool has_fleet_load_ = false;
};

} // namespace citronwick

#endif

#ifndef CITRONWICK_FLEET_WORK_LEDGER_HPP_INCLUDED
#define CITRONWICK_FLEET_WORK_LEDGER_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace citronwick {

/// Work on one upstream.
struct amount_of_work {
    std::int32_t in_flight = 0;
    std::int32_t backlog = 0; ///< prompt tokens that wait to be read

    amount_of_work& operator+=(const amount_of_work& other);
    amount_of_work& operator-=(const amount_of_work& other);
    friend bool operator==(const amount_of_work&, const amount_of_work&) = default;
};

/// Work by the short hash of the upstream.
using work_table = std::map<std::uint32_t, amount_of_work>;

/// What the other routers have on each upstream.
///
/// In a small fleet each router tells all others, and the sum is a moment old.
/// In a large one a router hears each other one only every few seconds; one
/// router of each failure domain, its keeper, collects what is there and
/// shares it with the keepers of the other domains, and the sum that a keeper
/// sends round replaces the own one while it is fresh.
class work_ledger {
public:
    /// Replaces what a router has told of its work.
    void replace(std::uint64_t router, work_table work);
    void forget(std::uint64_t router);
    bool knows(std::uint64_t router) const { return by_router_.contains(router); }

    /// Takes in what a keeper says of its failure domain.
    /// @param domain hash of its name
    void take_domain(std::uint64_t domain, work_table work, time_point now);

    /// Takes in the fleet's work from the own keeper.
    /// @param own part of it that this router had told
    void take_fleet(work_table work, const work_table& own, time_point now);

    /// Work of the given routers together with this one's.
    work_table sum_of(const std::vector<std::uint64_t>& routers, work_table own) const;

    /// Adds the work of the other failure domains whose keepers are heard.
    /// @param own_domain work of this one, with the hash of its name
    work_table fleet(std::uint64_t domain, work_table own_domain, time_point now) const;

    /// What the other routers have on an upstream.
    amount_of_work elsewhere(std::uint32_t upstream, time_point now) const;

    /// Whether a keeper's sum is in use.
    bool has_fleet(time_point now) const;

private:
    struct dated_table {
        work_table work;
        time_point taken_at;
    };

    std::map<std::uint64_t, work_table> by_router_;
    work_table sum_; ///< over `by_router_`
    std::map<std::uint64_t, dated_table> by_domain_;
    work_table fleet_elsewhere_;
    time_point fleet_at_;
    bool had_fleet_ = false;
};

} // namespace citronwick

#endif

#ifndef CITRONWICK_FLEET_LOAD_AGGREGATOR_HPP_INCLUDED
#define CITRONWICK_FLEET_LOAD_AGGREGATOR_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace citronwick {

/// Work on one upstream.
struct load_amount {
    std::int32_t in_flight = 0;
    std::int32_t backlog = 0; ///< prompt tokens that wait to be read

    load_amount& operator+=(const load_amount& other);
    load_amount& operator-=(const load_amount& other);
    friend bool operator==(const load_amount&, const load_amount&) = default;
};

/// Work by the short hash of the upstream.
using load_table = std::map<std::uint32_t, load_amount>;

/// What the other routers have on each upstream.
///
/// In a small fleet each router tells all others, and the sum is a moment old.
/// In a large one a router hears each other one only every few seconds; one
/// router of each failure domain, its keeper, collects what is there and
/// shares it with the keepers of the other domains, and the sum that a keeper
/// sends round replaces the own one while it is fresh.
class load_aggregator {
public:
    /// Replaces what a router has told of its work.
    void set_router_load(std::uint64_t router, load_table work);
    void remove_router(std::uint64_t router);
    bool contains(std::uint64_t router) const { return by_router_.contains(router); }

    /// Takes in what a keeper says of its failure domain.
    /// @param domain hash of its name
    void set_domain_load(std::uint64_t domain, load_table work, time_point now);

    /// Takes in the fleet's work from the own keeper.
    /// @param own part of it that this router had told
    void set_fleet_load(load_table work, const load_table& own, time_point now);

    /// Work of the given routers together with this one's.
    load_table sum_of(const std::vector<std::uint64_t>& routers, load_table own) const;

    /// Adds the work of the other failure domains whose keepers are heard.
    /// @param own_domain work of this one, with the hash of its name
    load_table fleet_load(std::uint64_t domain, load_table own_domain, time_point now) const;

    /// What the other routers have on an upstream.
    load_amount remote_load(std::uint32_t upstream, time_point now) const;

    /// Whether a keeper's sum is in use.
    bool has_fresh_fleet_load(time_point now) const;

private:
    struct timed_table {
        load_table work;
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

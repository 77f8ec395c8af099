#ifndef CITRONWICK_POLICY_PERMIT_SHARES_HPP_INCLUDED
#define CITRONWICK_POLICY_PERMIT_SHARES_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace citronwick {

/// Determines which part of the upstreams' rate limits a permit coordinator may hand out.
///
/// Every active router has an equal part and delegates it to one coordinator
/// at a time by periodic messages. A delegation lapses without messages, and a new
/// one takes effect only once one to another coordinator has lapsed. The parts of
/// all coordinators therefore never exceed the whole, whatever each router believes
/// about who is the coordinator, and a part that is cut off is used on its own side.
class permit_shares {
public:
    /// Records that a router delegates its part to this coordinator.
    void record_delegation(std::uint64_t router, time_point now);

    /// This coordinator's share of the limits.
    /// @param active_routers routers of the fleet that may send requests
    double share(std::size_t active_routers, time_point now) const;

private:
    struct delegation {
        time_point first_at; ///< of an uninterrupted series
        time_point last_at;
    };

    std::map<std::uint64_t, delegation> delegations_;
};

} // namespace citronwick

#endif

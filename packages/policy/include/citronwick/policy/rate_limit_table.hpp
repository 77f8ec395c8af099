#ifndef CITRONWICK_POLICY_RATE_LIMIT_TABLE_HPP_INCLUDED
#define CITRONWICK_POLICY_RATE_LIMIT_TABLE_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace citronwick {

/// Rate limit of one upstream, as its responses tell.
struct rate_limit {
    double per_second = 0.0;                ///< requests that it takes from all routers together
    time_point named_at;                    ///< arrival of the newest response that named the limit
    std::optional<time_point> unlimited_at; ///< sending of the newest request whose response named none

    /// Whether the limit still holds. A response without a limit ends it only if its
    /// request was sent after the last response that named one.
    bool holds() const { return !unlimited_at || *unlimited_at <= named_at; }
};

/// Rate limits that upstreams name in their responses.
///
/// Tables of several routers can be merged in any order, and repeatedly.
class rate_limit_table {
public:
    /// Records a response that names a limit.
    /// @return whether the limit is new or differs from the known one
    bool record_limit(std::uint32_t upstream, double per_second, time_point now);

    /// Records a response that names no limit.
    /// @param sent_at when its request was sent
    /// @return whether it ends a known limit
    bool record_no_limit(std::uint32_t upstream, time_point sent_at);

    /// Merges what another router knows about an upstream.
    /// @return whether the limit is new, differs from the known one or has ended
    bool merge(std::uint32_t upstream, const rate_limit& other);

    /// Requests a second that the upstream takes; empty if no limit holds.
    std::optional<double> limit_of(std::uint32_t upstream) const;

    /// Entries by upstream, including limits that have ended recently.
    const std::map<std::uint32_t, rate_limit>& entries() const { return entries_; }

    /// Removes upstreams that are no longer known, and limits that ended a while ago.
    /// @param upstreams the known ones
    void expire(const std::set<std::uint32_t>& upstreams, time_point now);

    /// Removes limits that no response has named since `oldest`.
    void remove_named_before(time_point oldest);

private:
    std::map<std::uint32_t, rate_limit> entries_;
};

} // namespace citronwick

#endif

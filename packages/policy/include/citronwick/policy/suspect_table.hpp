#ifndef CITRONWICK_POLICY_SUSPECT_TABLE_HPP_INCLUDED
#define CITRONWICK_POLICY_SUSPECT_TABLE_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace citronwick {

/// Tracks requests that may crash upstreams, by fingerprint.
///
/// Every request that is in flight on an upstream when it crashes becomes a
/// suspect. A request that was in flight during `crash_limit` crashes is refused
/// until its entry expires.
class suspect_table {
public:
    using fingerprint = std::uint64_t;

    /// Number of crashes at which a request is refused.
    static constexpr std::uint8_t crash_limit = 2;

    /// Identifies one crash; the same on all routers that observed it, never 0.
    using crash_id = std::uint32_t;

    /// Records that a request was in flight on an upstream that crashed. A crash
    /// that several routers record counts once.
    /// @return number of crashes recorded for the request
    std::uint8_t record_crash(fingerprint request, crash_id crash, time_point now);

    /// Merges a crash that another router observed.
    /// @return whether the crash was not known before
    bool merge(fingerprint request, crash_id crash, time_point now);

    /// Records that an upstream served the request, so the request did not cause the
    /// crashes. It is no longer a suspect.
    /// @return whether the request had an entry that was not yet marked as served
    bool record_served(fingerprint request, time_point now);

    /// Number of crashes recorded for a request; 0 if it was served or its entry has expired.
    std::uint8_t crashes(fingerprint request, time_point now) const;

    /// Removes expired entries.
    void expire(time_point now);

private:
    struct entry {
        std::set<crash_id> crashes;
        bool was_served = false;
        time_point updated_at;
    };
    std::map<fingerprint, entry> entries_;
};

} // namespace citronwick

#endif

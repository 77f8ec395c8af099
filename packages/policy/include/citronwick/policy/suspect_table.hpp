#ifndef CITRONWICK_POLICY_SUSPECT_TABLE_HPP_INCLUDED
#define CITRONWICK_POLICY_SUSPECT_TABLE_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace citronwick {

/// Requests that were on upstreams when these crashed, by fingerprint.
///
/// All requests on a crashed upstream become suspects; one that was on two
/// crashed upstreams is refused until it is forgotten.
class suspect_table {
public:
    using fingerprint = std::uint64_t;

    /// Crashes from which on a request is refused.
    static constexpr std::uint8_t crash_limit = 2;

    /// Names one crash, the same for all routers that saw it; not 0.
    using crash_id = std::uint32_t;

    /// Notes that a request was on an upstream that crashed. Several routers may
    /// note one crash, and it counts once.
    /// @return crashes of the request so far
    std::uint8_t record_crash(fingerprint request, crash_id crash, time_point now);

    /// Takes in a crash that another router saw.
    /// @return whether it is news
    bool merge(fingerprint request, crash_id crash, time_point now);

    /// Notes that an upstream has served the request: whatever crashed before,
    /// it was not the request.
    /// @return whether the request was a suspect
    bool absolve(fingerprint request, time_point now);

    /// Crashes of a request that is not forgotten yet.
    std::uint8_t crashes(fingerprint request, time_point now) const;

    /// Forgets requests whose last crash is long ago.
    void expire(time_point now);

private:
    struct entry {
        std::set<crash_id> crashes;
        bool is_absolved = false;
        time_point last;
    };
    std::map<fingerprint, entry> entries_;
};

} // namespace citronwick

#endif

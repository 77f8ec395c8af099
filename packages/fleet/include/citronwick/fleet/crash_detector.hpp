#ifndef CITRONWICK_FLEET_CRASH_DETECTOR_HPP_INCLUDED
#define CITRONWICK_FLEET_CRASH_DETECTOR_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <vector>

namespace citronwick {

/// Requests whose connection broke while an upstream ran them.
///
/// A broken connection alone is no evidence of a crash: networks and
/// upstreams break connections for other reasons. Only when the upstream's
/// incarnation ends soon after, without having announced it, do the requests
/// that it ran become suspects.
class crash_detector {
public:
    /// @param patience time within which the incarnation's end is a crash under the request
    explicit crash_detector(duration window) : window_{window} {}

    void record_broken_connection(std::uint64_t request, std::uint64_t upstream, time_point now);

    /// Notes that an incarnation has ended unannounced.
    /// @return the requests that were on it
    std::vector<std::uint64_t> upstream_ended(std::uint64_t upstream, time_point now);

private:
    struct broken_connection {
        std::uint64_t request = 0;
        std::uint64_t upstream = 0;
        time_point at;
    };

    duration window_;
    std::vector<broken_connection> broken_connections_;
};

} // namespace citronwick

#endif

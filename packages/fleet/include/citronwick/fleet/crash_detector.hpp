#ifndef CITRONWICK_FLEET_CRASH_DETECTOR_HPP_INCLUDED
#define CITRONWICK_FLEET_CRASH_DETECTOR_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <vector>

namespace citronwick {

/// Finds the requests that were running on an upstream when it crashed.
///
/// A broken connection alone is not evidence of a crash, since networks and
/// upstreams close connections for other reasons. The requests become suspects
/// only if the upstream's incarnation then ends, unannounced, within a time window.
class crash_detector {
public:
    /// @param window time after a broken connection in which the end of the incarnation counts as a crash
    explicit crash_detector(duration window) : window_{window} {}

    void record_broken_connection(std::uint64_t request, std::uint64_t upstream, time_point now);

    /// Records that an incarnation has ended, and removes its broken connections.
    /// @return the requests whose connections to it broke within the window
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

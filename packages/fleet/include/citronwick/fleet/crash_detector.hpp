#ifndef CITRONWICK_FLEET_CRASH_DETECTOR_HPP_INCLUDED
#define CITRONWICK_FLEET_CRASH_DETECTOR_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <vector>

namespace citronwick {

/// Something that may have crashed an upstream.
struct crash_suspect {
    enum class kind : std::uint8_t { request, prompt_part };

    std::uint64_t fingerprint = 0;
    kind type = kind::request;

    friend bool operator==(const crash_suspect&, const crash_suspect&) = default;
};

/// Finds what was running on an upstream when it crashed.
///
/// A broken connection alone is not evidence of a crash, since networks and
/// upstreams close connections for other reasons. What was on it becomes suspect
/// only if the upstream's incarnation is then found to have ended, unannounced,
/// within a time window.
class crash_detector {
public:
    /// @param window time after a broken connection in which the end of the incarnation counts as a crash
    explicit crash_detector(duration window) : window_{window} {}

    void record_broken_connection(const std::vector<crash_suspect>& suspects, std::uint64_t upstream,
                                  time_point now);

    /// Records that an incarnation has ended, and removes its broken connections.
    /// @return what was on the connections to it that broke within the window
    std::vector<crash_suspect> upstream_ended(std::uint64_t upstream, time_point now);

private:
    struct broken_connection {
        crash_suspect suspect;
        std::uint64_t upstream = 0;
        time_point at;
    };

    duration window_;
    std::vector<broken_connection> broken_connections_;
};

} // namespace citronwick

#endif

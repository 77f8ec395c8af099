#ifndef CITRONWICK_FLEET_PLANE_TIMING_HPP_INCLUDED
#define CITRONWICK_FLEET_PLANE_TIMING_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <string>

namespace citronwick::plane_timing {

using namespace std::chrono_literals;

inline constexpr duration tick_interval = 50ms;
inline constexpr duration expiry_interval = 1s;
/// Longest time after which the traffic threads learn that the live routers changed.
inline constexpr duration directory_interval = 200ms;
/// Interval at which the number of store calls is logged.
inline constexpr duration calls_log_interval = 10s;
/// Age of the newest confirmation from which a router requests another one from
/// the store instead of waiting for a peer's. Bounds how late a router whose
/// watcher has failed learns of a change.
inline constexpr duration self_confirm_age = 1500ms;
/// Subtracted from the key lifetime, to allow for the time that a request takes
/// to reach its upstream.
inline constexpr duration key_margin = 200ms;
/// Interval at which the watchers compare the assignment of streams with the upstreams.
inline constexpr duration version_check_interval = 200ms;
/// Time that each watcher leaves the one before it to write a change of that assignment.
inline constexpr duration writer_delay = 1s;
inline constexpr const char* version_keys = "stream-versions/";
inline constexpr const char* control_thread_name = "control";

inline std::string to_milliseconds(duration value) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace citronwick::plane_timing

#endif

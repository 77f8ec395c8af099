#ifndef CITRONWICK_CORE_TIME_HPP_INCLUDED
#define CITRONWICK_CORE_TIME_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronwick {

/// Clock of every deadline and lease; it never jumps.
using clock = std::chrono::steady_clock;
/// Instant on `clock`.
using time_point = clock::time_point;
/// Duration at the resolution of `clock`.
using duration = clock::duration;

/// Instant on a clock that goes on while the VM is suspended.
enum class boot_time : std::int64_t {};

/// The time on that clock.
boot_time boot_now();

/// Time between two instants.
constexpr duration operator-(boot_time later, boot_time earlier) {
    return std::chrono::nanoseconds{static_cast<std::int64_t>(later) - static_cast<std::int64_t>(earlier)};
}

/// Instant that is `before` earlier.
constexpr boot_time operator-(boot_time from, duration before) {
    return boot_time{static_cast<std::int64_t>(from) - std::chrono::nanoseconds{before}.count()};
}

/// Reads a duration with a unit, such as "250ms", "3s", "10m" or "2h".
/// @return nothing where the unit or the number is missing
std::optional<std::chrono::milliseconds> parse_duration(std::string_view text);

/// Writes a duration in the largest unit that loses nothing.
std::string to_text(std::chrono::milliseconds value);

} // namespace citronwick

#endif

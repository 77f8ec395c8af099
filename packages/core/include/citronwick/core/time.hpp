#ifndef CITRONWICK_CORE_TIME_HPP_INCLUDED
#define CITRONWICK_CORE_TIME_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronwick {

/// Monotonic clock for all deadlines and leases.
using clock = std::chrono::steady_clock;
/// Instant on `clock`.
using time_point = clock::time_point;
/// Duration at the resolution of `clock`.
using duration = clock::duration;

/// Nanoseconds on CLOCK_BOOTTIME, which also advances while the VM is suspended.
enum class boot_time : std::int64_t {};

/// Current value of CLOCK_BOOTTIME.
boot_time boot_now();

/// Time that passed from `earlier` to `later`.
constexpr duration operator-(boot_time later, boot_time earlier) {
    return std::chrono::nanoseconds{static_cast<std::int64_t>(later) - static_cast<std::int64_t>(earlier)};
}

/// Instant that lies `offset` before `from`.
constexpr boot_time operator-(boot_time from, duration offset) {
    return boot_time{static_cast<std::int64_t>(from) - std::chrono::nanoseconds{offset}.count()};
}

/// Parses a duration with a unit, such as "250ms", "3s", "10m" or "2h".
/// @return nullopt if the number or the unit is missing or invalid
std::optional<std::chrono::milliseconds> parse_duration(std::string_view text);

/// Formats a duration as a whole number of the largest unit that represents it exactly.
std::string to_text(std::chrono::milliseconds value);

} // namespace citronwick

#endif

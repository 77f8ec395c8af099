#include "citronwick/core/time.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <utility>

namespace citronwick {

namespace {

using unit = std::pair<std::string_view, std::int64_t>;

/// Suffixes of the units with their lengths in milliseconds, longest first.
constexpr std::array<unit, 4> units{unit{"h", 3'600'000}, {"m", 60'000}, {"s", 1'000}, {"ms", 1}};

} // namespace

boot_time boot_now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto since_boot = std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec};
    return boot_time{since_boot.count()};
}

std::optional<std::chrono::milliseconds> parse_duration(std::string_view text) {
    std::int64_t count = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc{} || count < 0) {
        return std::nullopt;
    }
    const std::string_view suffix = text.substr(static_cast<std::size_t>(rest - text.data()));
    const auto* found = std::ranges::find(units, suffix, &unit::first);
    if (found == units.end()) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{count * found->second};
}

std::string to_text(std::chrono::milliseconds value) {
    const auto* largest = std::ranges::find_if(
        units, [&](const unit& candidate) { return value.count() % candidate.second == 0; });
    return std::to_string(value.count() / largest->second) + std::string{largest->first};
}

} // namespace citronwick

#include "citronwick/traffic/stream_end.hpp"

#include <array>

namespace citronwick {

std::string_view to_text(stream_end value) {
    constexpr std::array<std::string_view, 16> names{
        "framed",   "final-event",   "confirmed",       "known-last-event", "connection-closed", "unproved",
        "doubted",  "upstream-gone", "broken",          "incomplete-event", "overlong-event",    "no-memory",
        "deadline", "caller-left",   "out-of-sequence", "other-content"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace citronwick

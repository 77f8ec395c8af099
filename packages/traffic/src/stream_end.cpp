#include "citronwick/traffic/stream_end.hpp"

#include <array>

namespace citronwick {

std::string_view to_text(stream_end value) {
    constexpr std::array<std::string_view, 8> names{"framed",           "connection-closed", "broken",
                                                    "incomplete-event", "overlong-event",    "no-memory",
                                                    "deadline",         "caller-left"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace citronwick

#ifndef CITRONWICK_TRAFFIC_EVENT_FIELD_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_EVENT_FIELD_HPP_INCLUDED

#include <string_view>

namespace citronwick {

/// Field of a server-sent event. Both members refer to the line that was parsed.
struct event_field {
    std::string_view name; ///< empty for a comment
    std::string_view value;
};

/// Parses a line of a `text/event-stream` (HTML Standard, "Server-sent events").
/// @param line without its line end
event_field parse_event_field(std::string_view line);

} // namespace citronwick

#endif

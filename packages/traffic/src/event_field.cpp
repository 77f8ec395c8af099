#include "citronwick/traffic/event_field.hpp"

namespace citronwick {

event_field parse_event_field(std::string_view line) {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return {line, {}};
    }
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return {line.substr(0, colon), value};
}

} // namespace citronwick

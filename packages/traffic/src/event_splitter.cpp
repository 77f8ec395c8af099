#include "citronwick/traffic/event_splitter.hpp"

namespace citronwick {

namespace {

constexpr std::string_view boundary = "\n\n";
constexpr std::string_view id_field = "id: ";
constexpr std::string_view done_line = "data: [DONE]";

} // namespace

std::string event_splitter::push(std::string_view bytes) {
    pending_ += bytes;
    const auto last = pending_.rfind(boundary);
    if (last == std::string::npos) {
        return {};
    }
    std::string complete = pending_.substr(0, last + boundary.size());
    pending_.erase(0, complete.size());
    scan_lines(complete);
    return complete;
}

void event_splitter::scan_lines(std::string_view events) {
    while (!events.empty()) {
        const auto end = events.find('\n');
        const std::string_view line = events.substr(0, end);
        if (line.starts_with(id_field)) {
            last_event_id_ = line.substr(id_field.size());
        }
        done_ = done_ || line == done_line;
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
    }
}

} // namespace citronwick

#include "received_stream.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace citronwick::soak {

namespace {

constexpr std::int64_t event_count = 6;
constexpr std::string_view event_end = "\n\n";

std::string format_event(std::int64_t number, const std::string& version) {
    const std::string text = std::to_string(number);
    return "id: " + text + "\ndata: piece " + text + " of " + version + "\n\n";
}

/// The events in the form of `format_event`, whichever form workers wrote them in.
std::string normalize_events(std::string_view body) {
    std::string text{body};
    const auto replace_all = [&text](std::string_view from, std::string_view to) {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
            text.replace(at, from.size(), to);
        }
    };
    replace_all("\r\n", "\n");
    replace_all("\r", "\n");
    replace_all("id: ", "id:");
    replace_all("data: ", "data:");
    replace_all("id:", "id: ");
    replace_all("data:", "data: ");
    return text;
}

std::string on_one_line(std::string text) {
    std::ranges::replace(text, '\n', '/');
    return text;
}

} // namespace

received_stream::comparison received_stream::compare(std::string_view events,
                                                     const std::string& version) const {
    // What comes of an event without its end is compared, too, but the caller does not have that event.
    comparison result{.last_event = last_event_};
    while (result.is_in_order && !events.empty()) {
        const bool may_follow = result.last_event < event_count;
        const std::string next = may_follow ? format_event(result.last_event + 1, version) : std::string{};
        result.is_in_order = may_follow && next.starts_with(events.substr(0, next.size()));
        result.last_event += result.is_in_order && events.size() >= next.size() ? 1 : 0;
        events.remove_prefix(std::min(next.size(), events.size()));
    }
    return result;
}

received_stream received_stream::at(std::int64_t last_event) const {
    received_stream result = *this;
    result.last_event_ = last_event;
    return result;
}

std::optional<std::string> received_stream::add(std::string_view body, bool is_complete) {
    const std::string where = "behind event " + std::to_string(last_event_);
    const std::string events = normalize_events(body);
    std::vector<std::string> fitting;
    std::ranges::copy_if(versions_, std::back_inserter(fitting),
                         [&](const std::string& version) { return compare(events, version).is_in_order; });
    last_event_ = compare(events, fitting.empty() ? versions_.front() : fitting.front()).last_event;
    is_complete_ = is_complete;
    if (fitting.empty()) {
        return where + " came events that are missing, repeated or of another stream: " + on_one_line(events);
    }
    versions_ = std::move(fitting);
    const bool ends_within_event = !events.empty() && !events.ends_with(event_end);
    if (is_complete && (last_event_ < event_count || ends_within_event)) {
        return where + " the stream ended as complete, but lacks events: " + on_one_line(events);
    }
    return std::nullopt;
}

} // namespace citronwick::soak

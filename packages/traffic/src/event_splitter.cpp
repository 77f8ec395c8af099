#include "citronwick/traffic/event_splitter.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/traffic/event_field.hpp"

#include <charconv>
#include <utility>

namespace citronwick {

namespace {

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
constexpr std::string_view done_data = "[DONE]";
/// Longest identifier that is sent to an upstream to resume a stream after its event.
constexpr std::size_t max_id_bytes = 4'096;

/// @return none if the text is not a decimal number
std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t number = 0;
    const char* const begin = text.data();
    const char* const end = begin + text.size();
    const auto [parsed, error] = std::from_chars(begin, end, number);
    return error == std::errc{} && parsed == end ? std::optional{number} : std::nullopt;
}

} // namespace

complete_events event_splitter::push(std::string_view bytes) {
    pending_ += bytes;
    if (is_first_line_ && has_output_ && pending_.starts_with(byte_order_mark)) {
        // Within the caller's response it would be part of a field name.
        pending_.erase(0, byte_order_mark.size());
        scanned_ = 0;
    }
    auto end = pending_.find_first_of("\r\n", scanned_);
    while (end != std::string::npos) {
        end_line(end);
        end = pending_.find_first_of("\r\n", scanned_);
    }
    complete_events complete{pending_.substr(0, complete_bytes_), std::exchange(events_, {})};
    pending_.erase(0, complete_bytes_);
    line_begin_ -= complete_bytes_;
    scanned_ = pending_.size();
    complete_bytes_ = 0;
    has_output_ = has_output_ || !complete.bytes.empty();
    return complete;
}

/// @param end position of a line end character
void event_splitter::end_line(std::size_t end) {
    const bool is_cr = pending_[end] == '\r';
    const bool continues_line_end = !is_cr && std::exchange(ended_with_cr_, false) && end == line_begin_;
    if (!continues_line_end) {
        std::string_view line = std::string_view{pending_}.substr(line_begin_, end - line_begin_);
        if (std::exchange(is_first_line_, false) && line.starts_with(byte_order_mark)) {
            line.remove_prefix(byte_order_mark.size());
        }
        if (line.empty()) {
            end_event(end + 1);
        } else {
            read_field(line);
        }
        ended_with_cr_ = is_cr;
    }
    line_begin_ = end + 1;
    scanned_ = end + 1;
    if (is_event_empty_) {
        complete_bytes_ = end + 1;
    }
}

void event_splitter::read_field(std::string_view line) {
    is_event_empty_ = false;
    const auto [name, value] = parse_event_field(line);
    if (name == "data") {
        event_has_data_ = true;
        event_data_hash_ = hash_combine(event_data_hash_, hash64(value));
        event_is_final_ = event_is_final_ || value == done_data;
    } else if (name == "id" && value.find('\0') == std::string_view::npos) {
        // An event with an overlong identifier counts as one without.
        event_id_ = value.size() <= max_id_bytes ? value : std::string_view{};
    } else if (!weight_field_.empty() && name == weight_field_) {
        event_weight_version_ = parse_number(value);
    }
}

/// @param end position behind the event
void event_splitter::end_event(std::size_t end) {
    if (event_has_data_ || event_id_) {
        events_.push_back({end, std::move(event_id_), event_is_final_, event_has_data_, event_data_hash_,
                           event_weight_version_});
    }
    begin_event();
}

void event_splitter::begin_event() {
    is_event_empty_ = true;
    event_has_data_ = false;
    event_data_hash_ = 0;
    event_is_final_ = false;
    event_id_.reset();
    event_weight_version_.reset();
}

void event_splitter::discard_pending() {
    pending_.clear();
    events_.clear();
    line_begin_ = 0;
    scanned_ = 0;
    ended_with_cr_ = false;
    is_first_line_ = true;
    begin_event();
}

} // namespace citronwick

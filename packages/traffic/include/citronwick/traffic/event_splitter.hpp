#ifndef CITRONWICK_TRAFFIC_EVENT_SPLITTER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_EVENT_SPLITTER_HPP_INCLUDED

#include "citronwick/policy/stream_event.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citronwick {

/// Events that are complete.
struct complete_events {
    std::string bytes;                ///< as received, with the comments before and between the events
    std::vector<stream_event> events; ///< and the blocks that only set the last identifier
};

/// Splits a `text/event-stream` at event boundaries, so that a caller receives
/// complete events only.
///
/// Lines may end with LF, CR or CRLF. The bytes of complete events are not changed.
/// What the caller has received is not known here (`stream_position`).
class event_splitter {
public:
    /// @param weight_field name of the field by which events name the version of their weights, empty for
    /// none
    explicit event_splitter(std::string weight_field = {}) : weight_field_{std::move(weight_field)} {}

    /// Appends bytes of the stream.
    /// @return the events that are now complete
    complete_events push(std::string_view bytes);

    /// Number of buffered bytes of an incomplete event.
    std::size_t pending_bytes() const { return pending_.size(); }

    /// Discards an incomplete event before the stream is resumed on another upstream.
    void discard_pending();

private:
    void end_line(std::size_t end);
    void read_field(std::string_view line);
    void end_event(std::size_t end);
    void begin_event();

    std::string weight_field_;
    std::string pending_;
    std::size_t line_begin_ = 0;     ///< in `pending_`, of the line that is not complete yet
    std::size_t scanned_ = 0;        ///< bytes of `pending_` that were searched for a line end
    std::size_t complete_bytes_ = 0; ///< of `pending_`, that belong to complete events
    bool ended_with_cr_ = false;     ///< the last line; a following LF belongs to its end
    bool is_first_line_ = true;      ///< of a response, which may begin with a byte order mark
    bool is_event_empty_ = true;     ///< no line of the current event is complete
    bool event_has_data_ = false;
    std::uint64_t event_data_hash_ = 0;
    bool event_is_final_ = false;
    std::optional<std::string> event_id_;
    std::optional<std::uint64_t> event_weight_version_;
    std::vector<stream_event> events_; ///< complete ones in `pending_`
    bool has_output_ = false;          ///< `push` has returned bytes
};

} // namespace citronwick

#endif

#ifndef CITRONWICK_TRAFFIC_EVENT_SPLITTER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_EVENT_SPLITTER_HPP_INCLUDED

#include <optional>
#include <string>
#include <string_view>

namespace citronwick {

/// Splits a `text/event-stream` at event boundaries, so that a caller receives
/// complete events only, and tracks the event after which the stream can be resumed.
///
/// Lines may end with LF, CR or CRLF. The bytes of complete events are not changed.
class event_splitter {
public:
    /// Appends bytes of the stream.
    /// @return the events that are now complete, empty if none
    std::string push(std::string_view bytes);

    /// Whether the final event, whose data is "[DONE]", is complete.
    bool done() const { return done_; }

    /// The `id` field of the last complete event that has one, empty if none.
    const std::string& last_event_id() const { return last_event_id_; }

    /// Whether the stream can be resumed without repeating or omitting an event: no
    /// event is complete yet, or the last one has an id.
    bool is_resumable() const { return !has_events_ || last_event_has_id_; }

    /// Number of buffered bytes of an incomplete event.
    std::size_t pending_bytes() const { return pending_.size(); }

    /// Discards an incomplete event before the stream is resumed on another upstream.
    void discard_pending();

private:
    void end_line(std::size_t end);
    void read_field(std::string_view line);
    void end_event();
    void begin_event();

    std::string pending_;
    std::size_t line_begin_ = 0;     ///< in `pending_`, of the line that is not complete yet
    std::size_t scanned_ = 0;        ///< bytes of `pending_` that were searched for a line end
    std::size_t complete_bytes_ = 0; ///< of `pending_`, that belong to complete events
    bool ended_with_cr_ = false;     ///< the last line; a following LF belongs to its end
    bool is_first_line_ = true;      ///< of a response, which may begin with a byte order mark
    bool is_event_empty_ = true;     ///< no line of the current event is complete
    bool event_has_data_ = false;
    bool event_is_final_ = false;
    std::optional<std::string> event_id_;

    std::string last_event_id_;
    bool has_output_ = false; ///< `push` has returned bytes
    bool has_events_ = false;
    bool last_event_has_id_ = false;
    bool done_ = false;
};

} // namespace citronwick

#endif

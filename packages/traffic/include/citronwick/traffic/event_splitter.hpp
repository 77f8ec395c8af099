#ifndef CITRONWICK_TRAFFIC_EVENT_SPLITTER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_EVENT_SPLITTER_HPP_INCLUDED

#include <string>
#include <string_view>

namespace citronwick {

/// Splits a stream of server-sent events at event boundaries, so that a caller
/// receives complete events only.
class event_splitter {
public:
    /// Appends bytes of the stream.
    /// @return the events that are now complete, empty if none
    std::string push(std::string_view bytes);

    /// Whether the final event ("data: [DONE]") has been seen.
    bool done() const { return done_; }

    /// The `id` field of the last complete event that has one, empty if none.
    const std::string& last_event_id() const { return last_event_id_; }

    /// Number of buffered bytes of an incomplete event.
    std::size_t pending_bytes() const { return pending_.size(); }

    /// Discards an incomplete event before the stream is resumed on another upstream.
    void discard_pending() { pending_.clear(); }

private:
    void scan_lines(std::string_view events);

    std::string pending_;
    std::string last_event_id_;
    bool done_ = false;
};

} // namespace citronwick

#endif

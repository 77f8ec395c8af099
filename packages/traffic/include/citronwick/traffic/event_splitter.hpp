#ifndef CITRONWICK_TRAFFIC_EVENT_SPLITTER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_EVENT_SPLITTER_HPP_INCLUDED

#include <string>
#include <string_view>

namespace citronwick {

/// Cuts a stream of server-sent events at event boundaries, so that a caller
/// only ever receives whole events.
class event_splitter {
public:
    /// Takes in bytes of the stream.
    /// @return the whole events that they complete, empty if none
    std::string push(std::string_view bytes);

    /// Whether the closing event ("data: [DONE]") has passed.
    bool done() const { return done_; }

    /// Identifier of the last whole event that carried one, else empty.
    const std::string& last_event_id() const { return last_event_id_; }

    /// Bytes of an incomplete event that are held back.
    std::size_t pending() const { return pending_.size(); }

    /// Drops an incomplete event; the stream goes on elsewhere.
    void discard_pending() { pending_.clear(); }

private:
    void scan(std::string_view events);

    std::string pending_;
    std::string last_event_id_;
    bool done_ = false;
};

} // namespace citronwick

#endif

#ifndef CITRONWICK_TRAFFIC_STREAM_END_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_STREAM_END_HPP_INCLUDED

#include <cstdint>
#include <string_view>

namespace citronwick {

/// How the response of one upstream to a request for a stream ended.
enum class stream_end : std::uint8_t {
    framed,            ///< its length or last chunk shows that it is whole
    final_event,       ///< its last event says that none follows
    confirmed,         ///< it has none of these, and a second run had nothing to add
    known_last_event,  ///< it has none of these, and its last event is one that ends each stream of the
                       ///< version
    connection_closed, ///< it has none of these, and its upstream accepts connections after its close
    unproved,          ///< its connection was closed in order, which a process that ends does as well
    doubted,           ///< the same, and its upstream has closed another connection early and lived on
    upstream_gone,     ///< its connection was closed in order, and its upstream accepts no other
    broken,            ///< its connection broke, or a timeout passed
    incomplete_event,  ///< within an event
    overlong_event,
    no_memory, ///< to buffer an incomplete event
    deadline,
    caller_left,
    out_of_sequence, ///< an event does not follow those that the caller has
    other_content    ///< a run that should go on has another content type
};

std::string_view to_text(stream_end value);

} // namespace citronwick

#endif

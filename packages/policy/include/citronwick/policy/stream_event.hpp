#ifndef CITRONWICK_POLICY_STREAM_EVENT_HPP_INCLUDED
#define CITRONWICK_POLICY_STREAM_EVENT_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace citronwick {

/// A complete event of a `text/event-stream`, or a block of lines without data that sets the
/// stream's last identifier and is no event.
struct stream_event {
    std::size_t end = 0;             ///< offset behind the event in the bytes that it came with
    std::optional<std::string> id{}; ///< an empty one cannot be used to resume the stream
    bool is_final = false;           ///< its data says that no event follows
    bool has_data = true;            ///< it is an event
    std::uint64_t data_hash = 0;     ///< over the lines of its data
    /// Version of the weights with which it and those behind it were made, none if it names none.
    std::optional<std::uint64_t> weight_version{};
};

} // namespace citronwick

#endif

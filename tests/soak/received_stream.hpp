#ifndef CITRONWICK_TESTS_SOAK_RECEIVED_STREAM_HPP_INCLUDED
#define CITRONWICK_TESTS_SOAK_RECEIVED_STREAM_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick::soak {

/// Software versions of the engines, which their events name.
inline const std::vector<std::string> engine_versions{"v1", "v2"};

/// The events of one stream that its caller has, through whichever responses they came.
class received_stream {
public:
    /// Adds the events of a response and compares each with what has to come next.
    /// @param is_complete whether the response ended as complete
    /// @return what is wrong, empty if nothing is
    std::optional<std::string> add(std::string_view body, bool is_complete);

    /// Number of the last event, 0 if there is none.
    std::int64_t last_event() const { return last_event_; }

    bool is_complete() const { return is_complete_; }

    /// The same stream as a caller sees it that has its first `last_event` events.
    received_stream at(std::int64_t last_event) const;

private:
    /// What a response brings, if its stream is of a version.
    struct comparison {
        std::int64_t last_event = 0;
        bool is_in_order = true;
    };
    comparison compare(std::string_view events, const std::string& version) const;

    std::vector<std::string> versions_{engine_versions}; ///< that the events so far may be of
    std::int64_t last_event_ = 0;
    bool is_complete_ = false;
};

} // namespace citronwick::soak

#endif

#ifndef CITRONWICK_FLEET_LAST_EVENTS_HPP_INCLUDED
#define CITRONWICK_FLEET_LAST_EVENTS_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

namespace citronwick {

/// Remembers for a while with which event the streams of a service's version end, if all whole
/// streams end with the same data and none has it elsewhere. Then that event proves an end.
/// Thread-safe, used by the traffic threads.
class last_events {
public:
    /// Records the last event of a stream whose end is proved by other means.
    /// @param version see `begun_streams::version_hash`
    /// @param data hash of the event's data
    void record_end(std::uint32_t version, std::uint64_t data, time_point now);

    /// Records that an event followed the one that ended the version's streams so far.
    void record_followed(std::uint32_t version, time_point now);

    /// Hash of the data with which the streams seen so far ended. One stream shows it.
    std::optional<std::uint64_t> last_event_of(std::uint32_t version, time_point now) const;

    /// Whether enough streams ended with these data for a proof.
    bool is_last_event(std::uint32_t version, std::uint64_t data, time_point now) const;

    /// Removes expired entries.
    void expire(time_point now);

private:
    struct entry {
        std::uint64_t data = 0;
        std::size_t streams = 0; ///< that ended with these data
        bool varies = false;     ///< streams end with others, too, or some have these elsewhere
        time_point seen_at;
    };

    const entry* find(std::uint32_t version, time_point now) const;

    mutable std::mutex mutex_;
    std::map<std::uint32_t, entry> entries_; ///< by version
};

} // namespace citronwick

#endif

#ifndef CITRONWICK_FLEET_BEGUN_STREAMS_HPP_INCLUDED
#define CITRONWICK_FLEET_BEGUN_STREAMS_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>

namespace citronwick {

/// Remembers for a while at which service and version this router saw streams begin or go on.
/// Thread-safe: traffic threads record, the control thread answers other routers.
class begun_streams {
public:
    /// Time after which no caller takes a stream up any more.
    static constexpr duration lifetime = std::chrono::seconds{60};

    /// Identifies a stream of a team by the attempt that brought its first event.
    static std::uint64_t key(std::string_view team, std::string_view attempt);

    /// Identifies a version of a service.
    static std::uint32_t version_hash(std::string_view service, std::string_view version);

    /// @param version see `version_hash`
    void record(std::uint64_t key, std::uint32_t version, time_point now);

    std::optional<std::uint32_t> version_of(std::uint64_t key, time_point now) const;

    /// Whether the streams that are not known were not relayed by this process lately.
    bool is_complete(time_point now) const;

    /// Removes expired streams.
    void expire(time_point now);

private:
    struct entry {
        std::uint32_t version = 0;
        time_point recorded_at;
    };

    mutable std::mutex mutex_;
    std::map<std::uint64_t, entry> entries_;
    std::optional<time_point> omitted_at_; ///< when a stream last found no room
};

} // namespace citronwick

#endif

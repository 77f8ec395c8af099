#ifndef CITRONWICK_FLEET_EARLY_CLOSERS_HPP_INCLUDED
#define CITRONWICK_FLEET_EARLY_CLOSERS_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace citronwick {

/// Remembers for a while which upstreams have closed a connection before the end of its stream and
/// lived on. Such a close of theirs is no proof that a stream is whole.
///
/// Kept by incarnation: nothing is known of the process that takes an upstream's place, nor of others
/// of its service. Thread-safe, used by the traffic threads. Every change is logged.
class early_closers {
public:
    /// Records that an upstream closed a connection early.
    /// @param upstream hash of its incarnation
    /// @param id for the log
    void record(std::uint64_t upstream, const std::string& id, time_point now);

    /// Time since an upstream last closed a connection early, none if it has not lately.
    std::optional<duration> age(std::uint64_t upstream, time_point now) const;

    /// Removes expired entries.
    void expire(time_point now);

private:
    struct entry {
        std::string id;
        time_point closed_at;
    };

    mutable std::mutex mutex_;
    std::map<std::uint64_t, entry> entries_; ///< by the hash of the incarnation
};

} // namespace citronwick

#endif

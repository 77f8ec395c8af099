#ifndef CITRONWICK_POLICY_PREFIX_DIRECTORY_HPP_INCLUDED
#define CITRONWICK_POLICY_PREFIX_DIRECTORY_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/policy/prompt.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace citronwick {

/// Tracks which upstreams have recently processed which prompt prefixes.
///
/// The contents are an estimate: engines evict unused cache entries without
/// notice, and a router knows only its own placements and those that other
/// routers report.
class prefix_directory {
public:
    /// @param retention time after its last use during which a prefix is expected to be cached
    explicit prefix_directory(duration retention) : retention_{retention} {}

    /// Records that an upstream processes the prefix.
    /// @return whether the upstream was not expected to hold it already
    bool record(std::uint64_t prefix, std::uint64_t upstream, time_point now);

    /// Whether the upstream is expected to have the prefix in its cache.
    /// @param min_age time since the upstream was sent the prefix, after which it counts
    bool holds(std::uint64_t prefix, std::uint64_t upstream, time_point now,
               duration min_age = duration::zero()) const;

    /// Length in tokens of the longest prefix that the upstream is expected to hold.
    /// @param prefixes prefixes of one prompt, shortest first
    /// @param min_age time since the upstream was sent the prefix, after which it counts
    std::uint32_t cached_tokens(const std::vector<shared_prefix>& prefixes, std::uint64_t upstream,
                                time_point now, duration min_age = duration::zero()) const;

    /// Number of upstreams that are expected to hold the prefix.
    std::size_t holder_count(std::uint64_t prefix, time_point now) const;

    /// Removes entries that were not used within the retention time.
    void expire(time_point now);

private:
    struct holder {
        std::uint64_t upstream = 0;
        time_point held_since;
        time_point used_at;
    };

    duration retention_;
    std::unordered_map<std::uint64_t, std::vector<holder>> holders_;
};

} // namespace citronwick

#endif

#ifndef CITRONWICK_POLICY_PREFIX_DIRECTORY_HPP_INCLUDED
#define CITRONWICK_POLICY_PREFIX_DIRECTORY_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/policy/prompt.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace citronwick {

/// Where the beginnings of prompts were read lately.
///
/// What the directory says is an estimate: engines drop what was not used for
/// long without saying so, and a router sees its own placements and those
/// that other routers report.
class prefix_directory {
public:
    /// @param memory time after its last use for which a beginning is expected to be cached
    explicit prefix_directory(duration memory) : memory_{memory} {}

    /// Notes that an upstream reads the beginning.
    /// @return whether the upstream was not known to hold it
    bool record(std::uint64_t prefix, std::uint64_t upstream, time_point now);

    /// Whether the upstream is expected to hold the beginning.
    bool holds(std::uint64_t prefix, std::uint64_t upstream, time_point now) const;

    /// Tokens of the longest beginning that the upstream is expected to hold.
    std::uint32_t cached_tokens(const std::vector<shared_prefix>& prefixes, std::uint64_t upstream,
                                time_point now) const;

    /// Upstreams that are expected to hold the beginning.
    std::size_t holders(std::uint64_t prefix, time_point now) const;

    /// Forgets what was not used for long.
    void expire(time_point now);

private:
    struct holder {
        std::uint64_t upstream = 0;
        time_point used_at;
    };

    duration memory_;
    std::unordered_map<std::uint64_t, std::vector<holder>> holders_;
};

} // namespace citronwick

#endif

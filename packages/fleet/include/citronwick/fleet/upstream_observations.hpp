#ifndef CITRONWICK_FLEET_UPSTREAM_OBSERVATIONS_HPP_INCLUDED
#define CITRONWICK_FLEET_UPSTREAM_OBSERVATIONS_HPP_INCLUDED

#include "citronwick/core/hash.hpp"
#include "citronwick/policy/prefix_directory.hpp"
#include "citronwick/policy/upstream_health.hpp"
#include "citronwick/wire/messages.hpp"

#include <cstdint>
#include <deque>
#include <mutex>
#include <set>
#include <vector>

namespace citronwick {

/// What routers have observed about upstreams while sending requests: their
/// health, and the prompt prefixes that they have cached. Shared by the traffic
/// threads; the control thread exchanges it with other routers.
class upstream_observations {
public:
    upstream_observations();

    void record_unreachable(std::uint64_t upstream, time_point now);
    void record_outcome(std::uint64_t upstream, bool succeeded, time_point now);

    /// Records that a prompt was sent to an upstream.
    void record_prompt(const std::vector<shared_prefix>& prefixes, std::uint64_t upstream, time_point now);

    /// What is known about one upstream with regard to a request.
    struct summary {
        std::uint32_t cached_tokens = 0;
        std::uint32_t source_tokens = 0; ///< cached for long enough that other engines can fetch them
        bool is_reachable = true;
        bool is_outlier = false;
    };

    /// @param upstreams hashes of all upstreams of the service
    /// @return one summary for each upstream, in the same order
    std::vector<summary> summaries(const std::vector<std::uint64_t>& upstreams,
                                   const std::vector<shared_prefix>& prefixes, time_point now) const;

    /// Moves observations that other routers have not been sent yet into a message,
    /// as many as one message may hold.
    void add_updates(wire::gossip& message);

    /// Whether received observations are relayed: not where the sender reaches
    /// all routers itself, and once by each router where it reaches only a few.
    enum class relay : std::uint8_t { none, once };

    /// Merges the observations of another router.
    void merge(const wire::gossip& message, relay mode, time_point now);

    /// Removes prefixes that have not been used recently, and the health of
    /// upstreams that are no longer known.
    /// @param upstreams hashes of the known upstreams
    void expire(const std::set<std::uint64_t>& upstreams, time_point now);

private:
    void enqueue(const wire::prefix_entry& entry);

    mutable std::mutex mutex_;
    upstream_health health_;
    prefix_directory prefixes_;
    std::deque<wire::prefix_entry> pending_prefixes_; ///< not sent yet
};

} // namespace citronwick

#endif

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

/// What routers have learnt about upstreams from the requests that they sent:
/// who answers well and who holds which beginnings of prompts. Shared by the
/// traffic threads; the control thread exchanges it with other routers.
class upstream_observations {
public:
    upstream_observations();

    void record_unreachable(std::uint64_t upstream, time_point now);
    void record_answer(std::uint64_t upstream, bool good, time_point now);

    /// Notes that an upstream was sent a prompt.
    void record_prompt(const std::vector<shared_prefix>& prefixes, std::uint64_t upstream, time_point now);

    /// What is known of one upstream for a request.
    struct summary {
        std::uint32_t cached_tokens = 0;
        bool is_reachable = true;
        bool is_outlier = false;
    };

    /// @param upstreams all of the service
    std::vector<summary> summaries(const std::vector<std::uint64_t>& upstreams,
                                   const std::vector<shared_prefix>& prefixes, time_point now) const;

    /// Adds what other routers should know to a message.
    void add_updates(wire::gossip& message);

    /// How what another router says spreads: it told everybody, or only a few,
    /// so that each router tells it onward once.
    enum class relay : std::uint8_t { none, once };

    /// Takes in what another router says.
    void merge(const wire::gossip& message, relay mode, time_point now);

    /// Forgets what was not used for long, and upstreams that have gone.
    void expire(const std::set<std::uint64_t>& upstreams, time_point now);

private:
    void enqueue(const wire::prefix_entry& entry);

    mutable std::mutex mutex_;
    upstream_health health_;
    prefix_directory prefixes_;
    std::deque<wire::prefix_entry> pending_prefixes_; ///< not told yet
};

} // namespace citronwick

#endif

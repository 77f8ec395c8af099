#ifndef CITRONWICK_FLEET_REACH_MONITOR_HPP_INCLUDED
#define CITRONWICK_FLEET_REACH_MONITOR_HPP_INCLUDED

#include "citronwick/core/snapshot.hpp"
#include "citronwick/fleet/fleet_directory.hpp"
#include "citronwick/policy/peer_selector.hpp"
#include "citronwick/policy/upstream_reach.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace citronwick {

/// What the threads of a router know of its own connections to the upstreams, and of the routers
/// through which it reaches them otherwise. Thread-safe.
class reach_monitor {
public:
    reach_monitor();

    void record_reached(std::uint64_t upstream, time_point now);
    void record_not_reached(std::uint64_t upstream, upstream_reach::connect_failure cause, time_point now);
    void record_reached_by_peer(std::uint64_t upstream, time_point now);

    /// Records that a request was sent on a direct connection, or that bytes arrived on one.
    void record_sent(time_point now);
    void record_received() { unanswered_since_.store(0, std::memory_order_relaxed); }

    /// See `upstream_reach`.
    std::vector<std::uint64_t> due_probes(const std::vector<std::uint64_t>& known, time_point now);
    /// Whether `due_probes` may have any.
    bool needs_check() const;
    bool is_cut() const { return is_cut_.load(std::memory_order_relaxed); }
    bool connections_hang() const { return connections_hang_.load(std::memory_order_relaxed); }

    /// Live routers in the order in which a request should try them. See `peer_selector`.
    std::vector<fleet_peer> ranked_peers(std::uint64_t request, time_point now) const;
    void record_peer_failure(std::uint64_t peer, time_point now);
    /// Whether a router may relay requests now: it is live and does not stop.
    bool may_relay(const fleet_peer& peer) const;

    std::shared_ptr<const fleet_directory> directory() const { return directory_.load(); }
    void set_directory(fleet_directory next);

    /// Number of the next message over TCP of this incarnation.
    std::uint32_t next_sequence() { return sequence_.fetch_add(1, std::memory_order_relaxed) + 1; }

private:
    void publish();

    mutable std::mutex mutex_;
    upstream_reach reach_;
    peer_selector peers_;
    std::atomic<bool> is_cut_{false};
    std::atomic<bool> connections_hang_{false};
    std::atomic<bool> has_failures_{false};
    std::atomic<duration::rep> unanswered_since_{0}; ///< 0 if there is none
    std::atomic<std::uint32_t> sequence_{0};
    snapshot<fleet_directory> directory_;
};

} // namespace citronwick

#endif

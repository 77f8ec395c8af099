#ifndef CITRONWICK_POLICY_UPSTREAM_REACH_HPP_INCLUDED
#define CITRONWICK_POLICY_UPSTREAM_REACH_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace citronwick {

/// Decides whether a router is cut from the upstreams while other routers reach them.
///
/// A router is cut if its latest connects to several distinct upstreams failed, none has succeeded
/// since, and another router connected to one of these upstreams meanwhile. If no router connects,
/// the upstreams are down, and the router is not cut. Two connects in a row to distinct upstreams
/// end the cut.
class upstream_reach {
public:
    /// How a connect to an upstream failed.
    enum class connect_failure : std::uint8_t { refused, timed_out };

    /// Records that a new connection to an upstream works.
    void record_reached(std::uint64_t upstream, time_point now);

    /// Records that a new connection to an upstream could not be opened.
    void record_not_reached(std::uint64_t upstream, connect_failure cause, time_point now);

    /// Records that another router has connected to an upstream.
    void record_reached_by_peer(std::uint64_t upstream, time_point now);

    /// Upstreams to connect to now, to confirm or refute that this router is cut. The caller records
    /// the results, and asks another router about those that it does not reach.
    /// @param known hashes of all upstreams
    /// @param unanswered_since when the oldest request was sent since an upstream last responded
    std::vector<std::uint64_t> due_probes(const std::vector<std::uint64_t>& known,
                                          std::optional<time_point> unanswered_since, time_point now);

    bool is_cut() const { return is_cut_; }

    /// Whether a connect has failed since one last succeeded.
    bool has_failures() const { return !failures_.empty(); }

    /// Whether open connections must be expected to hang, too.
    bool connections_hang() const { return is_cut_ && connections_hang_; }

private:
    struct failed_connect {
        time_point failed_at;
        bool reached_by_peer = false;
    };

    void update(time_point now);
    std::vector<std::uint64_t> next_targets(const std::vector<std::uint64_t>& known, std::size_t count);

    std::map<std::uint64_t, failed_connect> failures_; ///< since a connect last succeeded
    std::set<std::uint64_t> reached_;                  ///< in a row while cut
    std::size_t known_count_ = 0;
    std::uint64_t cursor_ = 0;
    std::optional<time_point> next_probe_at_;
    bool is_cut_ = false;
    bool connections_hang_ = false;
};

} // namespace citronwick

#endif

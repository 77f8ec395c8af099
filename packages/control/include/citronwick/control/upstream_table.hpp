#ifndef CITRONWICK_CONTROL_UPSTREAM_TABLE_HPP_INCLUDED
#define CITRONWICK_CONTROL_UPSTREAM_TABLE_HPP_INCLUDED

#include "citronwick/control/fleet_view.hpp"
#include "citronwick/control/vm_list.hpp"
#include "citronwick/core/time.hpp"
#include "citronwick/wire/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronwick {

/// State of an upstream as observed by a probe or through a response.
struct upstream_observation {
    bool reachable = false;
    double in_flight = 0.0;
    std::uint64_t incarnation = 0; ///< 0 if the source does not know it
    bool leaving = false;
    time_point at;
};

/// State of all upstreams of the region, merged from the VM list, probes, messages
/// of other routers and this router's own requests. Used by the control thread only.
///
/// Each upstream has one count owner: the router that adds up the requests which all
/// routers have in flight on it.
class upstream_table {
public:
    explicit upstream_table(std::string region);

    /// Sets the failure domains whose routers are all silent, with the time of the
    /// last message from each domain. Their upstreams may be cut off as well and count
    /// as unreachable until an observation newer than that time arrives.
    void set_silent_domains(std::map<std::string, time_point> domains);

    /// Replaces the set of upstreams, keeping the counters of those that remain.
    void apply_vm_list(const std::vector<listed_vm>& vms, time_point now);

    /// Sets the names of the upstreams that operators have drained.
    void set_drained(const std::vector<std::string>& names);

    /// Sets the failure domains to whose upstreams operators want nothing sent.
    void set_evacuated(const std::vector<std::string>& failure_domains);

    /// Stores an observation if it is newer than the previous one.
    /// @return whether it was stored
    bool observe(std::uint32_t upstream, const upstream_observation& seen);

    /// Whether the upstream was reachable at the last observation; true if there is none.
    bool is_reachable(std::uint32_t upstream) const;

    /// Records the result of this router's own attempt to connect.
    void record_connect_result(std::uint32_t upstream, bool succeeded, time_point now);

    /// Marks an incarnation as leaving. Marks of older incarnations are ignored, so
    /// that messages may arrive in any order.
    /// @return whether the mark is new
    bool mark_leaving(std::uint32_t upstream, std::uint64_t incarnation);

    using count_owner_lookup = std::function<std::uint64_t(std::uint64_t upstream)>;

    /// Assigns each upstream's count to a router.
    /// @param self hash of this router
    /// @return upstreams whose count owner has changed
    std::vector<std::uint32_t> assign_count_owners(const count_owner_lookup& count_owner, std::uint64_t self);

    /// @return hash of the router that owns the upstream's count, 0 if the upstream is unknown
    std::uint64_t count_owner(std::uint32_t upstream) const;

    /// Records the requests that another router has in flight on upstreams whose
    /// count this router owns.
    void record_peer_usage(std::uint64_t router, const std::vector<wire::usage_entry>& usage);

    /// Records a count published by its owner.
    /// @param in_flight requests of all routers, including this one
    void record_count(std::uint32_t upstream, std::int32_t in_flight, time_point now);

    /// Records a count from the count owner's reply to this router.
    /// @param in_flight requests of the other routers
    void record_remote_in_flight(std::uint32_t upstream, std::int32_t in_flight, time_point now);

    /// Decides whether another router may send one more request to an upstream whose
    /// count this router owns, and counts the request if it is granted.
    wire::slot_reply decide_slot_request(std::uint64_t router, const wire::slot_request& request);

    /// Drops the usage reported by routers that are no longer live.
    void remove_peers(const std::vector<std::uint64_t>& routers);

    /// Re-estimates the requests of other routers on upstreams without a fresh count
    /// from their count owner.
    /// @param all_live whether every known router is live, so that the counts owned by
    ///        this router are complete
    void refresh_estimates(bool all_live, time_point now);

    /// Builds the traffic threads' view of all upstreams, by service.
    std::map<std::string, std::vector<upstream_view>, std::less<>> view(time_point now) const;

    /// This router's in-flight requests on one upstream.
    std::uint16_t local_in_flight(std::uint32_t upstream) const;

    /// This router's in-flight requests on each upstream.
    std::vector<wire::usage_entry> local_usage() const;

    /// Counts that this router owns.
    std::vector<wire::count_entry> owned_counts() const;

    /// Leaving marks to gossip.
    std::vector<wire::leaving_entry> leaving_marks() const;

    /// Upstream to probe.
    struct probe_target {
        std::uint32_t upstream = 0; ///< short hash of the name
        std::uint64_t hash = 0;
        std::string name;
        endpoint address;
    };
    std::vector<probe_target> probe_targets() const;

private:
    struct entry {
        listed_vm vm;
        std::uint64_t hash = 0;
        time_point joined_at;
        std::uint64_t incarnation = 0;
        std::shared_ptr<upstream_usage> usage;
        std::optional<upstream_observation> report;
        std::int32_t local_in_flight_at_report = 0;
        std::optional<time_point> connect_failed_at;
        std::uint64_t count_owner = 0;
        std::map<std::uint64_t, std::uint16_t> peer_usage; ///< by router, if this router owns the count
        time_point count_received_at; ///< time of the last count from another router that owns it
    };

    bool may_be_partitioned(const entry& upstream) const;
    availability state_of(const entry& upstream, time_point now) const;
    static std::int32_t sum_peer_usage(const entry& upstream);

    std::string region_;
    std::uint64_t self_ = 0;
    std::map<std::uint32_t, entry> entries_;
    std::set<std::string> drained_;
    std::set<std::string> evacuated_;                ///< failure domains
    std::map<std::uint32_t, std::uint64_t> leaving_; ///< highest leaving incarnation
    std::map<std::string, time_point> silent_domains_;
};

} // namespace citronwick

#endif

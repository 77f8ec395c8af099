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

/// What a prober or a response says of an upstream.
struct upstream_observation {
    bool reachable = false;
    double in_flight = 0.0;
    std::uint64_t incarnation = 0; ///< 0 where the source does not know it
    bool leaving = false;
    time_point at;
};

/// The control thread's knowledge of all upstreams, merged from the VM list,
/// probes, other routers' messages and this router's own requests.
class upstream_table {
public:
    explicit upstream_table(std::string region);

    /// Sets the failure domains whose routers went silent, and since when. Their
    /// upstreams may be cut off with them and count as unreachable until they
    /// were seen after that.
    void set_silent_domains(std::map<std::string, time_point> domains);

    /// Replaces the set of upstreams. Counters of those that stay are kept.
    void apply_vm_list(const std::vector<listed_vm>& vms, time_point now);

    /// Upstreams that operators have drained, by name.
    void set_drained(const std::vector<std::string>& names);

    /// Takes in an observation if it is newer than the last one.
    /// @return whether anything changed
    bool observe(std::uint32_t upstream, const upstream_observation& seen);

    /// Whether the last observation reached the upstream; true while there is none.
    bool is_reachable(std::uint32_t upstream) const;

    /// Notes the outcome of this router's own attempt to connect.
    void record_connect_result(std::uint32_t upstream, bool succeeded, time_point now);

    /// Takes in a mark that an incarnation is leaving; older news never undoes it.
    /// @return whether the mark is new
    bool mark_leaving(std::uint32_t upstream, std::uint64_t incarnation);

    /// Sets which upstreams' counts this router keeps.
    /// @return upstreams whose keeper has changed
    using count_owner_lookup = std::function<std::uint64_t(std::uint64_t upstream)>;
    std::vector<std::uint32_t> assign_count_owners(const count_owner_lookup& count_owner, std::uint64_t self);

    /// Router that keeps the count of an upstream, 0 where the upstream is unknown.
    std::uint64_t count_owner(std::uint32_t upstream) const;

    /// Takes in the requests that another router has on upstreams whose count
    /// this router keeps.
    void record_peer_usage(std::uint64_t router, const std::vector<wire::usage_entry>& usage);

    /// Takes in a count by the router that keeps it.
    /// @param in_flight requests of all routers
    void record_count(std::uint32_t upstream, std::int32_t in_flight, time_point now);

    /// Takes in a keeper's answer.
    /// @param in_flight requests of the routers other than this one
    void record_remote_in_flight(std::uint32_t upstream, std::int32_t in_flight, time_point now);

    /// Decides whether another router may send one more request to an upstream
    /// whose count this router keeps, and counts it if so.
    wire::slot_reply decide_slot_request(std::uint64_t router, const wire::slot_request& request);

    /// Drops what routers said that are not heard any more.
    void remove_peers(const std::vector<std::uint64_t>& routers);

    /// Brings the estimates up to date where no keeper's count is fresh.
    /// @param all_heard whether every known router is live, so that the keepers'
    ///        counts are whole
    void refresh_estimates(bool all_live, time_point now);

    /// Builds the traffic threads' view of all upstreams.
    std::map<std::string, std::vector<upstream_view>, std::less<>> view(time_point now) const;

    /// Own requests in flight on one upstream.
    std::uint16_t local_in_flight(std::uint32_t upstream) const;

    /// Own requests in flight on each upstream.
    std::vector<wire::usage_entry> local_usage() const;

    /// Counts that this router keeps.
    std::vector<wire::count_entry> owned_counts() const;

    /// Marks to repeat in gossip.
    std::vector<wire::leaving_entry> leaving_marks() const;

    /// Addresses to probe, with each upstream's short hash.
    struct probe_target {
        std::uint32_t upstream = 0;
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
        std::map<std::uint64_t, std::uint16_t> peer_usage; ///< where this router keeps the count
        time_point count_received_at;                      ///< when another owner last sent its count
    };

    bool may_be_partitioned(const entry& upstream) const;
    availability state_of(const entry& upstream, time_point now) const;
    static std::int32_t sum_peer_usage(const entry& upstream);

    std::string region_;
    std::uint64_t self_ = 0;
    std::map<std::uint32_t, entry> entries_;
    std::set<std::string> drained_;
    std::map<std::uint32_t, std::uint64_t> leaving_; ///< highest leaving incarnation
    std::map<std::string, time_point> silent_domains_;
};

} // namespace citronwick

#endif

#ifndef CITRONWICK_FLEET_ROUTING_VIEW_HPP_INCLUDED
#define CITRONWICK_FLEET_ROUTING_VIEW_HPP_INCLUDED

#include "citronwick/config/routing_configuration.hpp"
#include "citronwick/core/store_position.hpp"
#include "citronwick/core/time.hpp"
#include "citronwick/fleet/upstream_entry.hpp"
#include "citronwick/policy/cold_places.hpp"
#include "citronwick/policy/send_window.hpp"
#include "citronwick/policy/version_slots.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

class upstream_limits;

/// Load on one upstream: this router's, counted by the traffic threads, and
/// that of the other routers as they last reported it.
struct upstream_load {
    std::atomic<std::int32_t> in_flight{0};
    std::atomic<std::int32_t> backlog{0}; ///< prompt tokens sent whose response has not begun
    std::atomic<std::int32_t> remote_in_flight{0};
    std::atomic<std::int32_t> remote_backlog{0};
    /// Time that work takes there, as a multiple of the usual one, averaged over its last reports.
    std::atomic<double> slowness{1.0};
    std::atomic<std::int32_t> connections{0}; ///< open connections from this router
    /// Of this router's places, if the upstream is brittle: by its own requests, and lent to others.
    std::atomic<std::int32_t> taken_places{0};
    send_window cold_sends; ///< of this router while the upstream is cold
};

/// One of this router's places on an upstream, taken for the lifetime of the object.
class taken_place {
public:
    explicit taken_place(std::shared_ptr<upstream_load> load);
    taken_place(const taken_place&) = delete;
    taken_place& operator=(const taken_place&) = delete;
    ~taken_place();

    /// Places that were taken when this one was added, itself included.
    std::int32_t taken_then() const { return taken_then_; }

private:
    std::shared_ptr<upstream_load> load_;
    std::int32_t taken_then_;
};

/// An upstream that accepts requests.
struct routed_upstream {
    upstream_entry entry;
    std::uint64_t hash = 0; ///< of identifier and incarnation
    std::shared_ptr<upstream_load> load;
    time_point cold_until{};            ///< bears few requests only before
    std::optional<cold_allowance> cold; ///< of this router until then, none for no limit

    bool is_cold(time_point now) const { return cold && now < cold_until; }
};

/// Immutable snapshot on which traffic threads base their routing decisions.
struct routing_view {
    std::shared_ptr<const routing_configuration> config; ///< null before the first configuration
    std::map<std::string, std::vector<routed_upstream>, std::less<>> upstreams; ///< by service
    /// Upstreams that accept no new requests but still run, by service.
    std::map<std::string, std::vector<routed_upstream>, std::less<>> leaving;
    std::size_t live_routers = 1;              ///< including this one
    std::size_t known_routers = 1;             ///< registered routers, including this one
    std::vector<std::uint64_t> active_routers; ///< hashes of those that may send requests, and this one
    std::vector<std::uint64_t> heard_routers;  ///< hashes of the live ones, and this one
    std::uint64_t self = 0;                    ///< hash of this router
    /// Assignment of resumable streams to software versions, by service.
    std::map<std::string, std::shared_ptr<const version_slots>, std::less<>> stream_versions;
    /// Services whose assignment may be that of a copy from which the store came back, and until when.
    std::map<std::string, time_point, std::less<>> unproven_versions;
    time_point config_changed_at; ///< as seen by this router
    store_position position{};    ///< of the store, up to which this view includes all changes
    /// Failure domains whose upstreams get nothing by the operators' order.
    std::size_t evacuated_domains = 0;
    std::map<std::string, std::size_t, std::less<>> evacuated; ///< number of these upstreams, by service
    std::size_t unusable_entries = 0; ///< of the store, from which no upstream can be read

    /// The upstream of the service that accepts new requests under a hash, null if there is none.
    const routed_upstream* find(std::string_view service, std::uint64_t upstream) const;

    /// Hashes of the routers between which the places of an upstream are divided. A brittle one must not
    /// get more than it bears, so all that may send count; one that is short of room loses no places
    /// to routers that are not heard.
    const std::vector<std::uint64_t>& place_sharers(bool is_short) const;

    /// Whether an incarnation is an upstream of the service that accepts new requests.
    /// @param upstream its hash
    bool accepts_requests(std::string_view service, std::uint64_t upstream) const;
};

/// Places of this router on one upstream that it may lend.
struct lendable_places {
    std::shared_ptr<upstream_load> load;
    std::int32_t own = 0; ///< see `brittle_places`
};

/// @param upstream short hash of its incarnation
/// @param limits tell whether it is short of room
/// @return none if the view has no such upstream that accepts requests
std::optional<lendable_places> places_to_lend(const routing_view& view, std::uint32_t upstream,
                                              const upstream_limits& limits, time_point now);

/// Hash that identifies an incarnation of an upstream.
std::uint64_t upstream_hash(const upstream_entry& entry);

} // namespace citronwick

#endif

#ifndef CITRONWICK_FLEET_STORE_OUTAGE_HPP_INCLUDED
#define CITRONWICK_FLEET_STORE_OUTAGE_HPP_INCLUDED

#include "citronwick/core/time.hpp"

#include <optional>

namespace citronwick {

/// Time in which the store served the fleet without a pause that is long enough for
/// leases to expire.
struct service_span {
    time_point begin;
    time_point end; ///< latest moment of service known
};

/// Estimates when the platform's store was down for the whole fleet, so that
/// entries whose leases expired meanwhile can be told from upstreams that left.
///
/// An outage lasts from the last to the next moment at which the store is known to
/// have served any router, if a call of this router failed in between. This
/// router's own calls alone would make outages too long: most routers call the
/// store rarely, and the store may reject some routers while it serves the others. A
/// router that was cut off from the store and from the others learns afterwards, from
/// their service spans, that what it took for an outage was none.
class store_outage {
public:
    /// @param grace time after an outage in which expired entries reappear
    explicit store_outage(duration grace) : grace_{grace} {}

    /// Records that a call of this router failed.
    void record_failure(time_point now);

    /// Records that the store served this router or another one.
    /// @param served_at latest moment at which it is known to have done so
    /// @return the length of the outage that has ended, if there was one
    std::optional<duration> record_service(time_point served_at);

    /// Records that the store has come back from a copy. Entries that were written
    /// after the copy was taken are missing until they are written again.
    void record_restoration(time_point now) { restoration_window_end_ = now + grace_; }

    /// Records that a peer has seen an outage.
    /// @param end of its lapse window
    void extend_lapse_window(time_point end);

    /// Records the service span that a peer knows.
    void record_peer_span(service_span span);

    /// Latest service span that this router knows; empty before the first service.
    std::optional<service_span> span() const { return span_; }

    /// Time until which missing entries may have expired during an outage; none
    /// if no outage has ended recently.
    std::optional<time_point> lapse_window_end(time_point now) const;

private:
    void extend_span(service_span other);
    bool is_served_throughout(service_span outage) const;

    duration grace_;
    std::optional<time_point> failing_since_; ///< first failed call since `served_at_`
    std::optional<time_point> served_at_;     ///< latest moment of service known
    std::optional<service_span> span_;
    std::optional<service_span> outage_; ///< the latest, seen by this router or a peer
    std::optional<time_point> restoration_window_end_;
};

} // namespace citronwick

#endif

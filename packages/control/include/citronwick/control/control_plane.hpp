#ifndef CITRONWICK_CONTROL_CONTROL_PLANE_HPP_INCLUDED
#define CITRONWICK_CONTROL_CONTROL_PLANE_HPP_INCLUDED

#include "citronwick/control/control_meter.hpp"
#include "citronwick/control/control_settings.hpp"
#include "citronwick/control/fleet_view.hpp"
#include "citronwick/core/failure.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace citronwick {

class claim_registry;
class suspect_registry;

/// Result of a slot reservation at the router that owns an upstream's count.
enum class slot_decision : std::uint8_t {
    granted,    ///< the upstream has room for the request
    denied,     ///< the upstream is at its limit; the local estimate has been corrected
    unconfirmed ///< no reply in time, no known owner or no budget: the local estimate decides
};

/// Owns the control thread, which maintains membership, configuration, upstream
/// states and claims.
///
/// Only the control thread changes this state. It publishes immutable snapshots
/// that traffic threads read without blocking.
class control_plane {
public:
    /// @param incarnation increases with each start of this VM's router
    control_plane(control_settings settings, std::uint64_t incarnation);
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;
    ~control_plane();

    /// Opens the fleet channel and starts the thread.
    /// @return the bound fleet endpoint
    io_result<endpoint> start();

    /// Stops and joins the thread.
    void stop();

    /// Announces to the fleet that this router is leaving. Thread-safe.
    void leave();

    /// @return the latest view, never null. Thread-safe.
    std::shared_ptr<const fleet_view> view() const;

    /// Reports the result of an attempt to connect to an upstream. Thread-safe.
    void report_connect_result(std::uint64_t upstream, bool succeeded);

    /// Processes a load report that an upstream attached to a response. Thread-safe.
    void report_load(std::uint64_t upstream, double in_flight, std::uint64_t incarnation, bool leaving);

    /// Asks the router that owns an upstream's count to admit one more request.
    /// Must run on the control thread, after the caller has counted the request
    /// as in flight.
    /// @param limit maximum of in-flight requests on the upstream, from all routers
    boost::asio::awaitable<slot_decision> reserve_slot(std::uint64_t upstream, std::uint32_t limit);

    /// Executor of the control thread, on which to use `claims()` and `reserve_slot`.
    boost::asio::any_io_executor executor() const;

    /// Claims on non-idempotent requests. Use on the control thread only.
    claim_registry& claims();

    /// Requests suspected of crashing upstreams. Thread-safe.
    suspect_registry& suspects();

    const control_meter& meter() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace citronwick

#endif

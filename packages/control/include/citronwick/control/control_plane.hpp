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

/// Word of the router that keeps an upstream's count.
enum class slot_decision : std::uint8_t {
    granted,    ///< one more request fits
    denied,     ///< the upstream is at its limit; the estimate has been corrected
    unconfirmed ///< no answer in time, or no budget to ask: the estimate decides
};

/// The control thread: membership, configuration, upstream states and claims.
///
/// It alone changes that state, and publishes it as views that traffic threads
/// read without waiting.
class control_plane {
public:
    /// @param incarnation number that grows with each start of this VM's router
    control_plane(control_settings settings, std::uint64_t incarnation);
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;
    ~control_plane();

    /// Opens the fleet channel and starts the thread.
    /// @return the bound fleet endpoint
    io_result<endpoint> start();

    /// Stops the thread.
    void stop();

    /// Tells the fleet that this router is leaving. Callable from any thread.
    void leave();

    /// The newest view, never null. Callable from any thread.
    std::shared_ptr<const fleet_view> view() const;

    /// Reports whether an upstream could be connected to. Callable from any thread.
    void report_connect_result(std::uint64_t upstream, bool succeeded);

    /// Passes on a load report that came with a response. Callable from any thread.
    void report_load(std::uint64_t upstream, double in_flight, std::uint64_t incarnation, bool leaving);

    /// Asks the router that keeps an upstream's count whether one more request
    /// fits. To be run on the control thread; the caller has counted the
    /// request as its own already.
    /// @param limit requests that the upstream may hold
    boost::asio::awaitable<slot_decision> reserve_slot(std::uint64_t upstream, std::uint32_t limit);

    /// Executor of the control thread, for `claims()` and `reserve_slot`.
    boost::asio::any_io_executor executor() const;

    /// Claims on non-idempotent requests; to be used on the control thread only.
    claim_registry& claims();

    /// Requests that were on crashed upstreams. Callable from any thread.
    suspect_registry& suspects();

    const control_meter& meter() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace citronwick

#endif

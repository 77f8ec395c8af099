#ifndef CITRONWICK_TRAFFIC_TUNNEL_SERVICE_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_TUNNEL_SERVICE_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/core/failure.hpp"

#include <cstddef>
#include <memory>

namespace citronwick {

class routing_plane;
struct traffic_settings;

/// Relays connections of routers that are cut from the upstreams, and finds out by probes whether
/// this router is. Has a thread of its own.
class tunnel_service {
public:
    tunnel_service(const traffic_settings& settings, routing_plane& plane);
    tunnel_service(const tunnel_service&) = delete;
    tunnel_service& operator=(const tunnel_service&) = delete;
    ~tunnel_service();

    /// Listens. Connections wait until the start.
    /// @param listen address that the fleet channel uses for UDP; port 0 selects a free port
    /// @return the bound endpoint
    io_result<endpoint> open(const endpoint& listen);

    /// Starts the thread, after open().
    void start();

    /// Refuses new tunnels from now on, as this router stops.
    void announce_shutdown();

    /// Connections of other routers that this one relays.
    std::size_t open_connections() const;

    /// Stops the thread. Open tunnels are reset.
    void stop();

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace citronwick

#endif

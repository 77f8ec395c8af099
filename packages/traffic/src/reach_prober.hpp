#ifndef CITRONWICK_TRAFFIC_REACH_PROBER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_REACH_PROBER_HPP_INCLUDED

#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/io/task.hpp"
#include "citronwick/traffic/tunnel_opener.hpp"

namespace citronwick {

class routing_plane;

/// Connects to upstreams while it is in doubt whether this router reaches them, and asks other
/// routers to connect to those that it does not reach.
class reach_prober {
public:
    reach_prober(asio::any_io_executor executor, routing_plane& plane);

    /// Probes when it is due, forever.
    task<void> run();

private:
    task<void> probe(routed_upstream target);
    task<void> ask_peers(routed_upstream target);

    asio::any_io_executor executor_;
    routing_plane& plane_;
    tunnel_opener tunnels_;
};

} // namespace citronwick

#endif

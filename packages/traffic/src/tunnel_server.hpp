#ifndef CITRONWICK_TRAFFIC_TUNNEL_SERVER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_TUNNEL_SERVER_HPP_INCLUDED

#include "citronwick/fleet/tunnel_gate.hpp"
#include "citronwick/io/task.hpp"
#include "citronwick/wire/messages.hpp"

#include <atomic>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <memory>

namespace citronwick {

class routing_plane;
struct traffic_settings;

/// Connects to upstreams for other routers and relays the bytes in both directions.
///
/// Only registered routers of the fleet are served, each request once, and only addresses of
/// upstreams. A router that is cut from the upstreams itself refuses, so a tunnel has one hop, and so
/// does one that stops. The upstream's orderly end is passed on as one; an error, and the end of this
/// process, reset the connection.
class tunnel_server {
public:
    tunnel_server(asio::any_io_executor executor, const traffic_settings& settings, routing_plane& plane);

    /// @return the bound endpoint
    io_result<endpoint> open(const endpoint& listen);

    /// Accepts connections until the listener is closed.
    task<void> serve();

    /// Refuses further requests, as this router stops. Tunnels go on. May be called by any thread.
    void announce_shutdown() { is_stopping_ = true; }

    /// Connections from other routers. May be called by any thread.
    std::size_t open_connections() const { return *open_; }

private:
    struct tunnel;

    task<void> serve_connection(asio::ip::tcp::socket socket);
    task<wire::tunnel_result> connect(tunnel& both, accepted_tunnel request);
    task<void> relay(std::shared_ptr<tunnel> both);
    static task<void> forward(std::shared_ptr<tunnel> both, bool to_upstream);

    asio::any_io_executor executor_;
    routing_plane& plane_;
    asio::ip::tcp::acceptor acceptor_;
    tunnel_gate gate_;
    std::size_t max_tunnels_;
    /// Connections from routers.
    std::shared_ptr<std::atomic<std::size_t>> open_ = std::make_shared<std::atomic<std::size_t>>(0);
    std::atomic<bool> is_stopping_{false};
};

} // namespace citronwick

#endif

#ifndef CITRONWICK_TRAFFIC_TUNNEL_OPENER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_TUNNEL_OPENER_HPP_INCLUDED

#include "citronwick/core/endpoint.hpp"
#include "citronwick/fleet/fleet_directory.hpp"
#include "citronwick/io/task.hpp"

#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <cstdint>
#include <memory>

namespace citronwick {

class reach_monitor;

/// A connection to an upstream that another router relays.
struct opened_tunnel {
    std::shared_ptr<boost::beast::tcp_stream> stream;
    fleet_peer through;
};

/// Opens connections to upstreams through other routers.
class tunnel_opener {
public:
    tunnel_opener(asio::any_io_executor executor, reach_monitor& reach);

    /// Steps of failures: the upstream refused the other router, it was not reached by it, or no other
    /// router could be asked.
    static constexpr const char* refused_step = "connect through another router: refused";
    static constexpr const char* not_reached_step = "connect through another router: not reached";
    static constexpr const char* no_peer_step = "ask another router to connect";

    /// Whether this router is cut from the upstreams.
    bool is_needed() const;

    /// Whether there is a router to ask.
    bool has_peers() const;

    /// Asks live routers in turn. One that is cut from this upstream alone reports a refusal, so others
    /// are asked after one, too. A failure guarantees that no byte was sent to the upstream.
    /// @param request hash by which requests are spread over the routers
    /// @param timeout for all of them together
    task<io_result<opened_tunnel>> open(endpoint upstream, std::uint64_t request,
                                        std::chrono::milliseconds timeout);

    /// Asks one router.
    task<io_result<opened_tunnel>> open_through(fleet_peer peer, endpoint upstream,
                                                std::chrono::milliseconds timeout);

private:
    asio::any_io_executor executor_;
    reach_monitor& reach_;
};

} // namespace citronwick

#endif

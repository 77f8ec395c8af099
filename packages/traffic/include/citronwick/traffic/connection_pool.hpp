#ifndef CITRONWICK_TRAFFIC_CONNECTION_POOL_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_CONNECTION_POOL_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/traffic/upstream_connection.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace citronwick {

/// Pool of idle upstream connections of one traffic thread.
class connection_pool {
public:
    /// @param idle_limit connections that are idle for this long are closed
    /// @param max_idle number of idle connections to all peers; the oldest one beyond it is closed
    /// @param tunnels way to the upstreams through other routers, if there may be one
    connection_pool(asio::any_io_executor executor, std::chrono::milliseconds idle_limit,
                    std::size_t max_idle = default_max_idle, tunnel_opener* tunnels = nullptr);

    /// Returns an idle connection that may carry the request, or a new one that is not connected yet.
    /// @param request hash of the identifier that the request's response will have
    /// @param max_idle longest time for which a reused connection may have been idle
    std::unique_ptr<upstream_connection> acquire(const endpoint& peer, std::uint64_t request, time_point now,
                                                 duration max_idle = duration::max());

    /// Returns a new, unconnected connection, for requests that must not be repeated.
    std::unique_ptr<upstream_connection> create(const endpoint& peer) const;

    /// Returns a connection to the pool if its last response was read to the end.
    /// @param idle_timeout time after which the upstream closes an idle connection
    void release(std::unique_ptr<upstream_connection> connection, time_point now,
                 duration idle_timeout = duration::max());

    /// Closes all idle connections, to free their descriptors.
    void close_idle();

    /// Closes idle connections of which a condition holds.
    void close_idle_if(const std::function<bool(const upstream_connection&)>& condition);

    bool has_idle() const { return idle_count_ > 0; }

    const asio::any_io_executor& executor() const { return executor_; }

private:
    static constexpr std::size_t default_max_idle = 1'024;

    struct idle_connection {
        std::unique_ptr<upstream_connection> connection;
        time_point since;
        duration idle_timeout;
    };

    void close_oldest();

    asio::any_io_executor executor_;
    std::chrono::milliseconds idle_limit_;
    std::size_t max_idle_;
    tunnel_opener* tunnels_;
    std::map<endpoint, std::vector<idle_connection>> idle_; ///< oldest first
    std::size_t idle_count_ = 0;
};

} // namespace citronwick

#endif

#ifndef CITRONWICK_TRAFFIC_CONNECTION_POOL_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_CONNECTION_POOL_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/traffic/upstream_connection.hpp"

#include <map>
#include <memory>
#include <vector>

namespace citronwick {

/// Idle upstream connections of one traffic thread.
class connection_pool {
public:
    /// @param idle_limit idle connections older than this are closed
    connection_pool(asio::any_io_executor executor, std::chrono::milliseconds idle_limit);

    /// A quiet pooled connection, or a new one that is not connected yet.
    /// @param most_idle time for which the connection may have been idle
    std::unique_ptr<upstream_connection> take(const endpoint& peer, time_point now,
                                              duration most_idle = duration::max());

    /// A connection that has carried no request, for requests that must not be repeated.
    std::unique_ptr<upstream_connection> take_new(const endpoint& peer) const;

    /// Keeps a connection for reuse if its last response ended cleanly.
    /// @param idle_timeout after which the other end closes an idle connection
    void give_back(std::unique_ptr<upstream_connection> connection, time_point now,
                   duration idle_timeout = duration::max());

private:
    struct idle_connection {
        std::unique_ptr<upstream_connection> connection;
        time_point since;
        duration idle_timeout;
    };

    asio::any_io_executor executor_;
    std::chrono::milliseconds idle_limit_;
    std::map<endpoint, std::vector<idle_connection>> idle_;
};

} // namespace citronwick

#endif

#ifndef CITRONWICK_TRAFFIC_RELAYED_CONNECTIONS_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_RELAYED_CONNECTIONS_HPP_INCLUDED

#include "citronwick/io/task.hpp"
#include "citronwick/traffic/connection_pool.hpp"

#include <memory>

namespace citronwick {

class reach_monitor;

/// Idle connections of one traffic thread that other routers relay.
///
/// Those through a router that stops, or is not heard, are closed within a moment, so that it does not
/// wait for them and no request is sent on them. All are closed once none has been used for a while.
class relayed_connections {
public:
    relayed_connections(connection_pool pool, const reach_monitor& reach)
        : pool_{std::move(pool)}, reach_{reach} {}

    /// Returns an idle connection through a router that may relay, or a new one. See `connection_pool`.
    std::unique_ptr<upstream_connection> acquire(const endpoint& peer, std::uint64_t request, time_point now,
                                                 duration max_idle);

    /// See `connection_pool`.
    void release(std::unique_ptr<upstream_connection> connection, time_point now, duration idle_timeout);

private:
    task<void> close_unusable();

    connection_pool pool_;
    const reach_monitor& reach_;
    time_point used_at_{};
    bool is_closing_ = false; ///< whether `close_unusable` runs
};

} // namespace citronwick

#endif

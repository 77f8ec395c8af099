#include "relayed_connections.hpp"

#include "citronwick/fleet/reach_monitor.hpp"
#include "citronwick/io/spawn.hpp"

#include <boost/asio/steady_timer.hpp>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

/// Time without a request after which all idle connections are closed.
constexpr duration unused_time = 2s;
constexpr std::chrono::milliseconds check_interval = 50ms;

} // namespace

std::unique_ptr<upstream_connection> relayed_connections::acquire(const endpoint& peer, std::uint64_t request,
                                                                  time_point now, duration max_idle) {
    used_at_ = now;
    auto connection = pool_.acquire(peer, request, now, max_idle);
    while (connection->through() && !reach_.may_relay(*connection->through())) {
        connection = pool_.acquire(peer, request, now, max_idle);
    }
    return connection;
}

void relayed_connections::release(std::unique_ptr<upstream_connection> connection, time_point now,
                                  duration idle_timeout) {
    if (!reach_.may_relay(*connection->through())) {
        return;
    }
    pool_.release(std::move(connection), now, idle_timeout);
    if (!is_closing_) {
        is_closing_ = true;
        spawn_logged(pool_.executor(), "relayed_connections", close_unusable(),
                     [this] { is_closing_ = false; });
    }
}

/// Runs as long as there are idle connections.
task<void> relayed_connections::close_unusable() {
    asio::steady_timer timer{pool_.executor()};
    while (pool_.has_idle()) {
        timer.expires_after(check_interval);
        co_await timer.async_wait(use_tuple);
        if (clock::now() - used_at_ > unused_time) {
            pool_.close_idle();
        }
        pool_.close_idle_if([this](const upstream_connection& connection) {
            return !reach_.may_relay(*connection.through());
        });
    }
    is_closing_ = false;
}

} // namespace citronwick

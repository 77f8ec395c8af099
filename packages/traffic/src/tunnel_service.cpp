#include "citronwick/traffic/tunnel_service.hpp"

#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/io/event_loop.hpp"
#include "citronwick/io/spawn.hpp"
#include "reach_prober.hpp"
#include "tunnel_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace citronwick {

class tunnel_service::state {
public:
    state(const traffic_settings& settings, routing_plane& plane)
        : server_{context_.get_executor(), settings, plane}, prober_{context_.get_executor(), plane} {}

    io_result<endpoint> open(const endpoint& listen) { return server_.open(listen); }

    void start() {
        spawn_restarting(context_.get_executor(), "tunnels", [this] { return server_.serve(); });
        spawn_restarting(context_.get_executor(), "reach_probes", [this] { return prober_.run(); });
        thread_ = std::jthread{[this] { run_event_loop(context_, "tunnels"); }};
    }

    void announce_shutdown() { server_.announce_shutdown(); }
    std::size_t open_connections() const { return server_.open_connections(); }

    void stop() {
        context_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

private:
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_{context_.get_executor()};
    tunnel_server server_;
    reach_prober prober_;
    std::jthread thread_;
};

tunnel_service::tunnel_service(const traffic_settings& settings, routing_plane& plane)
    : state_{std::make_unique<state>(settings, plane)} {}

tunnel_service::~tunnel_service() {
    stop();
}

io_result<endpoint> tunnel_service::open(const endpoint& listen) {
    return state_->open(listen);
}

void tunnel_service::start() {
    state_->start();
}

void tunnel_service::announce_shutdown() {
    state_->announce_shutdown();
}

std::size_t tunnel_service::open_connections() const {
    return state_->open_connections();
}

void tunnel_service::stop() {
    state_->stop();
}

} // namespace citronwick

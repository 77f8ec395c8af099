#include "router_mode.hpp"

#include "citronwick/control/control_plane.hpp"
#include "citronwick/core/registry.hpp"
#include "citronwick/fleet/platform_adapter.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/router/router_settings.hpp"
#include "citronwick/traffic/chat_pages.hpp"
#include "citronwick/traffic/chat_server.hpp"
#include "citronwick/traffic/metrics.hpp"
#include "citronwick/traffic/route_metrics.hpp"
#include "citronwick/traffic/route_server.hpp"
#include "citronwick/traffic/tunnel_service.hpp"

#include <chrono>

namespace citronwick {

router_mode::~router_mode() = default;

namespace {

/// Incarnation number, larger at each start. A VM has no persistent storage, so
/// only the wall clock can order its starts; nothing else depends on that clock.
std::uint64_t new_incarnation() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

class chat_mode final : public router_mode {
public:
    explicit chat_mode(const router_settings& settings)
        : settings_{settings.traffic}, control_{settings.control, new_incarnation()} {}

    io_result<endpoint> start() override { return control_.start(); }
    request_server_factory servers() override { return make_chat_servers(settings_, control_, metrics_); }
    operator_pages pages() override { return make_chat_pages(control_, metrics_); }
    void leave() override { control_.leave(); }
    std::size_t relayed_connections() const override { return 0; }
    void stop() override { control_.stop(); }

private:
    const traffic_settings& settings_;
    metrics metrics_;
    control_plane control_;
};

class route_mode final : public router_mode {
public:
    explicit route_mode(const router_settings& settings)
        : settings_{settings.traffic},
          adapter_{registry<platform_adapter>::instance().make(settings.routing.platform)},
          plane_{settings.routing, *adapter_}, tunnels_{settings.traffic, plane_} {}

    io_result<endpoint> start() override {
        // Free TCP ports are scarcer than those for UDP, so that one is chosen first.
        const auto listening = tunnels_.open(plane_.settings().fleet_listen);
        if (listening.has_error()) {
            return listening.error();
        }
        const auto bound = plane_.start(*listening);
        if (bound.has_value()) {
            tunnels_.start();
        }
        return bound;
    }
    request_server_factory servers() override {
        return make_route_servers(settings_, plane_, *adapter_, metrics_);
    }
    operator_pages pages() override { return make_route_pages(plane_, *adapter_, metrics_); }
    void leave() override {
        tunnels_.announce_shutdown();
        plane_.leave();
    }
    std::size_t relayed_connections() const override { return tunnels_.open_connections(); }
    void stop() override {
        tunnels_.stop();
        plane_.stop();
    }

private:
    const traffic_settings& settings_;
    route_metrics metrics_;
    std::unique_ptr<platform_adapter> adapter_;
    routing_plane plane_;
    tunnel_service tunnels_;
};

} // namespace

std::unique_ptr<router_mode> make_chat_mode(const router_settings& settings) {
    return std::make_unique<chat_mode>(settings);
}

std::unique_ptr<router_mode> make_route_mode(const router_settings& settings) {
    return std::make_unique<route_mode>(settings);
}

} // namespace citronwick

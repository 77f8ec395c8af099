#include "product_interface.hpp"

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

#include <chrono>

namespace citronwick {

product_interface::~product_interface() = default;

namespace {

/// Number that grows with each start. A VM keeps nothing, so the time of day
/// is all that orders its starts; nothing else depends on it.
std::uint64_t incarnation_at_start() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

class chat_interface final : public product_interface {
public:
    explicit chat_interface(const router_settings& settings)
        : settings_{settings.traffic}, control_{settings.control, incarnation_at_start()} {}

    io_result<endpoint> start() override { return control_.start(); }
    request_server_factory servers() override { return make_chat_servers(settings_, control_, counters_); }
    operator_pages pages() override { return make_chat_pages(control_, counters_); }
    void leave() override { control_.leave(); }
    void stop() override { control_.stop(); }

private:
    const traffic_settings& settings_;
    metrics counters_;
    control_plane control_;
};

class route_interface final : public product_interface {
public:
    explicit route_interface(const router_settings& settings)
        : settings_{settings.traffic},
          adapter_{registry<platform_adapter>::instance().make(settings.routing.platform)},
          plane_{settings.routing, *adapter_} {}

    io_result<endpoint> start() override { return plane_.start(); }
    request_server_factory servers() override {
        return make_route_servers(settings_, plane_, *adapter_, counters_);
    }
    operator_pages pages() override { return make_route_pages(plane_, *adapter_, counters_); }
    void leave() override { plane_.leave(); }
    void stop() override { plane_.stop(); }

private:
    const traffic_settings& settings_;
    route_metrics counters_;
    std::unique_ptr<platform_adapter> adapter_;
    routing_plane plane_;
};

} // namespace

std::unique_ptr<product_interface> make_chat_interface(const router_settings& settings) {
    return std::make_unique<chat_interface>(settings);
}

std::unique_ptr<product_interface> make_route_interface(const router_settings& settings) {
    return std::make_unique<route_interface>(settings);
}

} // namespace citronwick

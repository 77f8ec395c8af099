#include "citronwick/traffic/route_server.hpp"

#include "citronwick/fleet/platform_adapter.hpp"
#include "citronwick/fleet/reach_monitor.hpp"
#include "citronwick/fleet/routing_plane.hpp"
#include "citronwick/fleet/routing_view.hpp"
#include "citronwick/traffic/connection_end.hpp"
#include "citronwick/traffic/process_limits.hpp"
#include "citronwick/traffic/route_metrics.hpp"
#include "citronwick/traffic/traffic_settings.hpp"
#include "route_context.hpp"
#include "route_exchange.hpp"

#include <boost/json/array.hpp>
#include <set>

namespace citronwick {

namespace {

namespace json = boost::json;

class route_server final : public request_server {
public:
    route_server(const traffic_settings& settings, routing_plane& plane, const platform_adapter& adapter,
                 route_metrics& counters, const asio::any_io_executor& executor)
        : context_{.settings = settings,
                   .plane = plane,
                   .dialect = adapter.dialect(),
                   .counters = counters,
                   .tunnels = tunnel_opener{executor, plane.reach()},
                   .pool = make_pool(settings, executor),
                   .relayed = relayed_connections{make_pool(settings, executor), plane.reach()},
                   .retry_windows = {},
                   .probe = crash_probe{plane, context_.tunnels}} {}

    request_limits limits() const override {
        const auto view = context_.plane.view();
        const caller_limits configured = view->config ? view->config->limits() : caller_limits{};
        return {configured.header_bytes, configured.body_bytes, configured.header_timeout,
                configured.idle_timeout};
    }

    task<void> serve(caller& from, http_request request, buffer_reservation& buffers) override {
        route_exchange exchange{context_, from, std::move(request), buffers};
        co_await exchange.run();
    }

    void count_connection_end(connection_end cause) override {
        context_.counters.count_connection_end(to_text(cause));
    }

private:
    connection_pool make_pool(const traffic_settings& settings, const asio::any_io_executor& executor) {
        return connection_pool{executor, settings.pooled_connection_age,
                               shares_in_force(settings).upstreams / (2 * std::size_t{settings.threads}),
                               &context_.tunnels};
    }

    route_context context_;
};

json::object to_json(const routed_upstream& upstream) {
    return {{"id", upstream.entry.id},
            {"address", to_text(upstream.entry.address)},
            {"failure_domain", upstream.entry.failure_domain},
            {"version", upstream.entry.version},
            {"incarnation", upstream.entry.incarnation},
            {"own_in_flight", upstream.load->in_flight.load(std::memory_order_relaxed)},
            {"elsewhere_in_flight", upstream.load->remote_in_flight.load(std::memory_order_relaxed)}};
}

/// Number of versions that begin streams, and of slots in which earlier ones may have.
json::object to_json(const version_slots& slots) {
    std::set<std::string> versions;
    for (std::size_t index = 0; index < version_slots::slot_count; ++index) {
        versions.insert(slots.at(index).version);
    }
    return {{"versions", versions.size()}, {"unsettled", slots.unsettled().count()}};
}

json::object to_json(const routing_plane& plane) {
    const auto view = plane.view();
    const auto age = plane.key_age(boot_now());
    json::object services;
    for (const auto& [service, upstreams] : view->upstreams) {
        json::array list;
        for (const routed_upstream& each : upstreams) {
            list.push_back(to_json(each));
        }
        services[service] = std::move(list);
    }
    json::object stream_versions;
    for (const auto& [service, slots] : view->stream_versions) {
        stream_versions[service] = to_json(*slots);
    }
    return {{"version", view->config ? view->config->version() : 0},
            {"revision", view->position.revision},
            {"era", view->position.era},
            {"live_routers", view->live_routers},
            {"key_age_ms", age ? std::chrono::duration_cast<std::chrono::milliseconds>(*age).count() : -1},
            {"stream_versions", std::move(stream_versions)},
            {"services", std::move(services)}};
}

} // namespace

request_server_factory make_route_servers(const traffic_settings& settings, routing_plane& plane,
                                          const platform_adapter& adapter, route_metrics& counters) {
    return [&](const asio::any_io_executor& executor) -> std::unique_ptr<request_server> {
        return std::make_unique<route_server>(settings, plane, adapter, counters, executor);
    };
}

operator_pages make_route_pages(const routing_plane& plane, const platform_adapter& adapter,
                                route_metrics& counters) {
    return {.is_ready = [&plane] { return plane.view()->config != nullptr; },
            .metrics = [&plane, &counters] { return counters.page(plane); },
            .view = [&plane] { return to_json(plane); },
            .readiness_path = std::string{adapter.readiness_path()}};
}

} // namespace citronwick

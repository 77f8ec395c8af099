#include "citronwick/traffic/chat_pages.hpp"

#include "citronwick/control/control_plane.hpp"
#include "citronwick/control/upstream_usage.hpp"
#include "citronwick/traffic/metrics.hpp"

#include <boost/json/array.hpp>

namespace citronwick {

namespace {

namespace json = boost::json;

json::object to_json(const upstream_view& upstream) {
    const bool ready = upstream.state == availability::ready;
    return {{"name", upstream.name},
            {"failure_domain", upstream.failure_domain},
            {"address", to_text(upstream.address)},
            {"state", ready ? "ready" : std::string{to_text(upstream.state)}},
            {"incarnation", upstream.incarnation},
            {"own_in_flight", upstream.usage->in_flight.load(std::memory_order_relaxed)},
            {"in_flight", estimated_in_flight(upstream)}};
}

json::object to_json(const fleet_view& view) {
    json::object services;
    for (const auto& [name, upstreams] : view.upstreams) {
        json::array list;
        for (const upstream_view& upstream : upstreams) {
            list.push_back(to_json(upstream));
        }
        services[name] = std::move(list);
    }
    const auto domains = view.config ? view.config->root.evacuated : std::vector<std::string>{};
    return {{"generation", view.config ? view.config->root.generation : 0},
            {"preset", view.config ? view.config->root.active_preset : ""},
            {"live_routers", view.live_routers},
            {"evacuated", json::array(domains.begin(), domains.end())},
            {"services", std::move(services)}};
}

} // namespace

operator_pages make_chat_pages(control_plane& control, metrics& counters) {
    return {.is_ready = [&control] { return control.view()->config != nullptr; },
            .metrics = [&control, &counters] { return counters.page(control); },
            .view = [&control] { return to_json(*control.view()); }};
}

} // namespace citronwick

#include "citronwick/router/router.hpp"

#include "citronwick/core/time.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/io/task.hpp"
#include "citronwick/router/router_settings.hpp"
#include "citronwick/traffic/http_server.hpp"
#include "citronwick/traffic/operator_server.hpp"
#include "router_mode.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <thread>

namespace citronwick {

namespace {

using namespace std::chrono_literals;

constexpr duration drain_check_interval = 20ms;
/// Idle connections are closed this long after the listener, when no more requests
/// are expected on them.
constexpr duration idle_close_delay = 500ms;

/// Addresses that a router listens on, with the ports in use.
struct bound_endpoints {
    endpoint callers;
    endpoint operators;
    endpoint fleet;
};

/// Writes a temporary file and renames it, so that a reader never sees a partly
/// written file.
void write_port_file(const std::string& file, const bound_endpoints& bound) {
    if (file.empty()) {
        return;
    }
    const std::string temporary_file = file + ".new";
    {
        std::ofstream output{temporary_file};
        output << "callers " << to_text(bound.callers) << "\noperators " << to_text(bound.operators)
               << "\nfleet " << to_text(bound.fleet) << "\n";
    }
    std::filesystem::rename(temporary_file, file);
}

/// Waits for the first SIGTERM or SIGINT and ignores later ones. Calls `reload`
/// at each SIGHUP until then.
class signal_listener {
public:
    explicit signal_listener(std::function<void()> reload) : reload_{std::move(reload)} {
        stop_signals_.async_wait([this](const boost::system::error_code&, int) { context_.stop(); });
        wait_for_reload();
    }
    void wait_for_stop() { context_.run(); }

private:
    void wait_for_reload() {
        reload_signals_.async_wait([this](const boost::system::error_code& error, int) {
            if (!error) {
                reload_();
                wait_for_reload();
            }
        });
    }

    std::function<void()> reload_;
    boost::asio::io_context context_;
    boost::asio::signal_set stop_signals_{context_, SIGTERM, SIGINT};
    boost::asio::signal_set reload_signals_{context_, SIGHUP};
};

/// Time at which the requests still in flight are cut, nullopt for no limit.
std::optional<time_point> drain_deadline(const traffic_settings& settings, time_point signalled_at,
                                         time_point listener_closed_at) {
    // Lets the process exit before the platform removes the VM.
    constexpr duration exit_margin = 300ms;
    if (settings.drain_limit.count() > 0) {
        return listener_closed_at + settings.drain_limit;
    }
    if (settings.grace.count() > 0) {
        return signalled_at + settings.grace - exit_margin;
    }
    return std::nullopt;
}

/// Closes the callers' connections once their requests have ended. Requests are
/// cut only at the drain deadline.
void drain(const traffic_settings& settings, router_mode& mode, http_server& callers,
           operator_server& operators) {
    const auto signalled_at = clock::now();
    log_info("drain_started", {{"requests_in_flight", std::to_string(callers.requests_in_flight())}});
    operators.set_unready();
    mode.leave();
    callers.announce_shutdown();
    std::this_thread::sleep_for(settings.balancer_lag);
    callers.stop_accepting();
    const auto listener_closed_at = clock::now();
    const auto deadline = drain_deadline(settings, signalled_at, listener_closed_at);
    bool closed_idle = false;
    while (callers.open_connections() > 0) {
        const auto now = clock::now();
        if (deadline && now >= *deadline) {
            log_warn("drain_limit_reached", {{"requests_cut", std::to_string(callers.requests_in_flight())}});
            break;
        }
        if (!closed_idle && now - listener_closed_at >= idle_close_delay) {
            callers.close_idle_connections();
            closed_idle = callers.requests_in_flight() == 0;
        }
        std::this_thread::sleep_for(drain_check_interval);
    }
    log_info("drain_ended", {{"requests_in_flight", std::to_string(callers.requests_in_flight())}});
}

} // namespace

io_result<void> run_router(const router_settings& settings, std::function<void()> reload) {
    signal_listener signals{std::move(reload)};
    set_outbound_address(settings.source_address);
    const bool uses_routes = !settings.routing.platform.empty();
    const auto mode = uses_routes ? make_route_mode(settings) : make_chat_mode(settings);
    http_server callers{settings.traffic, mode->servers()};
    operator_server operators{settings.traffic.operators, mode->pages(), callers};
    const auto fleet_bound = mode->start();
    if (fleet_bound.has_error()) {
        return fleet_bound.error();
    }
    const auto callers_bound = callers.start();
    if (callers_bound.has_error()) {
        return callers_bound.error();
    }
    const auto operators_bound = operators.start();
    if (operators_bound.has_error()) {
        return operators_bound.error();
    }
    const bound_endpoints bound{*callers_bound, *operators_bound, *fleet_bound};
    write_port_file(settings.port_file, bound);
    log_info("router_started", {{"vm", settings.control.vm},
                                {"failure_domain", settings.control.failure_domain},
                                {"callers", to_text(bound.callers)},
                                {"operators", to_text(bound.operators)},
                                {"fleet", to_text(bound.fleet)}});
    signals.wait_for_stop();
    drain(settings.traffic, *mode, callers, operators);
    callers.stop();
    mode->stop();
    log_info("router_stopped", {{"vm", settings.control.vm}});
    return {};
}

} // namespace citronwick

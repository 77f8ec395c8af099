#include "citronwick/router/router.hpp"

#include "citronwick/core/time.hpp"
#include "citronwick/io/fatal_report.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/io/task.hpp"
#include "citronwick/router/router_settings.hpp"
#include "citronwick/router/signal_listener.hpp"
#include "citronwick/traffic/http_server.hpp"
#include "citronwick/traffic/operator_server.hpp"
#include "router_mode.hpp"

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <system_error>
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
io_result<void> write_port_file(const std::string& file, const bound_endpoints& bound) {
    if (file.empty()) {
        return {};
    }
    const std::string temporary_file = file + ".new";
    std::ofstream output{temporary_file};
    output << "callers " << to_text(bound.callers) << "\noperators " << to_text(bound.operators) << "\nfleet "
           << to_text(bound.fleet) << "\n";
    output.close();
    if (!output) {
        return failure{"write port file", temporary_file, std::generic_category().message(errno)};
    }
    std::error_code error;
    std::filesystem::rename(temporary_file, file, error);
    if (error) {
        return failure{"rename port file", file, error.message()};
    }
    return {};
}

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

/// Closes the callers' connections once their requests have ended, and waits for the connections
/// that it relays for other routers. They are cut only at the drain deadline.
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
    while (callers.open_connections() > 0 || mode.relayed_connections() > 0) {
        const auto now = clock::now();
        if (deadline && now >= *deadline) {
            log_warn("drain_limit_reached",
                     {{"requests_cut", std::to_string(callers.requests_in_flight())},
                      {"relayed_connections_cut", std::to_string(mode.relayed_connections())}});
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

/// The servers of one router, in the order of their construction.
struct router_servers {
    explicit router_servers(const router_settings& settings)
        : mode{settings.routing.platform.empty() ? make_chat_mode(settings) : make_route_mode(settings)},
          callers{settings.traffic, mode->servers()},
          operators{settings.traffic.operators, mode->pages(), callers} {}

    /// Opens all listeners, then starts the threads. The mode comes after the other
    /// listeners, because its outbound connections could take their ports.
    io_result<bound_endpoints> start() {
        const auto callers_bound = callers.open();
        if (callers_bound.has_error()) {
            return callers_bound.error();
        }
        const auto operators_bound = operators.open();
        if (operators_bound.has_error()) {
            return operators_bound.error();
        }
        const auto fleet_bound = mode->start();
        if (fleet_bound.has_error()) {
            return fleet_bound.error();
        }
        callers.start();
        operators.start();
        return bound_endpoints{*callers_bound, *operators_bound, *fleet_bound};
    }

    std::unique_ptr<router_mode> mode;
    http_server callers;
    operator_server operators;
    bound_endpoints bound{};
};

/// Starts the servers. While one of their addresses is in use, for example by a
/// predecessor that drains, tries again until `in_use_timeout` has passed.
/// @return null if the stop signal came first
io_result<std::unique_ptr<router_servers>> start_servers(const router_settings& settings,
                                                         signal_listener& signals) {
    constexpr std::chrono::milliseconds retry_interval{100};
    constexpr duration log_interval = 1s;
    const auto deadline = clock::now() + settings.in_use_timeout;
    std::optional<time_point> logged_at;
    while (!signals.stop_requested()) {
        auto servers = std::make_unique<router_servers>(settings);
        const auto bound = servers->start();
        if (bound.has_value()) {
            servers->bound = *bound;
            return servers;
        }
        const auto now = clock::now();
        if (!is_address_in_use(bound.error()) || now >= deadline) {
            return bound.error();
        }
        if (!logged_at || now - *logged_at >= log_interval) {
            logged_at = now;
            log_failure("address_in_use", bound.error());
        }
        servers.reset();
        signals.wait_for_stop(retry_interval);
    }
    return std::unique_ptr<router_servers>{};
}

} // namespace

io_result<void> run_router(const router_settings& settings, signal_listener& signals) {
    set_process_step("start");
    set_outbound_address(settings.source_address);
    const auto started = start_servers(settings, signals);
    if (started.has_error()) {
        return started.error();
    }
    if (*started == nullptr) {
        log_info("router_stopped", {{"vm", settings.control.vm}, {"reason", "stopped during the start"}});
        return {};
    }
    auto& [mode, callers, operators, bound] = **started;
    const auto written = write_port_file(settings.port_file, bound);
    if (written.has_error()) {
        log_failure("port_file_not_written", written.error());
    }
    log_info("router_started", {{"vm", settings.control.vm},
                                {"failure_domain", settings.control.failure_domain},
                                {"callers", to_text(bound.callers)},
                                {"operators", to_text(bound.operators)},
                                {"fleet", to_text(bound.fleet)}});
    set_process_step("serve");
    signals.wait_for_stop();
    set_process_step("drain");
    drain(settings.traffic, *mode, callers, operators);
    set_process_step("stop");
    callers.stop();
    mode->stop();
    log_info("router_stopped", {{"vm", settings.control.vm}});
    return {};
}

} // namespace citronwick

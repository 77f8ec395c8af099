#include "citronwick/router/router.hpp"

#include "citronwick/core/time.hpp"
#include "citronwick/io/log.hpp"
#include "citronwick/io/task.hpp"
#include "citronwick/router/router_settings.hpp"
#include "citronwick/traffic/http_server.hpp"
#include "citronwick/traffic/operator_server.hpp"
#include "product_interface.hpp"

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
/// Idle connections are closed once no request came for this long after the
/// listener closed.
constexpr duration idle_grace = 500ms;

/// Addresses that a router listens on.
struct bound_endpoints {
    endpoint callers;
    endpoint operators;
    endpoint fleet;
};

/// Writes the addresses under a temporary name first, so that a reader never
/// sees half a file.
void write_port_file(const std::string& file, const bound_endpoints& bound) {
    if (file.empty()) {
        return;
    }
    const std::string unfinished = file + ".new";
    {
        std::ofstream output{unfinished};
        output << "callers " << to_text(bound.callers) << "\noperators " << to_text(bound.operators)
               << "\nfleet " << to_text(bound.fleet) << "\n";
    }
    std::filesystem::rename(unfinished, file);
}

/// Waits for the first SIGTERM or SIGINT; later ones change nothing. Calls
/// `reload` at each SIGHUP until then.
class stop_signal {
public:
    explicit stop_signal(std::function<void()> reload) : reload_{std::move(reload)} {
        stops_.async_wait([this](const boost::system::error_code&, int) { context_.stop(); });
        wait_for_reload();
    }
    void wait() { context_.run(); }

private:
    void wait_for_reload() {
        reloads_.async_wait([this](const boost::system::error_code& error, int) {
            if (!error) {
                reload_();
                wait_for_reload();
            }
        });
    }

    std::function<void()> reload_;
    boost::asio::io_context context_;
    boost::asio::signal_set stops_{context_, SIGTERM, SIGINT};
    boost::asio::signal_set reloads_{context_, SIGHUP};
};

/// Time from which requests that are still in flight are cut, none for never.
std::optional<time_point> drain_end(const traffic_settings& settings, time_point signalled_at,
                                    time_point closed_at) {
    // Left for the processes to end before the VM is taken away.
    constexpr duration exit_margin = 300ms;
    if (settings.drain_limit.count() > 0) {
        return closed_at + settings.drain_limit;
    }
    if (settings.grace.count() > 0) {
        return signalled_at + settings.grace - exit_margin;
    }
    return std::nullopt;
}

/// Ends the front without cutting a request, unless the drain limit is reached.
void drain(const traffic_settings& settings, product_interface& product, http_server& callers,
           operator_server& operators) {
    const auto signalled_at = clock::now();
    log_info("drain_started", {{"requests_in_flight", std::to_string(callers.requests_in_flight())}});
    operators.set_unready();
    product.leave();
    callers.announce_shutdown();
    std::this_thread::sleep_for(settings.balancer_lag);
    callers.stop_accepting();
    const auto started = clock::now();
    const auto end = drain_end(settings, signalled_at, started);
    bool closed_idle = false;
    while (callers.open_connections() > 0) {
        const auto now = clock::now();
        if (end && now >= *end) {
            log_warn("drain_limit_reached", {{"requests_cut", std::to_string(callers.requests_in_flight())}});
            break;
        }
        if (!closed_idle && now - started >= idle_grace) {
            callers.close_idle_connections();
            closed_idle = callers.requests_in_flight() == 0;
        }
        std::this_thread::sleep_for(drain_check_interval);
    }
    log_info("drain_ended", {{"requests_in_flight", std::to_string(callers.requests_in_flight())}});
}

} // namespace

io_result<void> run_router(const router_settings& settings, std::function<void()> reload) {
    stop_signal stop{std::move(reload)};
    set_outbound_address(settings.source_address);
    const bool has_routes = !settings.routing.platform.empty();
    const auto product = has_routes ? make_route_interface(settings) : make_chat_interface(settings);
    http_server callers{settings.traffic, product->servers()};
    operator_server operators{settings.traffic.operators, product->pages(), callers};
    const auto fleet = product->start();
    if (fleet.has_error()) {
        return fleet.error();
    }
    const auto front_bound = callers.start();
    if (front_bound.has_error()) {
        return front_bound.error();
    }
    const auto operators_bound = operators.start();
    if (operators_bound.has_error()) {
        return operators_bound.error();
    }
    const bound_endpoints bound{*front_bound, *operators_bound, *fleet};
    write_port_file(settings.port_file, bound);
    log_info("router_started", {{"vm", settings.control.vm},
                                {"failure_domain", settings.control.failure_domain},
                                {"callers", to_text(bound.callers)},
                                {"operators", to_text(bound.operators)},
                                {"fleet", to_text(bound.fleet)}});
    stop.wait();
    drain(settings.traffic, *product, callers, operators);
    callers.stop();
    product->stop();
    log_info("router_stopped", {{"vm", settings.control.vm}});
    return {};
}

} // namespace citronwick

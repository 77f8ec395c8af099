#include "latency_run.hpp"

#include "chat.hpp"
#include "citronwick/io/http_connection.hpp"
#include "router_usage.hpp"
#include "waiting.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>

namespace citronwick::bench {

namespace {

using std::chrono::steady_clock;

/// One kept connection and the latencies measured on it.
struct lane {
    lane(const asio::any_io_executor& executor, const endpoint& peer)
        : connection{executor, peer, 1U << 20U} {}
    http_connection connection;
    bool busy = false;
};

/// Latencies of one way to the engine.
struct way {
    endpoint peer;
    sample latencies;
    std::int64_t failed = 0;
    std::vector<std::unique_ptr<lane>> lanes{};

    lane& free_lane(const asio::any_io_executor& executor) {
        const auto found = std::ranges::find_if(lanes, [](const auto& each) { return !each->busy; });
        return found != lanes.end() ? **found : *lanes.emplace_back(std::make_unique<lane>(executor, peer));
    }
};

task<void> call_once(way& used, lane& over, bool counted) {
    constexpr std::chrono::seconds timeout{10};
    over.busy = true;
    const auto made = harness::to_call({.prompt = "short", .tokens = 1, .stream = false});
    http_request request{http::verb::post, made.target, 11};
    for (const auto& [name, value] : made.headers) {
        request.set(name, value);
    }
    request.body() = made.body;
    const auto started = steady_clock::now();
    auto answer = co_await over.connection.exchange(std::move(request), timeout);
    if (answer.has_error() || answer->result() != http::status::ok) {
        ++used.failed;
    } else if (counted) {
        used.latencies.add(std::chrono::duration<double, std::milli>{steady_clock::now() - started}.count());
    }
    over.busy = false;
}

task<void> generate(const experiment& plan, way& direct, way& routed) {
    const auto executor = co_await asio::this_coro::executor;
    const auto interval = std::chrono::duration_cast<steady_clock::duration>(
        std::chrono::duration<double>{1.0 / plan.load.requests_per_second});
    const auto started = steady_clock::now();
    const auto ends = started + plan.warm_up + plan.duration;
    for (auto next = started; next < ends; next += interval) {
        asio::steady_timer timer{executor, next};
        co_await timer.async_wait(use_tuple);
        const bool counted = next - started >= plan.warm_up;
        asio::co_spawn(executor, call_once(routed, routed.free_lane(executor), counted), asio::detached);
        timer.expires_at(next + interval / 2);
        co_await timer.async_wait(use_tuple);
        asio::co_spawn(executor, call_once(direct, direct.free_lane(executor), counted), asio::detached);
    }
}

arm_figures started_figures(const experiment& plan, std::string arm) {
    arm_figures figures;
    figures.experiment = plan.name;
    figures.arm = std::move(arm);
    figures.seed = plan.seed;
    figures.routers = plan.routers;
    figures.engines = plan.engines;
    return figures;
}

/// Delay of a preset change on the last router, from the commit's return.
double measure_change(harness::fleet& system) {
    const auto changed = system.ctl({"preset", "use", "peak"});
    const auto committed = steady_clock::now();
    if (changed.exit != 0 || !system.wait_generation(2)) {
        return -1.0;
    }
    return std::chrono::duration<double, std::milli>{steady_clock::now() - committed}.count();
}

} // namespace

arm_figures run_latency(const experiment& plan, harness::fleet& system) {
    auto figures = started_figures(plan, "added latency");
    asio::io_context context{1};
    way direct{.peer = system.engines().front().addresses.front()};
    way routed{.peer = system.routers().front().callers()};
    asio::co_spawn(context, generate(plan, direct, routed), asio::detached);
    context.run();
    figures.added_p50_ms = routed.latencies.quantile(0.5) - direct.latencies.quantile(0.5);
    figures.added_p99_ms = routed.latencies.quantile(0.99) - direct.latencies.quantile(0.99);
    figures.first_token_ms = routed.latencies;
    figures.complete = static_cast<std::int64_t>(routed.latencies.size());
    figures.lost = routed.failed + direct.failed;
    return figures;
}

arm_figures run_slopes(const experiment& plan, harness::fleet& system) {
    auto figures = started_figures(plan, "idle fleet");
    std::this_thread::sleep_for(plan.warm_up);
    const auto before = read_router_usage(system);
    std::this_thread::sleep_for(plan.duration);
    add_usage(figures, before, read_router_usage(system), plan.routers);
    figures.in_force_ms = measure_change(system);
    return figures;
}

} // namespace citronwick::bench

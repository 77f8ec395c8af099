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

/// A persistent connection that carries one request at a time.
struct client_connection {
    client_connection(const asio::any_io_executor& executor, const endpoint& peer)
        : connection{executor, peer, 1U << 20U} {}
    http_connection connection;
    bool busy = false;
};

/// Requests sent to one peer, which is either the engine or the router.
struct request_target {
    endpoint peer;
    sample latencies;
    std::int64_t failed = 0;
    std::vector<std::unique_ptr<client_connection>> connections{};

    client_connection& idle_connection(const asio::any_io_executor& executor) {
        const auto found = std::ranges::find_if(connections, [](const auto& each) { return !each->busy; });
        return found != connections.end()
                   ? **found
                   : *connections.emplace_back(std::make_unique<client_connection>(executor, peer));
    }
};

task<void> send_request(request_target& target, client_connection& client, bool is_measured) {
    constexpr std::chrono::seconds timeout{10};
    client.busy = true;
    const auto call = harness::to_call({.prompt = "short", .tokens = 1, .stream = false});
    http_request request{http::verb::post, call.target, 11};
    for (const auto& [name, value] : call.headers) {
        request.set(name, value);
    }
    request.body() = call.body;
    const auto started = steady_clock::now();
    const auto response = co_await client.connection.exchange(std::move(request), timeout);
    if (response.has_error() || response->result() != http::status::ok) {
        ++target.failed;
    } else if (is_measured) {
        target.latencies.add(
            std::chrono::duration<double, std::milli>{steady_clock::now() - started}.count());
    }
    client.busy = false;
}

task<void> generate_load(const experiment& plan, request_target& direct, request_target& routed) {
    const auto executor = co_await asio::this_coro::executor;
    const auto interval = std::chrono::duration_cast<steady_clock::duration>(
        std::chrono::duration<double>{1.0 / plan.load.requests_per_second});
    const auto started = steady_clock::now();
    const auto ends = started + plan.warm_up + plan.duration;
    for (auto next = started; next < ends; next += interval) {
        asio::steady_timer timer{executor, next};
        co_await timer.async_wait(use_tuple);
        const bool is_measured = next - started >= plan.warm_up;
        asio::co_spawn(executor, send_request(routed, routed.idle_connection(executor), is_measured),
                       asio::detached);
        timer.expires_at(next + interval / 2);
        co_await timer.async_wait(use_tuple);
        asio::co_spawn(executor, send_request(direct, direct.idle_connection(executor), is_measured),
                       asio::detached);
    }
}

arm_results make_results(const experiment& plan, std::string arm) {
    arm_results results;
    results.experiment = plan.name;
    results.arm = std::move(arm);
    results.seed = plan.seed;
    results.routers = plan.routers;
    results.engines = plan.engines;
    return results;
}

/// Milliseconds from the commit of a preset change until it is in force on all routers,
/// -1 if it did not get there.
double measure_change_delay(harness::fleet& system) {
    const auto changed = system.ctl({"preset", "use", "peak"});
    const auto committed = steady_clock::now();
    if (changed.exit != 0 || !system.wait_generation(2)) {
        return -1.0;
    }
    return std::chrono::duration<double, std::milli>{steady_clock::now() - committed}.count();
}

} // namespace

arm_results run_latency(const experiment& plan, harness::fleet& system) {
    auto results = make_results(plan, "added latency");
    asio::io_context context{1};
    request_target direct{.peer = system.engines().front().addresses.front()};
    request_target routed{.peer = system.routers().front().callers()};
    asio::co_spawn(context, generate_load(plan, direct, routed), asio::detached);
    context.run();
    results.added_p50_ms = routed.latencies.quantile(0.5) - direct.latencies.quantile(0.5);
    results.added_p99_ms = routed.latencies.quantile(0.99) - direct.latencies.quantile(0.99);
    results.first_token_ms = routed.latencies;
    results.complete = static_cast<std::int64_t>(routed.latencies.size());
    results.lost = routed.failed + direct.failed;
    return results;
}

arm_results run_slopes(const experiment& plan, harness::fleet& system) {
    auto results = make_results(plan, "idle fleet");
    std::this_thread::sleep_for(plan.warm_up);
    const auto before = read_router_usage(system);
    std::this_thread::sleep_for(plan.duration);
    add_usage_rates(results, before, read_router_usage(system), plan.routers);
    results.in_force_ms = measure_change_delay(system);
    return results;
}

} // namespace citronwick::bench

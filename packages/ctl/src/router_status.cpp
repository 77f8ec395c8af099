#include "router_status.hpp"

#include "citronwick/io/http_connection.hpp"
#include "citronwick/io/json_text.hpp"
#include "citronwick/io/unhandled_exceptions.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <charconv>
#include <ranges>

namespace citronwick {

namespace {

constexpr std::uint64_t max_page_bytes = std::uint64_t{16} << 20U;

/// Sum of all series of a metric on a page in the Prometheus text format.
double sum_metric(std::string_view page, std::string_view metric) {
    double sum = 0.0;
    for (const auto part : page | std::views::split('\n')) {
        const std::string_view line{part.begin(), part.end()};
        if (line.starts_with(metric)) {
            const auto text = line.substr(line.rfind(' ') + 1);
            double value = 0.0;
            std::from_chars(text.data(), text.data() + text.size(), value);
            sum += value;
        }
    }
    return sum;
}

task<void> read_status(router_status& router, std::chrono::milliseconds timeout) {
    http_connection connection{co_await asio::this_coro::executor, router.address, max_page_bytes};
    http_request view_request{http::verb::get, "/debug/view", 11};
    auto view_response = co_await connection.exchange(std::move(view_request), timeout);
    if (view_response.has_error()) {
        router.view = view_response.error();
        co_return;
    }
    auto parsed = parse_json_object(view_response->body());
    if (!parsed) {
        router.view = failure{"read view", to_text(router.address), "not a JSON object"};
        co_return;
    }
    router.view = std::move(*parsed);
    http_request metrics_request{http::verb::get, "/metrics", 11};
    auto metrics_response = co_await connection.exchange(std::move(metrics_request), timeout);
    if (metrics_response.has_value()) {
        router.control_bytes = sum_metric(metrics_response->body(), "citronwick_control_bytes{");
        router.prompt_tokens = sum_metric(metrics_response->body(), "citronwick_prompt_tokens_total{");
        router.cached_tokens = sum_metric(metrics_response->body(), "citronwick_cached_prompt_tokens_total{");
    }
}

} // namespace

std::vector<router_status> read_router_statuses(const command_options& options) {
    std::vector<router_status> routers;
    for (const endpoint& address : options.routers) {
        routers.push_back({address, failure{"read view", to_text(address), "no answer"}});
    }
    asio::io_context context{1};
    for (router_status& router : routers) {
        asio::co_spawn(
            context, read_status(router, options.timeout), [&router](const std::exception_ptr& exception) {
                if (exception) {
                    router.view = failure{"read view", to_text(router.address), describe(exception)};
                }
            });
    }
    context.run();
    return routers;
}

} // namespace citronwick

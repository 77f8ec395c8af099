#include "router_pages.hpp"

#include "citronwick/io/http_connection.hpp"
#include "citronwick/io/json_text.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <charconv>
#include <ranges>

namespace citronwick {

namespace {

constexpr std::uint64_t page_limit = std::uint64_t{16} << 20U;

/// Sum of all series of a metric on a page in the Prometheus text format.
double sum_of(std::string_view page, std::string_view metric) {
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

task<void> read_page(router_page& page, std::chrono::milliseconds timeout) {
    http_connection connection{co_await asio::this_coro::executor, page.address, page_limit};
    http_request view{http::verb::get, "/debug/view", 11};
    auto answer = co_await connection.exchange(std::move(view), timeout);
    if (answer.has_error()) {
        page.view = answer.error();
        co_return;
    }
    auto parsed = parse_json_object(answer->body());
    if (!parsed) {
        page.view = failure{"read view", to_text(page.address), "not a JSON object"};
        co_return;
    }
    page.view = std::move(*parsed);
    http_request metrics{http::verb::get, "/metrics", 11};
    auto figures = co_await connection.exchange(std::move(metrics), timeout);
    if (figures.has_value()) {
        page.control_bytes = sum_of(figures->body(), "citronwick_control_bytes{");
        page.prompt_tokens = sum_of(figures->body(), "citronwick_prompt_tokens_total{");
        page.cached_tokens = sum_of(figures->body(), "citronwick_cached_prompt_tokens_total{");
    }
}

} // namespace

std::vector<router_page> read_router_pages(const command_options& options) {
    std::vector<router_page> pages;
    for (const endpoint& address : options.routers) {
        pages.push_back({address, failure{"read view", to_text(address), "no answer"}});
    }
    asio::io_context context{1};
    for (router_page& page : pages) {
        asio::co_spawn(context, read_page(page, options.timeout), asio::detached);
    }
    context.run();
    return pages;
}

} // namespace citronwick

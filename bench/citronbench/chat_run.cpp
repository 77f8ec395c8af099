#include "chat_run.hpp"

#include "chat.hpp"
#include "citronwick/io/json_text.hpp"
#include "router_usage.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <map>

namespace citronwick::bench {

namespace {

using std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr auto skew_interval = 100ms;
constexpr std::chrono::seconds request_timeout{30};

double milliseconds_since(steady_clock::time_point start) {
    return std::chrono::duration<double, std::milli>{steady_clock::now() - start}.count();
}

task<void> sleep_until(steady_clock::time_point when) {
    asio::steady_timer timer{co_await asio::this_coro::executor, when};
    co_await timer.async_wait(use_tuple);
}

/// Maximum over mean of the loads, 1 if no engine has more than one request.
double skew_of(const std::vector<double>& loads) {
    const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    const double max_load = std::ranges::max(loads);
    return max_load <= 1.0 ? 1.0 : max_load * static_cast<double>(loads.size()) / total;
}

/// Last value of "cached_tokens" in the events of a response, 0 if there is none.
double parse_cached_tokens(std::string_view text) {
    constexpr std::string_view member = "\"cached_tokens\":";
    const auto found = text.rfind(member);
    return found == std::string_view::npos ? 0.0 : std::strtod(text.data() + found + member.size(), nullptr);
}

} // namespace

chat_run::chat_run(const experiment& plan, const arm_settings& arm, harness::fleet& fleet)
    : plan_{plan}, arm_{arm}, fleet_{fleet}, population_{plan.load, plan.seed}, random_{plan.seed} {
    results_.experiment = plan.name;
    results_.arm = arm.name;
    results_.seed = plan.seed;
    results_.routers = plan.routers;
    results_.engines = plan.engines;
}

bool chat_run::is_measuring() const {
    const auto now = steady_clock::now();
    return now >= measurement_start_ && now < measurement_end_;
}

arm_results chat_run::run() {
    start_time_ = steady_clock::now();
    measurement_start_ = start_time_ + plan_.warm_up;
    measurement_end_ = measurement_start_ + plan_.duration;
    router_usage before;
    asio::co_spawn(context_, generate_load(), asio::detached);
    asio::co_spawn(context_, sample_skew(), asio::detached);
    if (plan_.churn.interval.count() > 0) {
        asio::co_spawn(context_, churn(), asio::detached);
    }
    context_.run_until(measurement_start_);
    before = read_router_usage(fleet_);
    context_.run_until(measurement_end_);
    add_usage_rates(results_, before, read_router_usage(fleet_), plan_.routers);
    context_.run_for(request_timeout);
    return std::move(results_);
}

task<void> chat_run::generate_load() {
    auto next = start_time_;
    while (next < measurement_end_) {
        co_await sleep_until(next);
        std::uniform_int_distribution<std::size_t> router_index{0, fleet_.routers().size() - 1};
        const endpoint router = fleet_.routers()[router_index(random_)].callers();
        asio::co_spawn(context_, run_request(population_.next(), router), asio::detached);
        next += std::chrono::duration_cast<steady_clock::duration>(population_.next_interarrival_time());
    }
}

task<void> chat_run::run_request(planned_request request, endpoint router) {
    const bool is_measured = is_measuring();
    auto response = co_await exchange(request, router);
    population_.record_result(request, response.complete ? response.upstream : "", response.hint);
    if (is_measured) {
        record(request, response);
    }
}

void chat_run::record(const planned_request& request, const response_result& response) {
    constexpr unsigned first_error = 400;
    if (response.complete && response.status < first_error) {
        ++results_.complete;
        results_.reusable_tokens += request.reusable_tokens;
        results_.reused_tokens += std::min(response.cached_tokens, request.reusable_tokens);
        results_.first_token_ms.add(response.first_token_ms);
        results_.between_tokens_ms.add(response.between_tokens_ms);
        if (request.team != "hanbit-north") {
            results_.quiet_first_token_ms.add(response.first_token_ms);
        }
    } else if (response.outcome == "not-run") {
        ++results_.refused;
    } else if (response.outcome == "unknown") {
        ++results_.unknown;
    } else {
        ++results_.lost;
    }
}

task<chat_run::response_result> chat_run::exchange(const planned_request& request, endpoint router) {
    const auto started = steady_clock::now();
    const harness::call call = harness::to_call({.chat = request.chat_id,
                                                 .prompt = request.prompt,
                                                 .tokens = request.tokens,
                                                 .hint = arm_.echo_hints ? request.hint : "",
                                                 .team = request.team});
    response_result response;
    http_connection connection{context_.get_executor(), router, std::uint64_t{16} << 20U};
    http_request message{http::verb::post, call.target, 11};
    for (const auto& [name, value] : call.headers) {
        message.set(name, value);
    }
    message.body() = call.body;
    auto sent = co_await connection.send(std::move(message), request_timeout);
    if (sent.has_error()) {
        co_return response;
    }
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    std::array<char, 16'384> chunk{};
    std::string text;
    connection.stream().expires_after(request_timeout);
    while (!parser.is_done()) {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        auto [error, size] =
            co_await http::async_read_some(connection.stream(), connection.buffer(), parser, use_tuple);
        const std::size_t filled = parser.is_header_done() ? chunk.size() - parser.get().body().size : 0;
        text.append(chunk.data(), filled);
        if (filled > 0 && response.first_token_ms == 0.0) {
            response.first_token_ms = milliseconds_since(started);
        }
        if (error && error != http::error::need_buffer) {
            co_return response;
        }
    }
    response.status = parser.get().result_int();
    response.outcome = std::string{parser.get()["Citronwick-Outcome"]};
    response.complete = response.outcome == "complete" && text.find("data: [DONE]") != std::string::npos;
    response.upstream = std::string{parser.get()["Citronwick-Upstream"]};
    response.hint = std::string{parser.get()["Citronwick-Context"]};
    response.cached_tokens = parse_cached_tokens(text);
    response.between_tokens_ms = (milliseconds_since(started) - response.first_token_ms) /
                                 static_cast<double>(std::max<std::int64_t>(request.tokens, 1));
    co_return response;
}

task<void> chat_run::sample_engine(std::shared_ptr<http_connection> connection, double& load) {
    http_request request{http::verb::get, "/standin/stats", 11};
    auto response = co_await connection->exchange(std::move(request), 1s);
    if (response.has_value()) {
        const auto stats = parse_json_object(response->body()).value_or(boost::json::object{});
        load = number_member(stats, "running") + number_member(stats, "waiting");
    }
}

task<void> chat_run::sample_skew() {
    std::map<endpoint, std::shared_ptr<http_connection>> connections;
    for (auto next = measurement_start_; next < measurement_end_; next += skew_interval) {
        co_await sleep_until(next);
        std::vector<std::pair<std::shared_ptr<http_connection>, double>> polled;
        for (const harness::node& engine : fleet_.engines()) {
            auto& connection = connections[engine.addresses.front()];
            if (!connection) {
                connection = std::make_shared<http_connection>(context_.get_executor(),
                                                               engine.addresses.front(), 65'536U);
            }
            if (!engine.leaving) {
                polled.emplace_back(connection, -1.0);
            }
        }
        auto pending = std::make_shared<std::size_t>(polled.size());
        for (auto& [connection, load] : polled) {
            asio::co_spawn(context_, sample_engine(connection, load),
                           [pending](const std::exception_ptr&) { --*pending; });
        }
        while (*pending > 0) {
            co_await sleep_until(steady_clock::now() + 1ms);
        }
        std::vector<double> loads;
        for (const auto& [connection, load] : polled) {
            if (load >= 0.0) {
                loads.push_back(load);
            }
        }
        if (!loads.empty()) {
            results_.skew.add(skew_of(loads));
        }
    }
}

task<void> chat_run::churn() {
    std::size_t events = 0;
    for (auto next = measurement_start_; next < measurement_end_; next += plan_.churn.interval) {
        co_await sleep_until(next);
        if (plan_.churn.kinds.empty()) {
            co_return;
        }
        const std::string& kind = plan_.churn.kinds[events++ % plan_.churn.kinds.size()];
        if (kind == "crash") {
            crash_engine();
        } else {
            retire_engine();
        }
    }
}

/// Kills an engine and starts a replacement under a new name.
void chat_run::crash_engine() {
    const std::string name = fleet_.engines().front().name;
    const std::string domain = fleet_.engines().front().failure_domain;
    population_.remove_engine(name);
    fleet_.remove_engine(name);
    fleet_.add_engine(domain);
    fleet_.publish_vms();
}

/// Marks an engine as leaving and adds a replacement.
void chat_run::retire_engine() {
    auto& leaving = *std::ranges::find(fleet_.engines(), false, &harness::node::leaving);
    leaving.leaving = true;
    population_.remove_engine(leaving.name);
    fleet_.add_engine(leaving.failure_domain);
    fleet_.publish_vms();
}

} // namespace citronwick::bench

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

/// Skew of the loads: 1 where no engine holds more than one request.
double skew_of(const std::vector<double>& loads) {
    const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    const double most = std::ranges::max(loads);
    return most <= 1.0 ? 1.0 : most * static_cast<double>(loads.size()) / total;
}

double cached_tokens_in(std::string_view text) {
    constexpr std::string_view member = "\"cached_tokens\":";
    const auto found = text.rfind(member);
    return found == std::string_view::npos ? 0.0 : std::strtod(text.data() + found + member.size(), nullptr);
}

} // namespace

chat_run::chat_run(const experiment& plan, const arm_shape& arm, harness::fleet& system)
    : plan_{plan}, arm_{arm}, system_{system}, population_{plan.load, plan.seed}, random_{plan.seed} {
    figures_.experiment = plan.name;
    figures_.arm = arm.name;
    figures_.seed = plan.seed;
    figures_.routers = plan.routers;
    figures_.engines = plan.engines;
}

bool chat_run::measuring() const {
    const auto now = steady_clock::now();
    return now >= measured_from_ && now < ends_;
}

arm_figures chat_run::run() {
    started_ = steady_clock::now();
    measured_from_ = started_ + plan_.warm_up;
    ends_ = measured_from_ + plan_.duration;
    router_usage before;
    asio::co_spawn(context_, generate(), asio::detached);
    asio::co_spawn(context_, sample_skew(), asio::detached);
    if (plan_.churn.interval.count() > 0) {
        asio::co_spawn(context_, churn(), asio::detached);
    }
    context_.run_until(measured_from_);
    before = read_router_usage(system_);
    context_.run_until(ends_);
    add_usage(figures_, before, read_router_usage(system_), plan_.routers);
    context_.run_for(request_timeout);
    return std::move(figures_);
}

task<void> chat_run::generate() {
    auto next = started_;
    while (next < ends_) {
        co_await sleep_until(next);
        std::uniform_int_distribution<std::size_t> any{0, system_.routers().size() - 1};
        const endpoint router = system_.routers()[any(random_)].callers();
        asio::co_spawn(context_, make_request(population_.next(), router), asio::detached);
        next += std::chrono::duration_cast<steady_clock::duration>(population_.next_pause());
    }
}

task<void> chat_run::make_request(planned_request request, endpoint router) {
    const bool counted = measuring();
    auto end = co_await exchange(request, router);
    population_.finished(request, end.whole ? end.upstream : "", end.hint);
    if (counted) {
        record(request, end);
    }
}

void chat_run::record(const planned_request& request, const answer_end& end) {
    constexpr unsigned first_error = 400;
    if (end.whole && end.status < first_error) {
        ++figures_.complete;
        figures_.reusable_tokens += request.reusable_tokens;
        figures_.reused_tokens += std::min(end.cached_tokens, request.reusable_tokens);
        figures_.first_token_ms.add(end.first_token_ms);
        figures_.between_tokens_ms.add(end.between_tokens_ms);
        if (request.team != "hanbit-north") {
            figures_.quiet_first_token_ms.add(end.first_token_ms);
        }
    } else if (end.outcome == "not-run") {
        ++figures_.refused;
    } else if (end.outcome == "unknown") {
        ++figures_.unknown;
    } else {
        ++figures_.lost;
    }
}

task<chat_run::answer_end> chat_run::exchange(const planned_request& request, endpoint router) {
    const auto started = steady_clock::now();
    const harness::call made = harness::to_call({.chat = request.chat_id,
                                                 .prompt = request.prompt,
                                                 .tokens = request.tokens,
                                                 .hint = arm_.echo_hints ? request.hint : "",
                                                 .team = request.team});
    answer_end end;
    http_connection connection{context_.get_executor(), router, std::uint64_t{16} << 20U};
    http_request message{http::verb::post, made.target, 11};
    for (const auto& [name, value] : made.headers) {
        message.set(name, value);
    }
    message.body() = made.body;
    auto sent = co_await connection.send(std::move(message), request_timeout);
    if (sent.has_error()) {
        co_return end;
    }
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    std::array<char, 16'384> piece{};
    std::string text;
    connection.stream().expires_after(request_timeout);
    while (!parser.is_done()) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        auto [error, size] =
            co_await http::async_read_some(connection.stream(), connection.buffer(), parser, use_tuple);
        const std::size_t filled = parser.is_header_done() ? piece.size() - parser.get().body().size : 0;
        text.append(piece.data(), filled);
        if (filled > 0 && end.first_token_ms == 0.0) {
            end.first_token_ms = milliseconds_since(started);
        }
        if (error && error != http::error::need_buffer) {
            co_return end;
        }
    }
    end.status = parser.get().result_int();
    end.outcome = std::string{parser.get()["Citronwick-Outcome"]};
    end.whole = end.outcome == "complete" && text.find("data: [DONE]") != std::string::npos;
    end.upstream = std::string{parser.get()["Citronwick-Upstream"]};
    end.hint = std::string{parser.get()["Citronwick-Context"]};
    end.cached_tokens = cached_tokens_in(text);
    end.between_tokens_ms = (milliseconds_since(started) - end.first_token_ms) /
                            static_cast<double>(std::max<std::int64_t>(request.tokens, 1));
    co_return end;
}

task<void> chat_run::sample_engine(std::shared_ptr<http_connection> connection, double& load) {
    http_request request{http::verb::get, "/standin/stats", 11};
    auto answer = co_await connection->exchange(std::move(request), 1s);
    if (answer.has_value()) {
        const auto figures = parse_json_object(answer->body()).value_or(boost::json::object{});
        load = number_member(figures, "running") + number_member(figures, "waiting");
    }
}

task<void> chat_run::sample_skew() {
    std::map<endpoint, std::shared_ptr<http_connection>> connections;
    for (auto next = measured_from_; next < ends_; next += skew_interval) {
        co_await sleep_until(next);
        std::vector<std::pair<std::shared_ptr<http_connection>, double>> polled;
        for (const harness::node& engine : system_.engines()) {
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
            figures_.skew.add(skew_of(loads));
        }
    }
}

task<void> chat_run::churn() {
    std::size_t turn = 0;
    for (auto next = measured_from_; next < ends_; next += plan_.churn.interval) {
        co_await sleep_until(next);
        if (plan_.churn.kinds.empty()) {
            co_return;
        }
        const std::string& kind = plan_.churn.kinds[turn++ % plan_.churn.kinds.size()];
        if (kind == "crash") {
            crash_engine();
        } else {
            return_engine();
        }
    }
}

/// Kills an engine and starts another in its place, under a new name.
void chat_run::crash_engine() {
    const std::string lost = system_.engines().front().name;
    const std::string domain = system_.engines().front().failure_domain;
    population_.forget_engine(lost);
    system_.remove_engine(lost);
    system_.add_engine(domain);
    system_.publish_vms();
}

/// Announces that an engine leaves, and adds another.
void chat_run::return_engine() {
    auto& leaving = *std::ranges::find(system_.engines(), false, &harness::node::leaving);
    leaving.leaving = true;
    population_.forget_engine(leaving.name);
    system_.add_engine(leaving.failure_domain);
    system_.publish_vms();
}

} // namespace citronwick::bench

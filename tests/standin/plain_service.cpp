#include "plain_service.hpp"

#include "citronwick/io/json_text.hpp"

#include <boost/json/serialize.hpp>

namespace citronwick::standin {

namespace {

namespace json = boost::json;
using boost::beast::tcp_stream;

} // namespace

plain_service::plain_service(asio::io_context& context, const std::string& ip)
    : start_time_{std::chrono::duration<double>{std::chrono::system_clock::now().time_since_epoch()}.count()},
      server_{context, ip, 0, [this](tcp_stream& stream, http_request request) {
                  return handle(stream, std::move(request));
              }} {}

task<bool> plain_service::handle(tcp_stream& stream, http_request request) {
    const std::string target{request.target()};
    if (target == "/standin/fault") {
        const auto order = parse_json_object(request.body()).value_or(json::object{});
        answer_delay_ = std::chrono::milliseconds{integer_member(order, "answer_delay_ms")};
        answers_to_drop_ = integer_member(order, "drop_answers");
        refuse_ = integer_member(order, "refuse") != 0;
        json::object answer{{"ok", true}};
        co_return co_await reply_json(stream, std::move(answer));
    }
    if (target == "/standin/runs") {
        co_return co_await show_runs(stream);
    }
    if (target == "/health") {
        auto report =
            "JSON " + json::serialize(json::object{
                          {"named_metrics", json::object{{"process_start_time_seconds", start_time_}}}});
        co_return co_await reply(stream, http::status::ok, "", "text/plain", std::move(report));
    }
    if (request.method() == http::verb::get) {
        ++reads_;
        json::object answer{{"path", target}, {"status", "open"}};
        co_return co_await reply_json(stream, std::move(answer));
    }
    co_return co_await run(stream, std::move(request));
}

task<bool> plain_service::run(tcp_stream& stream, http_request request) {
    if (refuse_) {
        co_return co_await reply(stream, http::status::service_unavailable, "{}");
    }
    const std::string key{request["Idempotency-Key"]};
    const std::int64_t count = ++runs_[key.empty() ? request.body() : key];
    if (answer_delay_.count() > 0) {
        co_await sleep_for(answer_delay_);
    }
    if (answers_to_drop_ > 0) {
        --answers_to_drop_;
        co_return false;
    }
    auto body =
        json::serialize(json::object{{"order", key}, {"run", count}, {"team", request["Citronwick-Team"]}});
    std::string id{request["X-Request-Id"]};
    co_return co_await reply(stream, http::status::created, std::move(body), "application/json", "",
                             std::move(id));
}

task<bool> plain_service::show_runs(tcp_stream& stream) {
    json::object runs;
    for (const auto& [key, count] : runs_) {
        runs[key] = count;
    }
    json::object answer{{"runs", std::move(runs)}, {"reads", reads_}};
    co_return co_await reply_json(stream, std::move(answer));
}

} // namespace citronwick::standin

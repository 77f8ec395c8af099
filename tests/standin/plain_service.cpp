#include "plain_service.hpp"

#include "citronwick/io/json_text.hpp"

#include <boost/beast/http/write.hpp>
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
        const auto fault_settings = parse_json_object(request.body()).value_or(json::object{});
        response_delay_ = std::chrono::milliseconds{integer_member(fault_settings, "answer_delay_ms")};
        responses_to_drop_ = integer_member(fault_settings, "drop_answers");
        unframed_pause_ = std::chrono::milliseconds{integer_member(fault_settings, "unframed_pause_ms")};
        refuse_ = integer_member(fault_settings, "refuse") != 0;
        status_ = static_cast<unsigned>(integer_member(fault_settings, "status"));
        json::object response{{"ok", true}};
        co_return co_await send_json(stream, std::move(response));
    }
    if (target == "/standin/runs") {
        co_return co_await send_runs(stream);
    }
    if (target == "/health") {
        auto report =
            "JSON " + json::serialize(json::object{
                          {"named_metrics", json::object{{"process_start_time_seconds", start_time_}}}});
        co_return co_await send_response(stream, http::status::ok, "", "text/plain", std::move(report));
    }
    if (request.method() == http::verb::get) {
        ++reads_;
        json::object response{{"path", target}, {"status", "open"}};
        if (unframed_pause_.count() > 0) {
            auto text = json::serialize(response);
            std::string request_id{request["X-Request-Id"]};
            co_return co_await send_unframed(stream, http::status::ok, std::move(text), std::move(request_id),
                                             unframed_pause_);
        }
        co_return co_await send_json(stream, std::move(response));
    }
    co_return co_await run(stream, std::move(request));
}

task<bool> plain_service::run(tcp_stream& stream, http_request request) {
    if (refuse_) {
        co_return co_await send_response(stream, http::status::service_unavailable, "{}");
    }
    const std::string key{request["Idempotency-Key"]};
    const std::int64_t count = ++runs_[key.empty() ? request.body() : key];
    if (response_delay_.count() > 0) {
        co_await sleep_for(response_delay_);
    }
    if (responses_to_drop_ > 0) {
        --responses_to_drop_;
        co_return false;
    }
    auto body =
        json::serialize(json::object{{"order", key}, {"run", count}, {"team", request["Citronwick-Team"]}});
    std::string id{request["X-Request-Id"]};
    if (status_ != 0) {
        http_response response;
        response.version(11);
        response.result(status_);
        response.set("X-Request-Id", id);
        response.body() = std::move(body);
        response.prepare_payload();
        auto [error, size] = co_await http::async_write(stream, response, use_tuple);
        co_return !error;
    }
    if (unframed_pause_.count() > 0) {
        co_return co_await send_unframed(stream, http::status::created, std::move(body), std::move(id),
                                         unframed_pause_);
    }
    co_return co_await send_response(stream, http::status::created, std::move(body), "application/json", "",
                                     std::move(id));
}

task<bool> plain_service::send_runs(tcp_stream& stream) {
    json::object runs;
    for (const auto& [key, count] : runs_) {
        runs[key] = count;
    }
    json::object response{{"runs", std::move(runs)}, {"reads", reads_}};
    co_return co_await send_json(stream, std::move(response));
}

} // namespace citronwick::standin

#include "vm_list_service.hpp"

#include "citronwick/io/json_text.hpp"

#include <boost/beast/http/write.hpp>
#include <boost/json/serialize.hpp>

namespace citronwick::standin {

namespace {

using boost::beast::tcp_stream;

} // namespace

vm_list_service::vm_list_service(asio::io_context& context, const std::string& ip)
    : server_{context, ip, 0, [this](tcp_stream& stream, http_request request) {
                  return handle(stream, std::move(request));
              }} {}

void vm_list_service::publish_pending() {
    while (!pending_.empty() && pending_.front().visible_at <= clock::now()) {
        current_ = std::move(pending_.front());
        pending_.pop_front();
    }
}

task<bool> vm_list_service::handle(tcp_stream& stream, http_request request) {
    const std::string target{request.target()};
    const auto body = parse_json_object(request.body());
    if (target == "/standin/fault" && body) {
        outage_ = integer_member(*body, "outage") != 0;
        lag_ = std::chrono::milliseconds{integer_member(*body, "lag_ms")};
        boost::json::object response{{"ok", true}};
        co_return co_await send_json(stream, std::move(response));
    }
    if (target == "/standin/vms" && body) {
        auto list = *body;
        list["version"] = ++last_number_;
        pending_.push_back({last_number_, boost::json::serialize(list), clock::now() + lag_});
        boost::json::object response{{"version", last_number_}};
        co_return co_await send_json(stream, std::move(response));
    }
    if (target == "/standin/stats") {
        boost::json::object response{{"reads", reads_}};
        co_return co_await send_json(stream, std::move(response));
    }
    if (outage_ || target != "/vms") {
        co_return false;
    }
    ++reads_;
    publish_pending();
    const std::string etag = "\"" + std::to_string(current_.number) + "\"";
    if (request[http::field::if_none_match] == etag) {
        http_response unchanged{http::status::not_modified, 11};
        auto [error, size] = co_await http::async_write(stream, unchanged, use_tuple);
        co_return !error;
    }
    co_return co_await send_response(stream, http::status::ok, current_.json);
}

} // namespace citronwick::standin

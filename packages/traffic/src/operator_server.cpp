#include "citronwick/traffic/operator_server.hpp"

#include "citronwick/io/http_connection.hpp"
#include "citronwick/traffic/http_server.hpp"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <thread>

namespace citronwick {

namespace {

namespace json = boost::json;

constexpr std::chrono::seconds operator_timeout{10};

} // namespace

class operator_server::state {
public:
    state(endpoint listen, operator_pages pages, http_server& traffic_server)
        : listen_{std::move(listen)}, pages_{std::move(pages)}, traffic_server_{traffic_server},
          acceptor_{context_} {}

    ~state() { context_.stop(); }

    io_result<endpoint> open() { return open_listener(acceptor_, listen_, "listen for operators"); }

    void start() {
        asio::co_spawn(context_, accept(), asio::detached);
        thread_ = std::jthread{[this] { context_.run(); }};
    }

    void set_unready() { ready_ = false; }

private:
    task<void> accept() {
        while (true) {
            asio::ip::tcp::socket socket{context_};
            auto [error] = co_await acceptor_.async_accept(socket, use_tuple);
            if (!error) {
                asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
            }
        }
    }

    task<void> serve(asio::ip::tcp::socket socket) {
        boost::beast::tcp_stream stream{std::move(socket)};
        boost::beast::flat_buffer buffer;
        while (true) {
            http_request request;
            stream.expires_after(operator_timeout);
            auto [read_error, read] = co_await http::async_read(stream, buffer, request, use_tuple);
            if (read_error) {
                co_return;
            }
            http_response response = make_response(request.target());
            response.keep_alive(request.keep_alive());
            response.prepare_payload();
            auto [write_error, written] = co_await http::async_write(stream, response, use_tuple);
            if (write_error || !request.keep_alive()) {
                co_return;
            }
        }
    }

    http_response make_response(std::string_view target) {
        http_response response{http::status::ok, 11};
        response.set(http::field::content_type, "text/plain; charset=utf-8");
        if (target == "/healthz") {
            response.body() = "ok\n";
        } else if (target == "/readyz" || target == pages_.readiness_path) {
            const bool ready = ready_ && pages_.is_ready();
            response.result(ready ? http::status::ok : http::status::service_unavailable);
            response.body() = ready ? "ready\n" : "not ready\n";
        } else if (target == "/metrics") {
            response.body() = pages_.metrics();
        } else if (target == "/debug/view") {
            json::object page = pages_.view();
            page["connections"] = traffic_server_.open_connections();
            page["requests_in_flight"] = traffic_server_.requests_in_flight();
            response.set(http::field::content_type, "application/json");
            response.body() = json::serialize(page);
        } else {
            response.result(http::status::not_found);
            response.body() = "pages: /healthz /readyz /metrics /debug/view\n";
        }
        return response;
    }

    endpoint listen_;
    operator_pages pages_;
    http_server& traffic_server_;
    asio::io_context context_{1};
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> ready_{true};
    std::jthread thread_;
};

operator_server::operator_server(const endpoint& listen, operator_pages pages, http_server& traffic_server)
    : state_{std::make_unique<state>(listen, std::move(pages), traffic_server)} {}

operator_server::~operator_server() = default;

io_result<endpoint> operator_server::open() {
    return state_->open();
}

void operator_server::start() {
    state_->start();
}

void operator_server::set_unready() {
    state_->set_unready();
}

} // namespace citronwick

#include "citronwick/traffic/operator_server.hpp"

#include "citronwick/io/accept_failures.hpp"
#include "citronwick/io/event_loop.hpp"
#include "citronwick/io/http_connection.hpp"
#include "citronwick/io/spawn.hpp"
#include "citronwick/io/unhandled_exceptions.hpp"
#include "citronwick/traffic/http_server.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
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
        spawn_restarting(context_.get_executor(), "operator_listener", [this] { return accept(); });
        thread_ = std::jthread{[this] { run_event_loop(context_, "operators"); }};
    }

    void set_unready() { ready_ = false; }

private:
    task<void> accept() {
        while (true) {
            asio::ip::tcp::socket socket{context_};
            auto [error] = co_await acceptor_.async_accept(socket, use_tuple);
            if (error) {
                co_await accept_failures_.handle(error, clock::now());
                continue;
            }
            spawn_logged(context_.get_executor(), "operator_connection", serve(std::move(socket)));
        }
    }

    task<void> serve(asio::ip::tcp::socket socket) {
        boost::beast::tcp_stream stream{std::move(socket)};
        boost::beast::flat_buffer buffer{max_read_buffer_bytes};
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
            response.body() = pages_.metrics() + unhandled_exceptions_page();
        } else if (target == "/debug/view") {
            json::object page = pages_.view();
            page["connections"] = traffic_server_.open_connections();
            page["requests_in_flight"] = traffic_server_.requests_in_flight();
            page["unhandled_exceptions"] = json::value_from(unhandled_exceptions());
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
    accept_failures accept_failures_{"operators"};
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

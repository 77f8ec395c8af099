#include "citronwick/traffic/http_server.hpp"

#include "citronwick/io/task.hpp"
#include "citronwick/traffic/caller.hpp"
#include "citronwick/traffic/connection_end.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <stdexcept>
#include <string>
#include <thread>

using namespace citronwick;

namespace {

/// Fails each request, before or after its response has begun.
class failing_server final : public request_server {
public:
    failing_server(bool begins_response, std::atomic<int>& exceptions)
        : begins_response_{begins_response}, exceptions_{exceptions} {}

    request_limits limits() const override { return {}; }

    task<void> serve(caller& from, http_request request) override {
        from.on_disconnect([this] { exceptions_ = -1; });
        if (begins_response_) {
            header_fields none;
            co_await from.begin_stream(std::move(none));
        }
        throw std::runtime_error("cannot handle " + std::string{request.target()});
    }

    void count_connection_end(connection_end cause) override {
        exceptions_ += cause == connection_end::exception ? 1 : 0;
    }

private:
    bool begins_response_;
    std::atomic<int>& exceptions_;
};

/// Sends a request and reads until the server closes the connection.
std::string ask(const endpoint& peer) {
    asio::io_context context{1};
    asio::ip::tcp::socket socket{context};
    socket.connect(to_tcp(peer));
    asio::write(socket, asio::buffer(std::string{"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"}));
    std::string answer;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
}

std::string ask_failing_server(bool begins_response, std::atomic<int>& exceptions) {
    traffic_settings settings;
    settings.callers = {"127.0.0.1", 0};
    settings.threads = 1;
    http_server server{settings, [&](const asio::any_io_executor&) -> std::unique_ptr<request_server> {
                           return std::make_unique<failing_server>(begins_response, exceptions);
                       }};
    const auto bound = server.start();
    REQUIRE_FALSE(bound.has_error());
    auto answer = ask(*bound);
    while (server.open_connections() > 0) {
        std::this_thread::yield();
    }
    server.stop();
    return answer;
}

} // namespace

TEST_CASE("a request whose handling throws is answered, and the connection ends") {
    std::atomic<int> exceptions{0};
    const auto answer = ask_failing_server(false, exceptions);
    CHECK(answer.starts_with("HTTP/1.1 500 "));
    CHECK(answer.find("internal-error") != std::string::npos);
    CHECK(answer.find("Citronwick-Outcome: unknown") != std::string::npos);
    CHECK(exceptions == 1);
}

TEST_CASE("a response that has begun is left incomplete if handling throws") {
    std::atomic<int> exceptions{0};
    const auto answer = ask_failing_server(true, exceptions);
    CHECK(answer.starts_with("HTTP/1.1 200 "));
    CHECK(answer.find("\r\n0\r\n") == std::string::npos);
    CHECK(exceptions == 1);
}

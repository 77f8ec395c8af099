#include "citronwick/traffic/http_server.hpp"

#include "citronwick/io/unhandled_exceptions.hpp"
#include "citronwick/traffic/caller.hpp"
#include "citronwick/traffic/connection_end.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <stdexcept>
#include <thread>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

/// Fails in the way that the path of the request names, and answers other requests.
class failing_server final : public request_server {
public:
    explicit failing_server(std::atomic<int>& exceptions) : exceptions_{exceptions} {}

    request_limits limits() const override { return {}; }

    task<void> serve(caller& from, http_request request, buffer_reservation& /*buffers*/) override {
        from.on_disconnect([this] { exceptions_ = called_too_late; });
        if (request.target() == "/throws") {
            throw std::runtime_error{"the server of a test throws"};
        }
        if (request.target() == "/awaits-a-throw") {
            co_await await_throwing_operation();
        }
        if (request.target() == "/throws-in-response") {
            co_await from.begin_stream({});
            co_await from.write_events("data: 1\n\n");
            throw std::runtime_error{"the server of a test throws"};
        }
        complete_response response{.body = "{}"};
        co_await from.respond(std::move(response));
        from.on_disconnect(nullptr);
    }

    void count_connection_end(connection_end cause) override {
        exceptions_ += cause == connection_end::exception ? 1 : 0;
    }

private:
    static constexpr int called_too_late = -100;
    std::atomic<int>& exceptions_;

    /// Awaits a read whose handler throws, so that the coroutine is never resumed.
    static task<void> await_throwing_operation() {
        const auto executor = co_await asio::this_coro::executor;
        asio::ip::tcp::acceptor acceptor{executor, {asio::ip::make_address("127.0.0.1"), 0}};
        asio::ip::tcp::socket writer{executor};
        asio::ip::tcp::socket reader{executor};
        writer.connect(acceptor.local_endpoint());
        acceptor.accept(reader);
        asio::write(writer, asio::buffer("x", 1));
        std::array<char, 2> bytes{};
        const auto buffer = asio::buffer(bytes);
        const auto condition = [](const boost::system::error_code&, std::size_t size) -> std::size_t {
            if (size > 0) {
                throw std::runtime_error{"the completion condition of a test throws"};
            }
            return 1;
        };
        [[maybe_unused]] const auto result = co_await asio::async_read(reader, buffer, condition, use_tuple);
    }
};

/// Sends one request on a new connection and reads until the server closes it.
std::string ask(const endpoint& server, const std::string& path) {
    asio::io_context context;
    asio::ip::tcp::socket socket{context};
    socket.connect(to_tcp(server));
    asio::write(socket, asio::buffer("GET " + path + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"));
    std::string response;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(response), error);
    return response;
}

/// A server with one traffic thread.
struct running_server {
    running_server() : address{*server.open()} { server.start(); }

    void await_connection_ends() const {
        while (server.open_connections() > 0) {
            std::this_thread::sleep_for(1ms);
        }
    }

    traffic_settings settings{.callers = {"127.0.0.1", 0}, .threads = 1};
    std::atomic<int> exceptions{0}; ///< connections that ended with one
    http_server server{settings,
                       [this](const auto&) { return std::make_unique<failing_server>(exceptions); }};
    endpoint address;
};

std::uint64_t count_of(const std::string& source) {
    const auto counts = unhandled_exceptions();
    const auto found = counts.find(source);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

TEST_CASE("a request whose handling throws is answered with 500 and an unknown outcome") {
    running_server running;
    const auto before = count_of("request");
    const std::string response = ask(running.address, "/throws");
    CHECK(response.starts_with("HTTP/1.1 500 "));
    CHECK(response.find("Citronwick-Outcome: unknown\r\n") != std::string::npos);
    CHECK(response.find("internal-error") != std::string::npos);
    CHECK(count_of("request") == before + 1);
    running.await_connection_ends();
    CHECK(running.exceptions == 1);
    CHECK(ask(running.address, "/").starts_with("HTTP/1.1 200 "));
}

TEST_CASE("a response that an exception cuts never looks complete") {
    running_server running;
    const std::string response = ask(running.address, "/throws-in-response");
    CHECK(response.starts_with("HTTP/1.1 200 "));
    CHECK(response.find("data: 1") != std::string::npos);
    CHECK(response.find("\r\n0\r\n") == std::string::npos);
    CHECK_FALSE(response.ends_with("\r\n0\r\n\r\n"));
    running.await_connection_ends();
    CHECK(running.exceptions == 1);
}

TEST_CASE("an exception from an awaited operation costs one connection and not the process") {
    running_server running;
    const auto before = count_of("traffic");
    CHECK(ask(running.address, "/awaits-a-throw").empty());
    CHECK(count_of("traffic") == before + 1);
    CHECK(ask(running.address, "/").starts_with("HTTP/1.1 200 "));
    // A connection that stayed counted would hold up a planned stop.
    running.await_connection_ends();
}

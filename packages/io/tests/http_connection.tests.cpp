#include "citronwick/io/http_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

/// Answers one request on one connection, which stays open.
task<void> answer_one(asio::ip::tcp::acceptor& acceptor, asio::ip::tcp::socket& socket) {
    co_await acceptor.async_accept(socket, asio::use_awaitable);
    std::string request;
    const auto buffer = asio::dynamic_buffer(request);
    co_await asio::async_read_until(socket, buffer, "\r\n\r\n", asio::use_awaitable);
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    const auto bytes = asio::buffer(response);
    co_await asio::async_write(socket, bytes, asio::use_awaitable);
}

/// Answers the first request of each connection twice, with the number of the connection.
task<void> answer_twice(asio::ip::tcp::acceptor& acceptor, std::vector<asio::ip::tcp::socket>& sockets) {
    while (true) {
        sockets.push_back(co_await acceptor.async_accept(asio::use_awaitable));
        std::string request;
        const auto buffer = asio::dynamic_buffer(request);
        co_await asio::async_read_until(sockets.back(), buffer, "\r\n\r\n", asio::use_awaitable);
        const std::string response =
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(sockets.size());
        const auto bytes = asio::buffer(response);
        co_await asio::async_write(sockets.back(), bytes, asio::use_awaitable);
        co_await asio::async_write(sockets.back(), bytes, asio::use_awaitable);
    }
}

task<void> collect_answers(http_connection& connection, int calls, std::vector<std::string>& bodies) {
    asio::steady_timer pause{co_await asio::this_coro::executor};
    for (int call = 0; call < calls; ++call) {
        http_request request{http::verb::get, "/", 11};
        auto response = co_await connection.exchange(std::move(request), 1s);
        bodies.push_back(response.has_value() ? response->body() : "");
        pause.expires_after(50ms);
        co_await pause.async_wait(asio::use_awaitable);
    }
}

task<void> make_call(http_connection& connection, bool& has_answer) {
    http_request request{http::verb::get, "/", 11};
    auto response = co_await connection.exchange(std::move(request), 1s);
    has_answer = response.has_value();
}

} // namespace

// Guards against calls on a connection that went silent while it was idle (DRAIN).
TEST_CASE("a connection is reused only shortly after a response") {
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
    asio::ip::tcp::socket socket{context};
    http_connection connection{context.get_executor(), to_endpoint(acceptor.local_endpoint()), 1'024};
    CHECK_FALSE(connection.is_reusable(clock::now()));
    bool has_answer = false;
    asio::co_spawn(context, answer_one(acceptor, socket), asio::detached);
    asio::co_spawn(context, make_call(connection, has_answer), asio::detached);
    context.run_for(2s);
    REQUIRE(has_answer);
    const auto answered_before = clock::now();
    CHECK(connection.is_reusable(answered_before - 2s));
    CHECK_FALSE(connection.is_reusable(answered_before + 500ms));
    connection.close();
    CHECK_FALSE(connection.is_reusable(answered_before - 2s));
}

// Guards against responses that answer the call before, from then on for every call.
TEST_CASE("a surplus response is not taken for the response to the next call") {
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
    std::vector<asio::ip::tcp::socket> sockets;
    http_connection connection{context.get_executor(), to_endpoint(acceptor.local_endpoint()), 1'024};
    std::vector<std::string> bodies;
    asio::co_spawn(context, answer_twice(acceptor, sockets), asio::detached);
    asio::co_spawn(context, collect_answers(connection, 3, bodies), asio::detached);
    context.run_for(3s);
    CHECK(bodies == std::vector<std::string>{"1", "2", "3"});
}

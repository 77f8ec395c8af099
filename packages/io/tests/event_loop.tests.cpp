#include "citronwick/io/event_loop.hpp"
#include "citronwick/io/spawn.hpp"
#include "citronwick/io/unhandled_exceptions.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <stdexcept>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

std::uint64_t count_of(const std::string& source) {
    const auto counts = unhandled_exceptions();
    const auto found = counts.find(source);
    return found == counts.end() ? 0 : found->second;
}

/// A connection of which one end has received a byte.
struct readable_connection {
    explicit readable_connection(asio::io_context& context) : writer{context}, reader{context} {
        asio::ip::tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
        writer.connect(acceptor.local_endpoint());
        acceptor.accept(reader);
        asio::write(writer, asio::buffer("x", 1));
    }
    asio::ip::tcp::socket writer;
    asio::ip::tcp::socket reader;
};

/// Awaits a read whose handler throws, so that the coroutine is never resumed.
task<void> await_throwing_operation(asio::ip::tcp::socket& socket) {
    std::array<char, 2> bytes{};
    const auto buffer = asio::buffer(bytes);
    const auto condition = [](const boost::system::error_code&, std::size_t size) -> std::size_t {
        if (size > 0) {
            throw std::runtime_error{"from a completion condition"};
        }
        return 1;
    };
    [[maybe_unused]] const auto result = co_await asio::async_read(socket, buffer, condition, use_tuple);
}

} // namespace

TEST_CASE("an exception of a handler is counted and later handlers run") {
    asio::io_context context;
    bool has_run = false;
    asio::post(context, [] { throw std::runtime_error{"from a handler"}; });
    asio::post(context, [] { throw 7; });
    asio::post(context, [&has_run] { has_run = true; });
    run_event_loop(context, "loop of a test");
    CHECK(has_run);
    CHECK(count_of("loop of a test") == 2);
    CHECK(unhandled_exceptions_page().find(
              "citronwick_unhandled_exceptions_total{source=\"loop of a test\"} 2\n") != std::string::npos);
}

TEST_CASE("an exception that ends a task is counted") {
    asio::io_context context;
    const auto work = []() -> task<void> {
        throw std::runtime_error{"from a task"};
        co_return;
    };
    spawn_logged(context.get_executor(), "task of a test", work());
    run_event_loop(context, "unused");
    CHECK(count_of("task of a test") == 1);
}

TEST_CASE("a task that an exception ended is started again, and one that returned is not") {
    asio::io_context context;
    int starts = 0;
    const auto work = [&starts]() -> task<void> {
        if (++starts < 3) {
            throw std::runtime_error{"from a restarted task"};
        }
        co_return;
    };
    spawn_restarting(context.get_executor(), "restarted task of a test", work, 1ms);
    run_event_loop(context, "unused");
    CHECK(starts == 3);
    CHECK(count_of("restarted task of a test") == 2);
}

TEST_CASE("a task is started again if an operation that it awaits throws") {
    asio::io_context context;
    readable_connection connection{context};
    int starts = 0;
    const auto work = [&]() -> task<void> {
        if (++starts == 1) {
            co_await await_throwing_operation(connection.reader);
        }
    };
    spawn_restarting(context.get_executor(), "destroyed task of a test", work, 1ms);
    run_event_loop(context, "thread of a destroyed task");
    CHECK(starts == 2);
    CHECK(count_of("thread of a destroyed task") == 1);
    CHECK(count_of("destroyed task of a test") == 1);
}

TEST_CASE("a task that its context destroys is not started again") {
    int starts = 0;
    {
        asio::io_context context;
        const auto work = [&starts]() -> task<void> {
            ++starts;
            asio::steady_timer timer{co_await asio::this_coro::executor, 1h};
            co_await timer.async_wait(use_tuple);
        };
        spawn_restarting(context.get_executor(), "waiting task of a test", work, 1ms);
        context.poll();
    }
    CHECK(starts == 1);
    CHECK(count_of("waiting task of a test") == 0);
}

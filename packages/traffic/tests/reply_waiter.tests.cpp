#include "reply_waiter.hpp"

#include "await_on.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <stdexcept>

using namespace citronwick;
using namespace std::chrono_literals;

namespace {

using callback = std::function<void(int)>;

void rethrow(const std::exception_ptr& exception) {
    if (exception) {
        std::rethrow_exception(exception);
    }
}

} // namespace

TEST_CASE("a reply ends the wait, and a missing one leaves nothing") {
    asio::io_context context;
    std::optional<int> in_time;
    std::optional<int> missing;
    callback kept;
    const auto work = [&]() -> task<void> {
        std::function<void(callback)> ask = [](const callback& reply) { reply(7); };
        in_time = co_await wait_for_reply<int>(1h, std::move(ask));
        std::function<void(callback)> ignore = [&kept](callback reply) { kept = std::move(reply); };
        missing = co_await wait_for_reply<int>(1ms, std::move(ignore));
    };
    asio::co_spawn(context, work, rethrow);
    context.run();
    CHECK(in_time == 7);
    CHECK_FALSE(missing.has_value());
    kept(8); // too late, and without effect
}

TEST_CASE("a reply that comes after the event loop is gone is dropped") {
    callback kept;
    {
        asio::io_context context;
        const auto work = [&kept]() -> task<void> {
            std::function<void(callback)> ask = [&kept](callback reply) { kept = std::move(reply); };
            co_await wait_for_reply<int>(1h, std::move(ask));
        };
        asio::co_spawn(context, work, rethrow);
        context.poll();
    }
    REQUIRE(kept);
    kept(1);
}

TEST_CASE("a task on another event loop returns its value or its exception") {
    asio::io_context own;
    asio::io_context other;
    int value = 0;
    std::string detail;
    const auto remote = [](int result) -> task<int> {
        if (result == 0) {
            throw std::runtime_error{"from the other loop"};
        }
        co_return result;
    };
    const auto work = [&]() -> task<void> {
        auto first = await_on(other.get_executor(), remote(5));
        value = co_await std::move(first);
        try {
            auto second = await_on(other.get_executor(), remote(0));
            co_await std::move(second);
        } catch (const std::exception& error) {
            detail = error.what();
        }
    };
    asio::co_spawn(own, work, rethrow);
    while (own.run_one_for(1ms) + other.poll() > 0 || detail.empty()) {
        other.restart();
    }
    CHECK(value == 5);
    CHECK(detail == "from the other loop");
}

TEST_CASE("either event loop may be destroyed first while a task is awaited on another") {
    const auto wait = []() -> task<int> {
        asio::steady_timer timer{co_await asio::this_coro::executor, 1h};
        co_await timer.async_wait(use_tuple);
        co_return 1;
    };
    auto own = std::make_unique<asio::io_context>();
    auto other = std::make_unique<asio::io_context>();
    bool has_failed = false;
    const auto work = [&]() -> task<void> {
        try {
            auto awaited = await_on(other->get_executor(), wait());
            co_await std::move(awaited);
        } catch (const std::runtime_error&) {
            has_failed = true;
        }
    };
    asio::co_spawn(*own, work, rethrow);
    own->poll();
    other->poll();
    SUBCASE("the waiting one") {
        own.reset();
        other.reset();
        CHECK_FALSE(has_failed);
    }
    SUBCASE("the working one") {
        other.reset();
        own->restart();
        own->poll();
        CHECK(has_failed);
    }
}

#include "citronwick/traffic/exclusive_turn.hpp"

#include "citronwick/core/time.hpp"

#include <boost/asio/steady_timer.hpp>

namespace citronwick {

namespace {

constexpr std::chrono::milliseconds retry_interval{5};

} // namespace

task<exclusive_turn::holder> exclusive_turn::take(std::chrono::milliseconds timeout) {
    const auto deadline = clock::now() + timeout;
    asio::steady_timer timer{co_await asio::this_coro::executor};
    while (taken_.exchange(true)) {
        if (clock::now() >= deadline) {
            co_return nullptr;
        }
        timer.expires_after(retry_interval);
        co_await timer.async_wait(use_tuple);
    }
    co_return holder{&taken_};
}

} // namespace citronwick

#include "citronwick/traffic/async_mutex.hpp"

#include "citronwick/core/time.hpp"

#include <boost/asio/steady_timer.hpp>

namespace citronwick {

namespace {

constexpr std::chrono::milliseconds poll_interval{5};

} // namespace

task<async_mutex::guard> async_mutex::try_lock_for(std::chrono::milliseconds timeout) {
    const auto deadline = clock::now() + timeout;
    asio::steady_timer timer{co_await asio::this_coro::executor};
    while (locked_.exchange(true)) {
        if (clock::now() >= deadline) {
            co_return nullptr;
        }
        timer.expires_after(poll_interval);
        co_await timer.async_wait(use_tuple);
    }
    co_return guard{&locked_};
}

} // namespace citronwick

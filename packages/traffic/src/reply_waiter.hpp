#ifndef CITRONWICK_TRAFFIC_REPLY_WAITER_HPP_INCLUDED
#define CITRONWICK_TRAFFIC_REPLY_WAITER_HPP_INCLUDED

#include "citronwick/core/time.hpp"
#include "citronwick/io/task.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace citronwick {

/// Waits on a traffic thread for what the control thread hears from another router.
/// @param ask starts the request; the callback that it gets may be called on any thread, or never
/// @return none if no reply came in time
template <class Reply>
task<std::optional<Reply>> wait_for_reply(duration timeout,
                                          std::function<void(std::function<void(Reply)>)> ask) {
    struct pending_reply {
        pending_reply(const asio::any_io_executor& executor, duration timeout) : timer{executor, timeout} {}

        asio::steady_timer timer;
        std::optional<Reply> reply;
    };
    const auto executor = co_await asio::this_coro::executor;
    const auto pending = std::make_shared<pending_reply>(executor, timeout);
    ask([pending, executor](Reply reply) {
        asio::post(executor, [pending, reply = std::move(reply)] {
            pending->reply = reply;
            // Also ends a wait that has not begun yet.
            pending->timer.expires_at(time_point::min());
        });
    });
    co_await pending->timer.async_wait(use_tuple);
    co_return pending->reply;
}

} // namespace citronwick

#endif
